"""Entries that run on loopback and gossip, over stand-ins that crash."""

import contextlib
import time

import httpcore
import trio

from hyssopfold import entry_components
from hyssopfold import http
from hyssopfold import log_output
from hyssopfold import serving
from hyssopfold import settings
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.membership import messages
from hyssopfold.entry import adapters
from hyssopfold.standin import server as standin_server
from tests.support import loopback

TABLES = """
pools: [{name: ledger, slots: 3}]
routes: [{name: pay, path_prefix: /, pool: ledger, deadline_ms: 2000}]
"""
SETTINGS = """
name: {name}
region: dar
failure_domain: dar-{number}
http_address: {http}
gossip_address: {gossip}
gossip_seeds: [{seeds}]
placement: local
control_seeds: ["127.0.0.1:9"]
"""
# Need a control instance, or read files that these entries do not have.
_LEFT_OUT = ("configuration", "state", "steering", "reloading", "client-blocks")
_LEASE_S = 1e9
_BACK_AFTER_S = 1.0
_MEET_S = 10.0
WAIT_S = 60.0


class RunningEntries:
    """Entries that know each other and the same servers.

    A server that crashes is back under another id after `_BACK_AFTER_S`.

    Args:
        count: Number of entries.
        servers: Number of servers.
    """

    def __init__(self, count, servers):
        # When a server crashed.
        self.crashed_at = []
        self._servers = servers
        names = [f"entry-{number}" for number in range(count)]
        seeds = {name: loopback.free_address(2) for name in names}
        self.entries = {
            name: self._make(number, name, seeds)
            for number, name in enumerate(names)
        }

    def _make(self, number, name, seeds):
        text = SETTINGS.format(
            name=name,
            number=number,
            http=loopback.free_address(),
            gossip=seeds[name],
            seeds=", ".join(f'"{seeds[one]}"' for one in seeds if one != name),
        )
        cfg = settings.parse_entry(text, "test")
        return entry_components.EntryComponents(
            cfg, adapters.OUR_ADAPTERS, log_output.BoundedHandler(1)
        )

    @contextlib.asynccontextmanager
    async def running(self):
        """Run all of it, once the entries have met."""
        with trio.fail_after(WAIT_S):
            async with trio.open_nursery() as nursery:
                for entry in self.entries.values():
                    self.start(entry, nursery)
                for number in range(self._servers):
                    nursery.start_soon(self._keep_server, number)
                await self._meet()
                try:
                    yield self
                finally:
                    nursery.cancel_scope.cancel()

    def start(self, entry, nursery):
        """Start an entry with the tables in force."""
        entry.config.install(1, state.encode(state.State(tables.parse(TABLES))))
        entry.steering.step(trio.current_time(), time.time())
        entry.gossip_service.update_self(state="ready")
        for name, child in entry.children():
            if name not in _LEFT_OUT:
                nursery.start_soon(child)
        nursery.start_soon(self._serve, entry)

    async def _serve(self, entry):
        address = entry.cfg.http_address
        listener = serving.Listener(entry.apps[address], entry.cfg.limits)
        await http.serve(
            entry.apps[address], address, trio.Event(), lambda: 0.0, listener
        )

    async def _meet(self):
        with trio.fail_after(_MEET_S):
            while any(
                len(one.directory.ready_entries()) < len(self.entries)
                or len(one.directory.ready_servers("ledger")) < self._servers
                for one in self.entries.values()
            ):
                await trio.sleep(0.05)

    async def _keep_server(self, number):
        address = loopback.free_address()
        for life in range(1, 1000):
            name = f"s{number}-{life}"
            server = standin_server.Server(
                standin_server.Options(
                    name, "ledger", address, "dar", f"dar-{number}", 3, 330,
                    0.01, (),
                )
            )  # fmt: skip
            word = messages.Server(
                name, "ledger", address, "dar", f"dar-{number}", 3, 330,
                "ready", life, 1, 0.0,
            )  # fmt: skip
            self._tell(word)
            await server.serve(trio.Event())
            self.crashed_at.append(trio.current_time())
            self._tell(word._replace(state="gone", sequence=2))
            await trio.sleep(_BACK_AFTER_S)

    def _tell(self, word):
        now = trio.current_time()
        for entry in self.entries.values():
            entry.directory.servers.update(word.server_id, word, now)
            entry.directory.servers.renew(word.server_id, now, _LEASE_S)

    async def ask(self, name, method, fault=""):
        """Send a request to an entry; return the answer."""
        entry = self.entries[name]
        headers = {"host": "shop.example"}
        path = "/sound"
        if fault:
            headers["standin-fault"] = fault
            path = f"/{fault}"
        body = b"one coffee" if method == "POST" else None
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                f"http://{entry.cfg.http_address}{path}",
                headers=headers,
                content=body,
            )
