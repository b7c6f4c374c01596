"""What choosing a server costs by the pool's size: `python -m bench.local_choice`."""

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
    """Return the processor time of a choice and its end, in microseconds."""
    words = tuple(map(_server, range(servers)))
    names = tuple(f"entry-{number}" for number in range(80))
    chooser = local.Chooser(names[0], "dar")

    def choose(number: int) -> None:
        view = local.View(words, lambda _: False, 5.0, 3.0, names, number / 100)
        req = messages.Request(
            str(number), "ledger", _REGIONS, 1, 1e9, (),
            str(number % _OBJECTS), 0.3,
        )  # fmt: skip
        grant = chooser.choose(req, view)
        assert isinstance(grant, messages.Grant)
        done = messages.AttemptResult(
            "answered", 0.1, load=messages.Load(1, 0, 3)
        )
        chooser.record_done(grant.server.server_id, done, 3.0, number / 100)

    for number in range(_OBJECTS):
        choose(number)
    began = time.process_time()
    for number in range(rounds):
        choose(number)
    return (time.process_time() - began) / rounds * 1e6


def silence_report_cost(servers: int, rounds: int) -> tuple[int, float]:
    """Return bytes of a word on silent servers, and its cost at both ends, us."""
    keys = tuple(
        server_stats.incarnation_key(f"s{number}", 1)
        for number in range(servers)
    )
    chooser = local.Chooser("entry-0", "dar")
    began = time.process_time()
    data = b""
    for _ in range(rounds):
        message = messages.SilentServers(keys)
        data = datagram_wire.encode_message("entry-1", message)
        parcel = datagram_wire.decode(data)
        assert isinstance(parcel, datagram_wire.ReceivedMessage)
        chooser.record_silent("entry-1", keys, 0.0)
    return len(data), (time.process_time() - began) / rounds * 1e6


@click.command()
@click.option("--rounds", default=5000, show_default=True)
def main(rounds: int) -> None:
    """Print a row for each size of pool, and what a datagram costs."""
    for servers in (12, 50, 100, 200, 400):
        cost = choice_us(servers, rounds)
        click.echo(f"{servers:4} servers  {cost:6.1f} us a choice")
    for silent in (1, 7, 25):
        size, cost = silence_report_cost(silent, rounds)
        click.echo(f"{silent:4} silent  {size:4} bytes  {cost:6.1f} us")


if __name__ == "__main__":
    main()
