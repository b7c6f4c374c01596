"""Cost of a look-up, of arranging the entries, and of client blocks."""

import time

from bench import client_blocks
from bench.capacity import slopes
from hyssopfold.core.membership import messages
from hyssopfold.core.steering import lookup

_COMMAND = "python -m bench.capacity --part lookup"
_ENTRIES = (12, 50, 100, 200, 440)
_BLOCKS = (50_000, 100_000, 200_000)
_REGIONS = 7
_DOMAINS = 15
_CALLS = 5_000


def _entries(count):
    return [
        messages.Instance(
            f"entry-{n}", "entry", f"10.0.0.{n}:80", "", f"r{n % _REGIONS}",
            f"d{n % _DOMAINS}", "ready", 1, 1, 1, float(n % 9),
        )
        for n in range(count)
    ]  # fmt: skip


def _us(call, count):
    began = time.process_time()
    for number in range(count):
        call(number)
    return (time.process_time() - began) / count * 1e6


def measure():
    """Return the slopes."""
    ranked, same, anew, memory, parse = [], [], [], [], []
    regions = [f"r{n}" for n in range(_REGIONS)]
    for count in _ENTRIES:
        entries = _entries(count)
        roster = lookup.Roster()
        roster.update(entries)

        def rank(number, roster=roster):
            roster.rank(f"10.1.{number % 250}.{number}", regions)

        def update(_, roster=roster, entries=entries):
            roster.update(entries)

        def arrange(_, entries=entries):
            lookup.Roster().update(entries)

        ranked.append(slopes.Point(count, _us(rank, _CALLS)))
        same.append(slopes.Point(count, _us(update, 20)))
        anew.append(slopes.Point(count, _us(arrange, 5)))
    for count in _BLOCKS:
        result = client_blocks.measure(count, 1)
        memory.append(slopes.Point(count, result.array_bytes))
        parse.append(slopes.Point(count, result.parse_s))
    return [
        slopes.fit("lookup", "CPU of a ranking, us", "entry", ranked, _COMMAND),
        slopes.fit(
            "lookup", "CPU of a check that nothing changed, us", "entry", same,
            _COMMAND,
        ),
        slopes.fit(
            "lookup", "CPU of arranging the entries anew, us", "entry", anew,
            _COMMAND,
        ),
        slopes.fit(
            "lookup", "memory of client blocks, bytes", "block", memory,
            _COMMAND,
        ),
        slopes.fit(
            "lookup", "CPU of building client blocks, s", "block", parse,
            _COMMAND,
        ),
    ]  # fmt: skip
