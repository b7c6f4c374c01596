"""Command `python -m bench.chaos`: break a real system, check its books."""

import json
import pathlib
import random
import shutil
import sys

import click
import trio

from bench.chaos import books
from bench.chaos import callers
from bench.chaos import crashes
from bench.chaos import fleet as fleets
from bench.chaos import layout
from bench.chaos import relay
from bench.chaos import schedule

_READERS, _PAYERS, _UPLOADERS = 3, 3, 2
_FORM_S = 30.0
_SETTLE_S = 13.0
# An upload that overlaps with one of these may be lost; a planned stop is
# not among them.
_EXCUSES = (schedule.KILL, schedule.FREEZE, schedule.BLANK)
_MARGIN_S = 6.0


class Run:
    """One failure run.

    Args:
        seed: Decides the faults and the order of everything chosen.
        seconds: Length of the run.
        folder: Where settings, logs and data go.
    """

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path) -> None:
        self.notes = books.Books()
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

    async def run(self) -> None:
        """Run the system, the load and the faults; leave the findings."""
        try:
            async with trio.open_nursery() as nursery:
                for link in self._relays.values():
                    nursery.start_soon(link.run)
                self._fleet.start_all()
                await self._form()
                await self._load()
                await self._settle()
                nursery.cancel_scope.cancel()
        finally:
            self._fleet.end_all()
        self._check_books()

    async def _form(self) -> None:
        operators = callers.Operators(self.notes, self._rng)
        text = pathlib.Path(callers.EXAMPLE).read_text(encoding="utf-8")
        with trio.fail_after(_FORM_S):
            while await operators.revision() is None:
                await trio.sleep(0.1)
            answer = await callers.put_tables("control-1", "first", 0, text)
        if answer.status != 200:
            raise RuntimeError(f"no first revision: {answer}")
        self.notes.accept("first", 1)

    async def _load(self) -> None:
        began = trio.current_time()
        people = callers.Callers(self.notes, self._rng, began)
        operators = callers.Operators(self.notes, self._rng)
        with trio.move_on_after(self._seconds):
            async with trio.open_nursery() as nursery:
                for _ in range(_READERS):
                    nursery.start_soon(people.read)
                for _ in range(_PAYERS):
                    nursery.start_soon(people.pay)
                for _ in range(_UPLOADERS):
                    nursery.start_soon(people.upload)
                nursery.start_soon(operators.race)
                crasher = crashes.Crasher(
                    self._fleet, self.notes, self._rng, began
                )
                nursery.start_soon(crasher.run)
                for name in layout.names(layout.ENTRY):
                    nursery.start_soon(self._watch_revision, name)
                for fault in self.faults:
                    nursery.start_soon(self._inflict, fault, began)

    async def _inflict(self, fault: schedule.Fault, began: float) -> None:
        await trio.sleep_until(began + fault.at_s)
        click.echo(
            f"{fault.at_s:7.2f} s  {fault.kind:6} {fault.target:10}"
            f" for {fault.length_s:.2f} s"
        )
        fleet, name = self._fleet, fault.target
        match fault.kind:
            case schedule.FREEZE:
                fleet.freeze(name)
                await trio.sleep(fault.length_s)
                fleet.thaw(name)
                return
            case schedule.CUT:
                self._relays[name].cut = True
                await trio.sleep(fault.length_s)
                self._relays[name].cut = False
                return
            case schedule.DELAY:
                self._relays[name].delay_s = 0.05
                await trio.sleep(fault.length_s)
                self._relays[name].delay_s = 0.0
                return
            case schedule.KILL:
                fleet.kill(name)
            case schedule.BLANK:
                fleet.blank(name)
            case schedule.STOP:
                await fleet.stop(name)
        await trio.sleep(fault.length_s)
        fleet.start(name)

    async def _watch_revision(self, name: str) -> None:
        """Note an entry whose revision falls within one life of it."""
        last: dict[str, int] = {}
        while True:
            await trio.sleep(0.25)
            body = await _ready(name)
            revision = int(body.get("revision", 0))
            life = str(self._fleet.identity(name))
            if revision and revision < last.get(life, 0):
                self.notes.reverted.append(
                    f"{name} went from {last[life]} to {revision}"
                )
            last[life] = max(revision, last.get(life, 0))

    async def _settle(self) -> None:
        """Give every process its time to come back, then compare them."""
        deadline = trio.current_time() + _SETTLE_S
        operators = callers.Operators(self.notes, self._rng)
        stands: dict[str, int] = {}
        newest = 0
        while trio.current_time() < deadline:
            newest = await operators.revision() or newest
            for name in layout.names(layout.ENTRY):
                body = await _ready(name)
                stands[name] = int(body.get("revision", 0))
            if newest and set(stands.values()) == {newest}:
                break
            await trio.sleep(0.5)
        else:
            self.findings.append(f"not all at {newest}: {stands}")
        self.findings += books.faults_of_edits(self.notes, newest)
        self.findings += [f"ended by itself: {x}" for x in self._fleet.ended()]
        self.findings += self._fleet.unclean_stops

    def _check_books(self) -> None:
        ledgers = [
            self._folder / f"{name}.ledger"
            for name in layout.names(layout.SERVER)
        ]
        ran = books.ran_by_key(ledgers)
        self.findings += books.faults_of_payments(self.notes, ran)
        self.findings += crashes.faults_of_crashes(
            self.notes.crashes, self.faults
        )
        self.findings += [f"crossed: {path}" for path in self.notes.crossed]
        for upload in self.notes.uploads:
            cut = upload.told not in (books.ANSWERED, books.NOT_RUN)
            if cut and not self._is_excused(upload):
                self.findings.append(f"cut without a fault: {upload}")

    def _is_excused(self, upload: books.Upload) -> bool:
        return any(
            one.sent_s <= upload.ended_s
            and upload.began_s <= one.sent_s + _MARGIN_S
            for one in self.notes.crashes
        ) or any(
            fault.kind in _EXCUSES
            and layout.role_of(fault.target) != layout.CONTROL
            and fault.at_s <= upload.ended_s
            and upload.began_s <= fault.at_s + fault.length_s + _MARGIN_S
            for fault in self.faults
        )


