"""Measures the CPU cost of choosing a server, by the size of the pool.

`python -m bench.local_choice` prints it, and the cost of reports of silent
servers.
"""

import time

import click

from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import server_stats
from hyssopfold.core.membership import messages as membership
from hyssopfold.transport import datagram_wire

_OBJECTS = 200
_REGIONS = (messages.Region("dar", False), messages.Region("arusha", False))


def _server(number: int) -> membership.Server:
    region = ("dar", "arusha")[number % 2]
    return membership.Server(
        f"s{number}", "ledger", f"10.0.0.{number}:80", region, region, 3, 300,
        "ready", 1, 1, 0.0,
    )  # fmt: skip


def choice_us(servers: int, rounds: int) -> float:
    """Return the CPU microseconds of a choice and of recording its result."""
    servers_of_pool = tuple(map(_server, range(servers)))
    entry_names = tuple(f"entry-{number}" for number in range(80))
    chooser = local.Chooser(entry_names[0], "dar")

    def choose(number: int) -> None:
        view = local.View(
            servers_of_pool,
            lambda _: False,
            5.0,
            3.0,
            entry_names,
            number / 100,
        )
        req = messages.Request(
            str(number), "ledger", _REGIONS, 1, 1e9, (),
            str(number % _OBJECTS), 0.3,
        )  # fmt: skip
        grant = chooser.choose(req, view)
        assert isinstance(grant, messages.Grant)
        result = messages.AttemptResult(
            "answered", 0.1, load=messages.Load(1, 0, 3)
        )
        chooser.record_done(grant.server.server_id, result, 3.0, number / 100)

    for number in range(_OBJECTS):
        choose(number)
    started_at = time.process_time()
    for number in range(rounds):
        choose(number)
    return (time.process_time() - started_at) / rounds * 1e6


def silence_report_cost(servers: int, rounds: int) -> tuple[int, float]:
    """Return the bytes of a report of silent servers and its CPU microseconds.

    The CPU time is that of encoding, decoding and recording the report.
    """
    incarnation_keys = tuple(
        server_stats.incarnation_key(f"s{number}", 1)
        for number in range(servers)
    )
    chooser = local.Chooser("entry-0", "dar")
    started_at = time.process_time()
    data = b""
    for _ in range(rounds):
        message = messages.SilentServers(incarnation_keys)
        data = datagram_wire.encode_message("entry-1", message)
        received = datagram_wire.decode(data)
        assert isinstance(received, datagram_wire.ReceivedMessage)
        chooser.record_silent("entry-1", incarnation_keys, 0.0)
    return len(data), (time.process_time() - started_at) / rounds * 1e6


@click.command()
@click.option("--rounds", default=5000, show_default=True)
def main(rounds: int) -> None:
    """Print a row for each pool size and for each size of a report."""
    for servers in (12, 50, 100, 200, 400):
        cost_us = choice_us(servers, rounds)
        click.echo(f"{servers:4} servers  {cost_us:6.1f} us a choice")
    for silent in (1, 7, 25):
        size_bytes, cost_us = silence_report_cost(silent, rounds)
        click.echo(
            f"{silent:4} silent  {size_bytes:4} bytes  {cost_us:6.1f} us"
        )


if __name__ == "__main__":
    main()
