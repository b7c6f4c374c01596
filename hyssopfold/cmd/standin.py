"""Command `hyssop-standin`: backend servers and callers for trials."""

import random
import signal
import sys
from typing import Any

import click
import httpcore
import trio

import hyssopfold
from hyssopfold import errors
from hyssopfold import logs
from hyssopfold import supervisor
from hyssopfold.cmd import daemon
from hyssopfold.standin import caller as standin_caller
from hyssopfold.standin import server as standin_server
from hyssopfold.standin import wire


@click.group()
@click.version_option(hyssopfold.__version__)
def cli() -> None:
    """Stand in for the systems that hyssopfold serves."""


@cli.command()
@click.option("--id", "server_id", required=True, help="Name of the server.")
@click.option("--pool", required=True, help="Pool it belongs to.")
@click.option("--address", required=True, help="IP:PORT to serve on.")
@click.option("--region", required=True)
@click.option("--failure-domain", required=True)
@click.option("--slots", default=3, show_default=True)
@click.option("--connections", default=330, show_default=True)
@click.option("--service-ms", default=5.0, show_default=True)
@click.option("--exponential", is_flag=True, help="Spread service times.")
@click.option("--cold-factor", default=1.0, show_default=True)
@click.option("--warm-requests", default=0, show_default=True)
@click.option("--idle-ms", default=0.0, help="Close unused connections.")
@click.option(
    "--fault",
    "faults",
    multiple=True,
    help="NAME=SHARE of requests that meet this fault.",
)
@click.option("--seed", default=0, show_default=True)
@click.option("--ledger", default="", help="File to write each run to.")
@click.option(
    "--announce-to",
    multiple=True,
    required=True,
    help="IP:PORT of an entry or control instance; the first that answers.",
)
@click.option("--log-level", default="info", show_default=True)
def server(
    service_ms: float,
    idle_ms: float,
    faults: tuple[str, ...],
    log_level: str,
    **options: Any,
) -> None:
    """Run a backend server that announces itself."""
    logs.configure(str(options["server_id"]), log_level, 1)
    chosen = standin_server.Options(
        service_s=service_ms / 1000,
        idle_s=idle_ms / 1000 or float("inf"),
        faults=tuple(_fault(text) for text in faults),
        **options,
    )
    try:
        trio.run(_serve, chosen)
    except (BaseExceptionGroup, errors.HyssopError) as exc:
        sys.exit(daemon.report(exc))


def _fault(text: str) -> tuple[str, float]:
    name, _, share = text.partition("=")
    if name not in wire.FAULTS:
        known = ", ".join(sorted(wire.FAULTS))
        raise click.BadParameter(f"{name}: write one of {known}")
    return name, float(share or 1)


async def _serve(options: standin_server.Options) -> None:
    standin = standin_server.Server(options)
    stop = trio.Event()
    rng = random.Random()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            supervisor.supervise, "announce", standin.announce, rng
        )
        nursery.start_soon(_wait_for_stop, standin, stop)
        await standin.serve(stop, 30.0)
        nursery.cancel_scope.cancel()
    if standin.has_crashed:
        sys.exit(standin_server.CRASHED_STATUS)


async def _wait_for_stop(
    standin: standin_server.Server, stop: trio.Event
) -> None:
    """Announce `leaving` on a signal, and stop once entries know it."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            standin.leave()
            await trio.sleep(3 * standin_server.ANNOUNCE_PERIOD_S)
            stop.set()
            return


@cli.command()
@click.option("--entry", required=True, help="IP:PORT of any entry.")
@click.option("--host", required=True, help="Host to ask for.")
@click.option("--path", default="/catalogue/", show_default=True)
@click.option("--method", default="GET", show_default=True)
@click.option("--size", default=0, help="Bytes of body to send.")
@click.option("--count", default=1, show_default=True)
def call(
    entry: str, host: str, path: str, method: str, size: int, count: int
) -> None:
    """Look an entry up and send requests through it."""
    try:
        ok = trio.run(_call, entry, host, path, method, size, count)
    except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
        click.echo(f"no answer from {entry}: {exc!r}", err=True)
        sys.exit(1)
    except errors.HyssopError as exc:
        sys.exit(daemon.report(exc))
    sys.exit(0 if ok else 1)


async def _call(
    entry: str, host: str, path: str, method: str, size: int, count: int
) -> bool:
    person = standin_caller.Caller(host)
    found = await person.look_up(entry, path)
    click.echo(
        f"look-up: entry {found.address} in {found.region},"
        f" revision {found.revision}, ttl {found.ttl_s:g} s"
    )
    ok = True
    for _ in range(count):
        outcome = await person.send(found.address, method, path, size)
        ok = ok and outcome.status < 400
        click.echo(
            f"{method} {path}: status {outcome.status},"
            f" sent {size} bytes, {outcome.seconds * 1000:.1f} ms,"
            f" {outcome.body.decode(errors='replace')}"
        )
    await person.aclose()
    return ok


def main() -> None:
    """Run the command."""
    cli()
