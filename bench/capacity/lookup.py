"""Cost of a look-up, of arranging the entries, and of client blocks."""

import time
import types

import trio

from bench import client_blocks
from bench.capacity import slopes
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.core.steering import lookup
from hyssopfold.entry import blocks
from hyssopfold.entry import configuration
from hyssopfold.entry import lookups
from hyssopfold.entry import steering

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


class _Spread:
    """The directory's part that look-ups use."""

    def __init__(self, entries):
        self.directory = self
        self.instances = self
        self._entries = entries

    def records(self):
        """Return all instances."""
        return self._entries


async def _answer_us(count):
    first = tables.parse(
        "routes: [{name: r, path_prefix: /, pool: p}]\n"
        "pools: [{name: p, slots: 3}]\n"
    )
    config = types.SimpleNamespace(
        snapshot=configuration.Snapshot(1, state.State(first))
    )
    known = directory.Directory(1e9)
    clients = blocks.ClientBlocks("")
    steer = steering.Steering("r0", {}, config, known, clients)
    answers = lookups.Lookups(
        "r0", {}, 5.0, config, _Spread(_entries(count)), steer
    )
    return _us(
        lambda n: answers.answer(
            {"query_string": b"host=h&path=/a&client=10.1.2.%d" % (n % 250)}
        ),
        _CALLS,
    )


def measure():
    """Return the slopes."""
    ranked, same, anew, memory, parse = [], [], [], [], []
    answers = [slopes.Point(n, trio.run(_answer_us, n)) for n in _ENTRIES]
    regions = [f"r{n}" for n in range(_REGIONS)]
    for count in _ENTRIES:
        entries = _entries(count)
        index = lookup.EntryIndex()
        index.update(entries)

        def rank(number, index=index):
            index.rank(f"10.1.{number % 250}.{number}", regions)

        def update(_, index=index, entries=entries):
            index.update(entries)

        def arrange(_, entries=entries):
            lookup.EntryIndex().update(entries)

        ranked.append(slopes.Point(count, _us(rank, _CALLS)))
        same.append(slopes.Point(count, _us(update, 20)))
        anew.append(slopes.Point(count, _us(arrange, 5)))
    for count in _BLOCKS:
        result = client_blocks.measure(count, 1)
        memory.append(slopes.Point(count, result.array_bytes))
        parse.append(slopes.Point(count, result.parse_s))
    return [
        slopes.fit(
            "lookup", "CPU of an answer without HTTP, us", "entry", answers,
            _COMMAND,
        ),
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
