"""Command `python -m bench.datapath`: measures one entry on loopback."""

import time

import click
import trio

from bench.datapath import fleet
from bench.datapath import uploads
from bench.load import report
from bench.load import runner
from bench.load import scenario as scenarios

CALLERS = (1, 16, 128)
_READ = scenarios.RequestKind("read", "GET", "/read/{n}", 0, 1.0, False)
_ORDER = scenarios.RequestKind("order", "POST", "/order/{n}", 100, 1.0, False)
_KEYED = scenarios.RequestKind("keyed", "POST", "/order/{n}", 100, 1.0, True)


def _scenario(
    address: str, kind: scenarios.RequestKind, callers: int, seconds: float,
    seed: int, rate: float = 0,
) -> scenarios.Scenario:  # fmt: skip
    return scenarios.Scenario(
        name=kind.name,
        seed=seed,
        host=fleet.HOST,
        entries=(address,),
        look_up=False,
        arrivals=scenarios.OPEN if rate else scenarios.CLOSED,
        rate=rate,
        callers=callers,
        seconds=seconds,
        warm_up_s=0.5,
        timeout_s=10.0,
        mix=(kind,),
    )


def _run_scenario(scenario: scenarios.Scenario) -> report.Row:
    load_run = runner.Run(scenario)
    seconds = trio.run(load_run.run)
    (row,) = report.summarize(scenario, load_run.tally, seconds).rows
    return row


def _print_row(name: str, callers: int, row: report.Row) -> None:
    p50, p99, p99_9 = (row.percentiles_ms[key] for key in ("50", "99", "99.9"))
    click.echo(
        f"| {name} | {callers} | {row.per_second:.0f} | {p50:.2f} | {p99:.2f}"
        f" | {p99_9:.2f} | {row.outcomes} |"
    )


@click.group()
def cli() -> None:
    """Measure the data path with real processes on loopback."""


@cli.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=4.0)
def latency(seed: int, seconds: float) -> None:
    """Latency of 1, 16 and 128 closed-loop callers, direct and by the entry."""
    with fleet.Fleet() as processes:
        click.echo("| by | callers | req/s | p50 ms | p99 ms | p99.9 ms | |")
        for name, address in (
            ("stand-in", processes.server),
            ("entry", processes.entry),
        ):
            for callers in CALLERS:
                scenario = _scenario(address, _READ, callers, seconds, seed)
                _print_row(name, callers, _run_scenario(scenario))


@cli.command("open")
@click.option("--seed", default=1)
@click.option("--seconds", default=8.0)
@click.option("--rate", "rates", multiple=True, type=float)
def open_loop(seed: int, seconds: float, rates: tuple[float, ...]) -> None:
    """Latency of open-loop requests, sent at a fixed mean rate."""
    with fleet.Fleet() as processes:
        click.echo("| by | rate | req/s | p50 ms | p99 ms | p99.9 ms | |")
        for rate in rates or (50.0, 200.0):
            scenario = _scenario(
                processes.entry, _READ, 256, seconds, seed, rate
            )
            _print_row("entry", int(rate), _run_scenario(scenario))


@cli.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=4.0)
def cpu(seed: int, seconds: float) -> None:
    """CPU time of the entry for each request, by request kind."""
    with fleet.Fleet() as processes:
        click.echo("| kind | req/s | p50 ms | p99 ms | entry CPU ms/request |")
        for kind in (_READ, _ORDER, _KEYED):
            cpu_before_s = processes.cpu_s("entry")
            row = _run_scenario(
                _scenario(processes.entry, kind, 1, seconds, seed)
            )
            used_cpu_s = processes.cpu_s("entry") - cpu_before_s
            # The CPU time includes the requests of the 0.5 s warm-up, which
            # `count` leaves out.
            count = row.count * (seconds + 0.5) / seconds
            p50, p99 = row.percentiles_ms["50"], row.percentiles_ms["99"]
            click.echo(
                f"| {kind.name} | {row.per_second:.0f} | {p50:.2f} |"
                f" {p99:.2f} | {used_cpu_s * 1000 / count:.3f} |"
            )


@cli.command()
@click.option("--large-mb", default=2000)
@click.option("--count", default=100)
@click.option("--each-mb", default=10)
def memory(large_mb: int, count: int, each_mb: int) -> None:
    """Resident memory of the entry during uploads."""
    with fleet.Fleet() as processes:
        click.echo(f"at rest: {processes.resident_mb('entry'):.1f} MB")
        started_at, used_cpu_s = time.monotonic(), processes.cpu_s("entry")
        trio.run(uploads.upload, processes.entry, large_mb * 1_000_000)
        duration_s = time.monotonic() - started_at
        used_cpu_s = processes.cpu_s("entry") - used_cpu_s
        click.echo(
            f"after one upload of {large_mb} MB in {duration_s:.1f} s:"
            f" peak {processes.resident_mb('entry', peak=True):.1f} MB,"
            f" {used_cpu_s * 1000 / large_mb:.2f} ms of CPU for each MB"
        )

    async def upload_all(address: str) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(uploads.upload, address, each_mb * 1_000_000)

    with fleet.Fleet() as processes:
        idle_mb = processes.resident_mb("entry")
        trio.run(upload_all, processes.entry)
        peak_mb = processes.resident_mb("entry", peak=True)
        click.echo(
            f"{count} uploads of {each_mb} MB at once:"
            f" {idle_mb:.1f} MB at rest,"
            f" peak {peak_mb:.1f} MB,"
            f" {(peak_mb - idle_mb) / count * 1000:.0f} KB each"
        )


@cli.command()
@click.option("--count", default=10)
@click.option("--upload-s", default=8.0)
@click.option("--ttl-s", default=2.0)
def drain(count: int, upload_s: float, ttl_s: float) -> None:
    """Duration of a planned stop of an entry, idle and during uploads."""
    for uploading in (0, count):
        with fleet.Fleet(lookup_ttl_s=ttl_s) as processes:
            trio.run(_drain, processes, uploading, upload_s)


async def _drain(processes: fleet.Fleet, count: int, upload_s: float) -> None:
    rate = 1_000_000.0
    answered_at: list[float] = []

    async def upload_one() -> None:
        size = int(rate * upload_s)
        answered_at.append(await uploads.upload(processes.entry, size, rate))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(upload_one)
        await trio.sleep(1.0)
        signalled_at = time.monotonic()
        processes.terminate("entry")
        while processes.exit_status("entry") is None:
            await trio.sleep(0.02)
        exited_at = time.monotonic()
    last_answer_at = max(answered_at, default=signalled_at)
    click.echo(
        f"{count} uploads of {upload_s:g} s under way: exit status"
        f" {processes.exit_status('entry')}"
        f" {exited_at - signalled_at:.2f} s after SIGTERM,"
        f" {exited_at - last_answer_at:.2f} s after the last answer;"
        f" {len(answered_at)} of {count} whole"
    )


if __name__ == "__main__":
    cli()
