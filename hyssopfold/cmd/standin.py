"""Command `hyssop-standin`: stand-in backend servers and callers for tests."""

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
    """Run stand-ins for the systems that hyssopfold serves."""


@cli.command()
@click.option("--id", "server_id", required=True, help="Name of the server.")
@click.option("--pool", required=True, help="Pool it belongs to.")
@click.option("--address", required=True, help="IP:PORT to serve on.")
@click.option("--region", required=True)
@click.option("--failure-domain", required=True)
@click.option("--slots", default=3, show_default=True)
@click.option("--connections", default=330, show_default=True)
@click.option("--service-ms", default=5.0, show_default=True)
@click.option(
    "--exponential",
    is_flag=True,
    help="Draw service times from an exponential distribution.",
)
@click.option("--cold-factor", default=1.0, show_default=True)
@click.option("--warm-requests", default=0, show_default=True)
@click.option(
    "--idle-ms",
    default=0.0,
    help="Idle time in ms after which a connection is closed.",
)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    help="NAME=SHARE of requests that get this fault.",
)
@click.option("--seed", default=0, show_default=True)
@click.option(
    "--ledger",
    default="",
    help="File to which each run of a request is written.",
)
@click.option(
    "--announce-to",
    multiple=True,
    required=True,
    help="IP:PORT of an entry or control instance; the first to answer is"
    " used.",
)
@click.option(
    "--leave-s",
    default=3 * standin_server.ANNOUNCE_PERIOD_S,
    show_default=True,
    help="Seconds for which it serves after SIGTERM, saying that it leaves.",
)
@click.option("--log-level", default="info", show_default=True)
def server(
    service_ms: float,
    idle_ms: float,
    faults: tuple[str, ...],
    leave_s: float,
    log_level: str,
    **options: Any,
) -> None:
    """Run a backend server that announces itself."""
    logs.configure(str(options["server_id"]), log_level, 1)
    server_options = standin_server.Options(
        service_s=service_ms / 1000,
        idle_s=idle_ms / 1000 or float("inf"),
        faults=tuple(_fault(text) for text in faults),
        **options,
    )
    try:
        trio.run(_serve, server_options, leave_s)
    except (BaseExceptionGroup, errors.HyssopError) as exc:
        sys.exit(daemon.report(exc))


def _fault(text: str) -> tuple[str, float]:
    name, _, share = text.partition("=")
    if name not in wire.FAULTS:
        names = ", ".join(sorted(wire.FAULTS))
        raise click.BadParameter(f"{name}: must be one of {names}")
    return name, float(share or 1)


async def _serve(options: standin_server.Options, leave_s: float) -> None:
    standin = standin_server.Server(options)
    stop = trio.Event()
    rng = random.Random()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            supervisor.supervise, "announce", standin.announce, rng
        )
        nursery.start_soon(_wait_for_stop, standin, stop, leave_s)
        await standin.serve(stop, 30.0)
        nursery.cancel_scope.cancel()
    if standin.has_crashed:
        sys.exit(standin_server.CRASHED_STATUS)


async def _wait_for_stop(
    standin: standin_server.Server, stop: trio.Event, leave_s: float
) -> None:
    """On a signal, announce `leaving`; stop `leave_s` seconds later."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            standin.leave()
            await trio.sleep(leave_s)
            stop.set()
            return


@cli.command()
@click.option("--entry", required=True, help="IP:PORT of any entry.")
@click.option("--host", required=True, help="Host name of the requests.")
@click.option("--path", default="/catalogue/", show_default=True)
@click.option("--method", default="GET", show_default=True)
@click.option("--size", default=0, help="Bytes of body to send.")
@click.option("--count", default=1, show_default=True)
def call(
    entry: str, host: str, path: str, method: str, size: int, count: int
) -> None:
    """Look up an entry and send requests through it."""
    try:
        succeeded = trio.run(_call, entry, host, path, method, size, count)
    except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
        click.echo(f"no answer from {entry}: {exc!r}", err=True)
        sys.exit(1)
    except errors.HyssopError as exc:
        sys.exit(daemon.report(exc))
    sys.exit(0 if succeeded else 1)


async def _call(
    entry: str, host: str, path: str, method: str, size: int, count: int
) -> bool:
    caller = standin_caller.Caller(host)
    lookup = await caller.look_up(entry, path)
    click.echo(
        f"look-up: entry {lookup.address} in {lookup.region},"
        f" revision {lookup.revision}, ttl {lookup.ttl_s:g} s"
    )
    succeeded = True
    for _ in range(count):
        answer = await caller.send(lookup.address, method, path, size)
        succeeded = succeeded and answer.status < 400
        click.echo(
            f"{method} {path}: status {answer.status},"
            f" sent {size} bytes, {answer.seconds * 1000:.1f} ms,"
            f" {answer.body.decode(errors='replace')}"
        )
    await caller.aclose()
    return succeeded


def main() -> None:
    """Run the command."""
    cli()
