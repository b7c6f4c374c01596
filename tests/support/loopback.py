"""A control instance, an entry and servers on loopback, in one trio run."""

import contextlib
import itertools
import os
import pathlib
import socket

import trio

from hyssopfold import application
from hyssopfold import settings
from hyssopfold.standin import server as standin_server

WAIT_S = 20


# Below the ephemeral ports of the operating system: one of those could be taken
# between the choice of an address and its use. Concurrent processes start in
# different blocks.
_FIRST_PORT = 10_000
_PORTS_PER_BLOCK = 200
_PORT_BLOCKS = 110
_ports = itertools.cycle(range(_PORTS_PER_BLOCK))


def free_address(kind=socket.SOCK_STREAM):
    """Return an address that is currently unused."""
    first_port = _FIRST_PORT + os.getpid() % _PORT_BLOCKS * _PORTS_PER_BLOCK
    for offset in itertools.islice(_ports, _PORTS_PER_BLOCK):
        address = ("127.0.0.1", first_port + offset)
        with socket.socket(type=kind) as sock:
            # Set as for listeners: a closed connection occupies its port for a
            # minute.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(address)
            except OSError:
                continue
            return f"{address[0]}:{address[1]}"
    raise RuntimeError(f"all ports from {first_port} on are in use")


def write_settings(path, fields):
    """Write a settings file and return its path."""
    lines = [f"{key}: {value}" for key, value in fields.items()]
    pathlib.Path(path).write_text("\n".join(lines), encoding="utf-8")
    return str(path)


class System:
    """Addresses and settings of the processes of a small system.

    Args:
        folder: Folder of the settings and the durable state.
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.control = free_address()
        self.entry = free_address()
        self.rpc = free_address()
        self.gossip = [free_address(socket.SOCK_DGRAM) for _ in range(2)]
        self.standins = []

    def _common(self, name, http_address, gossip):
        seeds = ", ".join(self.gossip)
        return {
            "name": name,
            "region": "dar",
            "failure_domain": "dar-1",
            "http_address": http_address,
            "gossip_address": gossip,
            "gossip_seeds": f"[{seeds}]",
            "log_level": "error",
            "control": f"[{{name: control-1, rpc_address: '{self.rpc}'}}]",
        }

    def control_settings(self):
        """Return the settings of the only control instance."""
        fields = self._common("control-1", self.control, self.gossip[0])
        fields["rpc_address"] = self.rpc
        fields["data_folder"] = self.folder / "data"
        path = write_settings(self.folder / "control.yaml", fields)
        return settings.load_control(path)

    def entry_settings(self):
        """Return the settings of the only entry."""
        fields = self._common("entry-1", self.entry, self.gossip[1])
        path = write_settings(self.folder / "entry.yaml", fields)
        return settings.load_entry(path)

    async def run_standin(self, name, pool, slots=3):
        """Run a backend server that announces itself to the entry."""
        options = standin_server.Options(
            server_id=name,
            pool=pool,
            address=free_address(),
            region="dar",
            failure_domain="dar-1",
            slots=slots,
            connections=330,
            service_s=0.0,
            announce_to=(self.entry, self.control),
        )
        standin = standin_server.Server(options)
        self.standins.append(standin)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(standin.announce)
            await standin.serve(trio.Event())

    @contextlib.asynccontextmanager
    async def running(self, pools):
        """Run the system with one backend server for each of `pools`."""
        with trio.fail_after(WAIT_S):
            async with trio.open_nursery() as nursery:
                start_soon = nursery.start_soon
                start_soon(application.run_control, self.control_settings())
                start_soon(application.run_entry, self.entry_settings())
                for pool in pools:
                    start_soon(self.run_standin, f"{pool}-1", pool)
                try:
                    yield self
                finally:
                    nursery.cancel_scope.cancel()
