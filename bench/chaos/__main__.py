"""Command `python -m bench.chaos`: a chaos test on real processes.

It injects faults into a small system under load and checks the history of
responses against what the servers ran.
"""

import json
import pathlib
import random
import shutil
import sys
import time

import click
import trio

from bench.chaos import callers
from bench.chaos import crashes
from bench.chaos import fleet as fleets
from bench.chaos import history
from bench.chaos import layout
from bench.chaos import relay
from bench.chaos import schedule

_READERS, _PAYERS, _UPLOADERS = 3, 3, 2
_FORM_TIMEOUT_S = 30.0
_CONVERGENCE_TIMEOUT_S = 13.0
# Faults during which an upload may be lost. A planned stop must not lose one.
_CUTTING_FAULTS = (schedule.KILL, schedule.FREEZE, schedule.BLANK)
# Seconds after a fault or crash in which an upload may still be lost.
_RECOVERY_MARGIN_S = 6.0


class Run:
    """One run of the chaos test.

    Args:
        seed: Seed of the faults and of all other random choices.
        seconds: Length of the run.
        folder: Folder of settings, logs and data.
    """

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path) -> None:
        self.history = history.History()
        self.faults = schedule.plan(seed, seconds)
        self._seconds = seconds
        self._folder = folder
        self._rng = random.Random(seed)
        self._fleet = fleets.Fleet(folder)
        self._relays = {
            name: relay.Relay(
                layout.relay_address(name), layout.rpc_address(name)
            )
            for name in layout.names(layout.CONTROL)
        }
        self.findings: list[str] = []
        self._start_utc_s = 0.0

    async def run(self) -> None:
        """Run the system, the load and the faults; fill `findings`."""
        try:
            async with trio.open_nursery() as nursery:
                for link in self._relays.values():
                    nursery.start_soon(link.run)
                self._fleet.start_all()
                await self._form_cluster()
                await self._run_load()
                await self._wait_for_convergence()
                nursery.cancel_scope.cancel()
        finally:
            self._fleet.kill_all()
        self._check_history()

    async def _form_cluster(self) -> None:
        operators = callers.Operators(self.history, self._rng)
        text = callers.first_tables()
        with trio.fail_after(_FORM_TIMEOUT_S):
            while await operators.revision() is None:
                await trio.sleep(0.1)
            answer = await callers.put_tables("control-1", "first", 0, text)
        if answer.status != 200:
            raise RuntimeError(f"the first edit was refused: {answer}")
        self.history.record_accepted("first", 1)

    async def _run_load(self) -> None:
        start_time = trio.current_time()
        self._start_utc_s = time.time()
        clients = callers.Callers(self.history, self._rng, start_time)
        operators = callers.Operators(self.history, self._rng)
        with trio.move_on_after(self._seconds):
            async with trio.open_nursery() as nursery:
                for _ in range(_READERS):
                    nursery.start_soon(clients.read)
                for _ in range(_PAYERS):
                    nursery.start_soon(clients.pay)
                for _ in range(_UPLOADERS):
                    nursery.start_soon(clients.upload)
                nursery.start_soon(clients.intrude)
                nursery.start_soon(operators.race_edits)
                crash_injector = crashes.CrashInjector(
                    self._fleet, self.history, self._rng, start_time
                )
                nursery.start_soon(crash_injector.run)
                for name in layout.names(layout.ENTRY):
                    nursery.start_soon(self._watch_revision, name)
                for fault in self.faults:
                    nursery.start_soon(self._inject, fault, start_time)

    async def _inject(self, fault: schedule.Fault, start_time: float) -> None:
        await trio.sleep_until(start_time + fault.begin_s)
        click.echo(
            f"{fault.begin_s:7.2f} s  {fault.kind:6} {fault.target:10}"
            f" for {fault.duration_s:.2f} s"
        )
        fleet, name = self._fleet, fault.target
        match fault.kind:
            case schedule.FREEZE:
                fleet.freeze(name)
                await trio.sleep(fault.duration_s)
                fleet.resume(name)
                return
            case schedule.CUT:
                self._relays[name].cut = True
                await trio.sleep(fault.duration_s)
                self._relays[name].cut = False
                return
            case schedule.DELAY:
                self._relays[name].delay_s = 0.05
                await trio.sleep(fault.duration_s)
                self._relays[name].delay_s = 0.0
                return
            case schedule.KILL:
                fleet.kill(name)
            case schedule.BLANK:
                fleet.wipe(name)
            case schedule.STOP:
                await fleet.stop(name)
        await trio.sleep(fault.duration_s)
        fleet.start(name)

    async def _watch_revision(self, name: str) -> None:
        """Record a decrease of an entry's revision within one incarnation."""
        highest: dict[str, int] = {}
        while True:
            await trio.sleep(0.25)
            body = await _fetch_readiness(name)
            revision = int(body.get("revision", 0))
            incarnation = str(self._fleet.process_id(name))
            if revision and revision < highest.get(incarnation, 0):
                self.history.revision_findings.append(
                    f"{name} went from {highest[incarnation]} to {revision}"
                )
            highest[incarnation] = max(revision, highest.get(incarnation, 0))

    async def _wait_for_convergence(self) -> None:
        """Wait until all entries have the newest revision, then run checks.

        Adds findings on edits, on processes that ended unexpectedly and on
        unclean stops.
        """
        deadline = trio.current_time() + _CONVERGENCE_TIMEOUT_S
        operators = callers.Operators(self.history, self._rng)
        revisions: dict[str, int] = {}
        newest = 0
        while trio.current_time() < deadline:
            newest = await operators.revision() or newest
            for name in layout.names(layout.ENTRY):
                body = await _fetch_readiness(name)
                revisions[name] = int(body.get("revision", 0))
            if newest and set(revisions.values()) == {newest}:
                break
            await trio.sleep(0.5)
        else:
            self.findings.append(
                f"entries not at revision {newest}: {revisions}"
            )
        self.findings += history.check_edits(self.history, newest)
        self.findings += [
            f"ended unexpectedly: {x}" for x in self._fleet.unexpectedly_ended()
        ]
        self.findings += self._fleet.unclean_stops

    def _check_history(self) -> None:
        ledgers = [
            self._folder / f"{name}.ledger"
            for name in layout.names(layout.SERVER)
        ]
        runs = history.read_runs(ledgers)
        runs_by_key = history.count_runs_by_key(runs)
        self.findings += history.check_payments(self.history, runs_by_key)
        self.findings += history.check_organisations(
            runs, callers.ORGANISATION, callers.STRANGERS_PATH
        )
        self.findings += history.check_leaves(
            runs, self.faults, self._start_utc_s
        )
        self.findings += crashes.check_crashes(
            self.history.crashes, self.faults
        )
        self.findings += [
            f"response to another request: {path}"
            for path in self.history.misdelivered_paths
        ]
        for upload in self.history.uploads:
            cut = upload.outcome not in (history.ANSWERED, history.NOT_RUN)
            if cut and not self._may_be_cut_by_fault(upload):
                self.findings.append(f"upload lost without a fault: {upload}")

    def _may_be_cut_by_fault(self, upload: history.Upload) -> bool:
        return any(
            crash.sent_s <= upload.end_s
            and upload.begin_s <= crash.sent_s + _RECOVERY_MARGIN_S
            for crash in self.history.crashes
        ) or any(
            fault.kind in _CUTTING_FAULTS
            and layout.role_of(fault.target) != layout.CONTROL
            and fault.begin_s <= upload.end_s
            and upload.begin_s
            <= fault.begin_s + fault.duration_s + _RECOVERY_MARGIN_S
            for fault in self.faults
        )


