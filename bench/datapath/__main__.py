"""Command `python -m bench.datapath`."""

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
    address: str, kind: scenarios.RequestKind, callers: int, seconds: float, seed: int,
    rate: float = 0,
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


def _load(scenario: scenarios.Scenario) -> report.Row:
    load = runner.Run(scenario)
    seconds = trio.run(load.run)
    (row,) = report.summarize(scenario, load.tally, seconds).rows
    return row


def _print_row(name: str, callers: int, row: report.Row) -> None:
    p50, p99, p999 = (row.percentiles_ms[key] for key in ("50", "99", "99.9"))
    click.echo(
        f"| {name} | {callers} | {row.per_second:.0f} | {p50:.2f} | {p99:.2f}"
        f" | {p999:.2f} | {row.outcomes} |"
    )


@click.group()
def cli() -> None:
    """Measure the data path over real processes on loopback."""


@cli.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=4.0)
def latency(seed: int, seconds: float) -> None:
    """Closed loops of 1, 16 and 128 callers, direct and by the entry."""
    with fleet.Fleet() as running:
        click.echo("| by | callers | req/s | p50 ms | p99 ms | p99.9 ms | |")
        for name, address in (
            ("stand-in", running.server),
            ("entry", running.entry),
        ):
            for callers in CALLERS:
                scenario = _scenario(address, _READ, callers, seconds, seed)
                _print_row(name, callers, _load(scenario))


@cli.command("open")
@click.option("--seed", default=1)
@click.option("--seconds", default=8.0)
@click.option("--rate", "rates", multiple=True, type=float)
def open_loop(seed: int, seconds: float, rates: tuple[float, ...]) -> None:
    """Requests at a rate, whatever the answers take."""
    with fleet.Fleet() as running:
        click.echo("| by | rate | req/s | p50 ms | p99 ms | p99.9 ms | |")
        for rate in rates or (50.0, 200.0):
            scenario = _scenario(running.entry, _READ, 256, seconds, seed, rate)
            _print_row("entry", int(rate), _load(scenario))


@cli.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=4.0)
def cpu(seed: int, seconds: float) -> None:
    """Processor time of the entry for each request, by kind."""
    with fleet.Fleet() as running:
        click.echo("| kind | req/s | p50 ms | p99 ms | entry CPU ms/request |")
        for kind in (_READ, _ORDER, _KEYED):
            before = running.cpu_s("entry")
            row = _load(_scenario(running.entry, kind, 1, seconds, seed))
            used = running.cpu_s("entry") - before
            # The warm-up's requests are paid for too, but not counted.
            count = row.count * (seconds + 0.5) / seconds
            p50, p99 = row.percentiles_ms["50"], row.percentiles_ms["99"]
            click.echo(
                f"| {kind.name} | {row.per_second:.0f} | {p50:.2f} |"
                f" {p99:.2f} | {used * 1000 / count:.3f} |"
            )


@cli.command()
@click.option("--large-mb", default=2000)
@click.option("--count", default=100)
@click.option("--each-mb", default=10)
def memory(large_mb: int, count: int, each_mb: int) -> None:
    """Resident size of the entry under uploads."""
    with fleet.Fleet() as running:
        click.echo(f"at rest: {running.resident_mb('entry'):.1f} MB")
        began, used = time.monotonic(), running.cpu_s("entry")
        trio.run(uploads.upload, running.entry, large_mb * 1_000_000)
        took = time.monotonic() - began
        used = running.cpu_s("entry") - used
        click.echo(
            f"after one upload of {large_mb} MB in {took:.1f} s:"
            f" peak {running.resident_mb('entry', peak=True):.1f} MB,"
            f" {used * 1000 / large_mb:.2f} ms of CPU for each MB"
        )

    async def many(address: str) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(uploads.upload, address, each_mb * 1_000_000)

    with fleet.Fleet() as running:
        rest = running.resident_mb("entry")
        trio.run(many, running.entry)
        peak = running.resident_mb("entry", peak=True)
        click.echo(
            f"{count} uploads of {each_mb} MB at once: {rest:.1f} MB at rest,"
            f" peak {peak:.1f} MB, {(peak - rest) / count * 1000:.0f} KB each"
        )


@cli.command()
@click.option("--count", default=10)
@click.option("--upload-s", default=8.0)
@click.option("--ttl-s", default=2.0)
def drain(count: int, upload_s: float, ttl_s: float) -> None:
    """Planned stop of an entry, with and without uploads under way."""
    for uploading in (0, count):
        with fleet.Fleet(lookup_ttl_s=ttl_s) as running:
            trio.run(_drain, running, uploading, upload_s)


async def _drain(running: fleet.Fleet, count: int, upload_s: float) -> None:
    rate = 1_000_000.0
    ends: list[float] = []

    async def one() -> None:
        size = int(rate * upload_s)
        ends.append(await uploads.upload(running.entry, size, rate))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(one)
        await trio.sleep(1.0)
        asked = time.monotonic()
        running.ask_to_stop("entry")
        while running.exit_status("entry") is None:
            await trio.sleep(0.02)
        ended = time.monotonic()
    last = max(ends, default=asked)
    click.echo(
        f"{count} uploads of {upload_s:g} s under way: exit status"
        f" {running.exit_status('entry')} {ended - asked:.2f} s after SIGTERM,"
        f" {ended - last:.2f} s after the last answer;"
        f" {len(ends)} of {count} whole"
    )


if __name__ == "__main__":
    cli()
