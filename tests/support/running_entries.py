"""Entries on loopback that exchange gossip, with stand-ins that crash."""

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
from hyssopfold.transport import rpc
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
rpc_address: {rpc}
gossip_address: {gossip}
gossip_seeds: [{seeds}]
placement: local
control_seeds: ["127.0.0.1:9"]
"""
# Child tasks that need a control instance, or read files that don't exist here.
_OMITTED_CHILDREN = (
    "configuration",
    "state",
    "steering",
    "reloading",
    "client-blocks",
)
_LEASE_S = 1e9
_RESTART_S = 1.0
_DISCOVERY_TIMEOUT_S = 10.0
WAIT_S = 60.0


class RunningEntries:
    """Running entries that have each other and the same servers as members.

    A server that crashes restarts under another id after `_RESTART_S`.

    Args:
        count: Number of entries.
        servers: Number of servers.
        entry_adapters: Applications and headers of the entries.
    """

    def __init__(self, count, servers, entry_adapters=adapters.OUR_ADAPTERS):
        self._adapters = entry_adapters
        # Names of entries that become ready as after a restart, once the others
        # run.
        self.starting = set()
        # Traffic shares in force at the others; by the tables if empty.
        self.parts = ()
        # Monotonic times at which servers crashed.
        self.crashed_at = []
        # The last incarnation of each server, by number.
        self.servers = {}
        # Their records, by id.
        self._records = {}
        self._servers = servers
        names = [f"entry-{number}" for number in range(count)]
        seeds = {name: loopback.free_address(2) for name in names}
        self.entries = {
            name: self._make_entry(number, name, seeds)
            for number, name in enumerate(names)
        }

    def _make_entry(self, number, name, seeds):
        text = SETTINGS.format(
            name=name,
            number=number,
            http=loopback.free_address(),
            rpc=loopback.free_address(),
            gossip=seeds[name],
            seeds=", ".join(
                f'"{seeds[other]}"' for other in seeds if other != name
            ),
        )
        cfg = settings.parse_entry(text, "test")
        return entry_components.EntryComponents(
            cfg, self._adapters, log_output.BoundedHandler(1)
        )

    @contextlib.asynccontextmanager
    async def running(self):
        """Run all entries and servers; yield once entries know all members."""
        with trio.fail_after(WAIT_S):
            async with rpc.open_loop(), trio.open_nursery() as nursery:
                for entry in self.entries.values():
                    self.start(entry, nursery)
                for number in range(self._servers):
                    nursery.start_soon(self._run_server, number)
                await self._wait_for_members()
                try:
                    yield self
                finally:
                    nursery.cancel_scope.cancel()

    def start(self, entry, nursery):
        """Start an entry and put the tables in force at it."""
        entry.config.install(1, state.encode(state.State(tables.parse(TABLES))))
        entry.steering.step(trio.current_time(), time.time())
        if entry.cfg.name in self.starting:
            nursery.start_soon(self._become_ready, entry)
        else:
            if self.parts:
                entry.steering.shares.adopt("ledger", self.parts)
            entry.gossip_service.update_self(state="ready")
        for name, child in entry.children():
            if name not in _OMITTED_CHILDREN:
                nursery.start_soon(child)
        nursery.start_soon(self._serve, entry)

    async def _become_ready(self, entry):
        running = self.entries.keys() - self.starting
        while len(entry.directory.ready_entries()) < len(running):
            await trio.sleep(0.01)
        for name in running:
            await _wait_for_listener(self.entries[name].cfg.rpc_address)
        await entry.maintain_state()

    async def _serve(self, entry):
        address = entry.cfg.http_address
        listener = serving.Listener(entry.apps[address], entry.cfg.limits)
        await http.serve(
            entry.apps[address], address, trio.Event(), lambda: 0.0, listener
        )

    async def _wait_for_members(self):
        with trio.fail_after(_DISCOVERY_TIMEOUT_S):
            while any(
                len(entry.directory.ready_entries()) < len(self.entries)
                or len(entry.directory.ready_servers("ledger")) < self._servers
                for entry in self.entries.values()
            ):
                await trio.sleep(0.05)

    async def _run_server(self, number):
        address = loopback.free_address()
        for incarnation in range(1, 1000):
            name = f"s{number}-{incarnation}"
            server = standin_server.Server(
                standin_server.Options(
                    name, "ledger", address, "dar", f"dar-{number}", 3, 330,
                    0.01, (),
                )
            )  # fmt: skip
            self.servers[number] = server
            record = messages.Server(
                name, "ledger", address, "dar", f"dar-{number}", 3, 330,
                "ready", incarnation, 1, 0.0,
            )  # fmt: skip
            self._update_entries(record)
            await server.serve(trio.Event())
            self.crashed_at.append(trio.current_time())
            self._update_entries(record._replace(state="gone", sequence=2))
            await trio.sleep(_RESTART_S)

    def change_server(self, server_id, changes):
        """Announce changed fields of a server to all entries.

        Args:
            server_id: The server.
            changes: New values of fields of its record.
        """
        self._update_entries(self._records[server_id]._replace(**changes))

    def evacuate_domain_of(self, server_id):
        """Put in force at all entries that a server's domain is evacuated."""
        domain = self._records[server_id].failure_domain
        value = state.encode(
            state.State(tables.parse(TABLES), evacuated=(domain,))
        )
        for entry in self.entries.values():
            entry.config.install(2, value)

    def _update_entries(self, record):
        self._records[record.server_id] = record
        now = trio.current_time()
        for entry in self.entries.values():
            entry.directory.servers.update(record.server_id, record, now)
            entry.directory.servers.renew(record.server_id, now, _LEASE_S)

    async def ask(self, name, method, fault=""):
        """Send a request to an entry and return the answer.

        Args:
            name: Name of the entry.
            method: Method of the request.
            fault: Fault of the server that gets it; none if empty.
        """
        entry = self.entries[name]
        headers = {"host": "shop.example"}
        path = "/harmless"
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


async def _wait_for_listener(address):
    host, port = address.split(":")
    while True:
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.sleep(0.01)
        else:
            await stream.aclose()
            return