async def _ready(name: str) -> dict[str, object]:
    try:
        answer = await callers.ask(
            layout.http_address(name), "GET", "/hyssop/v1/readyz"
        )
        return dict(json.loads(answer.body))
    except callers.FAILURES:
        return {}


def _report(run: Run) -> None:
    notes = run.notes
    told: dict[str, int] = {}
    for payment in notes.payments.values():
        told[payment.told] = told.get(payment.told, 0) + 1
    uploads: dict[str, int] = {}
    for upload in notes.uploads:
        uploads[upload.told] = uploads.get(upload.told, 0) + 1
    click.echo(f"faults inflicted: {len(run.faults)}")
    click.echo(f"reads: {dict(notes.reads)}")
    click.echo(f"payments: {told}")
    click.echo(f"uploads: {uploads}")
    click.echo(f"servers crashed by one request: {len(notes.crashes)}")
    click.echo(f"answers to it: {dict(notes.crashers)}")
    click.echo(f"edits accepted: {len(notes.accepted)}")
    for finding in run.findings:
        click.echo(f"FAULT {finding}")
    click.echo("verdict: " + ("FAILED" if run.findings else "good"))


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=60.0, show_default=True)
@click.option("--folder", default="run/chaos", show_default=True)
def main(seed: int, seconds: float, folder: str) -> None:
    """Break a small system of real processes, and say whether it held.

    The same seed gives the same schedule of faults; what the processes make
    of it depends on the machine.
    """
    place = pathlib.Path(folder).resolve()
    shutil.rmtree(place, ignore_errors=True)
    place.mkdir(parents=True)
    click.echo(f"seed {seed}, {seconds:g} s")
    run = Run(seed, seconds, place)
    trio.run(run.run)
    _report(run)
    sys.exit(1 if run.findings else 0)


if __name__ == "__main__":
    main()
