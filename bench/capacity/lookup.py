"""Cost of look-ups, of the index of entries and of client blocks."""

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


def _mean_cpu_us(function, count):
    started_at = time.process_time()
    for number in range(count):
        function(number)
    return (time.process_time() - started_at) / count * 1e6


class _GossipStub:
    """Stub of the gossip service with the part of its directory in use here."""

    def __init__(self, entries):
        self.directory = self
        self.instances = self
        self._entries = entries

    def records(self):
        """Return the entries."""
        return self._entries


async def _answer_us(count):
    initial_tables = tables.parse(
        "routes: [{name: r, path_prefix: /, pool: p}]\n"
        "pools: [{name: p, slots: 3}]\n"
    )
    config = types.SimpleNamespace(
        snapshot=configuration.Snapshot(1, state.State(initial_tables))
    )
    empty_directory = directory.Directory(1e9)
    client_table = blocks.ClientBlocks("")
    traffic_steering = steering.Steering(
        "r0", {}, config, empty_directory, client_table
    )
    lookup_service = lookups.Lookups(
        "r0", {}, 5.0, config, _GossipStub(_entries(count)), traffic_steering
    )
    return _mean_cpu_us(
        lambda n: lookup_service.answer(
            {"query_string": b"host=h&path=/a&client=10.1.2.%d" % (n % 250)}
        ),
        _CALLS,
    )


def measure():
    """Return the slopes of CPU and memory by entries and by blocks."""
    ranking, unchanged, rebuild, memory, parse = [], [], [], [], []
    answer = [slopes.Point(n, trio.run(_answer_us, n)) for n in _ENTRIES]
    regions = [f"r{n}" for n in range(_REGIONS)]
    for count in _ENTRIES:
        entries = _entries(count)
        index = lookup.EntryIndex()
        index.update(entries)

        def rank(number, index=index):
            index.rank(f"10.1.{number % 250}.{number}", regions)

        def update(_, index=index, entries=entries):
            index.update(entries)

        def build(_, entries=entries):
            lookup.EntryIndex().update(entries)

        ranking.append(slopes.Point(count, _mean_cpu_us(rank, _CALLS)))
        unchanged.append(slopes.Point(count, _mean_cpu_us(update, 20)))
        rebuild.append(slopes.Point(count, _mean_cpu_us(build, 5)))
    for count in _BLOCKS:
        result = client_blocks.measure(count, 1)
        memory.append(slopes.Point(count, result.array_bytes))
        parse.append(slopes.Point(count, result.parse_s))
    return [
        slopes.fit(
            "lookup", "CPU of an answer without HTTP, us", "entry", answer,
            _COMMAND,
        ),
        slopes.fit(
            "lookup", "CPU of a ranking, us", "entry", ranking, _COMMAND,
        ),
        slopes.fit(
            "lookup", "CPU of a check that nothing changed, us", "entry",
            unchanged, _COMMAND,
        ),
        slopes.fit(
            "lookup", "CPU of arranging the entries anew, us", "entry", rebuild,
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