async def _fetch_readiness(name: str) -> dict[str, object]:
    try:
        answer = await callers.send_request(
            layout.http_address(name), "GET", "/hyssop/v1/readyz"
        )
        return dict(json.loads(answer.body))
    except callers.FAILURES:
        return {}


def _report(run: Run) -> None:
    run_history = run.history
    payment_outcomes: dict[str, int] = {}
    for payment in run_history.payments.values():
        payment_outcomes[payment.outcome] = (
            payment_outcomes.get(payment.outcome, 0) + 1
        )
    upload_outcomes: dict[str, int] = {}
    for upload in run_history.uploads:
        upload_outcomes[upload.outcome] = (
            upload_outcomes.get(upload.outcome, 0) + 1
        )
    click.echo(f"faults injected: {len(run.faults)}")
    click.echo(f"reads: {dict(run_history.reads)}")
    click.echo(f"without a valid key: {dict(run_history.strangers)}")
    click.echo(f"payments: {payment_outcomes}")
    click.echo(f"uploads: {upload_outcomes}")
    click.echo(f"servers crashed by one request: {len(run_history.crashes)}")
    click.echo(
        f"outcomes of that request: {dict(run_history.crash_request_outcomes)}"
    )
    click.echo(f"edits accepted: {len(run_history.accepted)}")
    for finding in run.findings:
        click.echo(f"FAULT {finding}")
    click.echo("verdict: " + ("FAILED" if run.findings else "good"))


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=60.0, show_default=True)
@click.option("--folder", default="run/chaos", show_default=True)
def main(seed: int, seconds: float, folder: str) -> None:
    """Inject faults into a small system of real processes and check it.

    The same seed gives the same schedule of faults. The behaviour of the
    processes also depends on the timing of the machine.
    """
    output_folder = pathlib.Path(folder).resolve()
    shutil.rmtree(output_folder, ignore_errors=True)
    output_folder.mkdir(parents=True)
    click.echo(f"seed {seed}, {seconds:g} s")
    run = Run(seed, seconds, output_folder)
    trio.run(run.run)
    _report(run)
    sys.exit(1 if run.findings else 0)


if __name__ == "__main__":
    main()
