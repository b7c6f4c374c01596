"""Entries with local placement that are constructed but run no tasks."""

import collections
import random

import trio

from hyssopfold import entry_parts
from hyssopfold import log_output
from hyssopfold import settings
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership
from hyssopfold.core.steering import regions
from hyssopfold.entry import adapters

DOMAINS = ("dar-1", "dar-2")
TABLES = """
pools: [{{name: ledger, slots: 9, cold_rate: {rate}, warm_up_s: 3}}]
routes: [{{name: pay, path_prefix: /, pool: ledger}}]
"""
SETTINGS = """
name: {name}
region: dar
failure_domain: dar-1
http_address: 127.0.0.1:{port}
gossip_address: 127.0.0.1:{port}
placement: local
control_seeds: ["127.0.0.1:7100"]
"""
_OBJECTS = 40
_RUN_S = 0.3


class LocalEntries:
    """Entries with the same tables and the same servers.

    Must be created within a trio run. Used by the feature of reopened failure
    domains.

    Args:
        count: Number of entries.
        servers: Number of servers in each failure domain.
        rate: Requests a second that a cold server bears.

    Attributes:
        sent: Monotonic times at which requests were placed, by server.
        refused: Number of requests for which no server was found.
    """

    def __init__(self, count, servers, rate):
        self.state = state.State(tables.parse(TABLES.format(rate=rate)))
        self.revision = 0
        self.sent = collections.defaultdict(list)
        self.refused = 0
        self._rng = random.Random(1)
        self._running = collections.deque()
        self.entries = [self._entry(number) for number in range(count)]
        self._exchange_records()
        for number in range(servers * len(DOMAINS)):
            self._add_server(number)
        self.install(())

    def _entry(self, number):
        text = SETTINGS.format(name=f"entry-{number}", port=7300 + number)
        cfg = settings.parse_entry(text, "test")
        return entry_parts.Entry(
            cfg, adapters.OUR_ADAPTERS, log_output.BoundedHandler(1)
        )

    def _exchange_records(self):
        records = [
            record._replace(state="ready", sequence=record.sequence + 1)
            for record in (entry.spread.myself for entry in self.entries)
        ]
        for entry in self.entries:
            for record in records:
                entry.known.instances.update(record.name, record, 0.0)

    def _add_server(self, number):
        record = membership.Server(
            f"s{number}", "ledger", f"10.0.0.{number}:80", "dar",
            DOMAINS[number % len(DOMAINS)], 9, 390, "ready", 1, 1, 0.0,
        )  # fmt: skip
        for entry in self.entries:
            entry.known.servers.update(record.server_id, record, 1e9)

    def install(self, evacuated):
        """Put a revision in force at all entries.

        Args:
            evacuated: Failure domains evacuated at this revision.
        """
        self.revision += 1
        new_state = self.state._replace(evacuated=evacuated)
        for entry in self.entries:
            entry.config.install(self.revision, state.encode(new_state))

    async def place(self, rate, seconds):
        """Place requests for random objects, at each entry in turn.

        Args:
            rate: Requests a second.
            seconds: Duration in seconds.
        """
        for number in range(round(rate * seconds)):
            await trio.sleep(1 / rate)
            self._end_requests()
            await self._place_one(self.entries[number % len(self.entries)])

    async def _place_one(self, entry):
        current_state = entry.config.snapshot.state
        home_regions = (messages.Region("dar", False),)
        req = messages.Request(
            "r", "ledger",
            regions.restrict(home_regions, (), current_state.evacuated), 0,
            1e9, (), f"pay {self._rng.randrange(_OBJECTS)}", 0.25, "pay",
        )  # fmt: skip
        pool = entry.config.snapshot.tables.pool("ledger")
        grant = await entry.place.acquire(req, pool)
        if isinstance(grant, messages.Refused):
            self.refused += 1
            return
        now = trio.current_time()
        self.sent[grant.server].append(now)
        self._running.append((now + _RUN_S, entry, grant))

    def _end_requests(self):
        while self._running and self._running[0][0] <= trio.current_time():
            _, entry, grant = self._running.popleft()
            entry.place.release(
                grant, messages.AttemptResult("answered", _RUN_S)
            )
