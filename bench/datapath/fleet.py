"""A small system of three processes: control instance, entry and stand-in."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import httpcore
import msgspec
import yaml

BIN = pathlib.Path(sys.executable).parent
HOST = "shop.example"
TABLES = f"""
pools:
  - {{name: shop, slots: 1000, connections: 3000}}
routes:
  - {{name: read, host: {HOST}, path_prefix: /read, methods: [GET], pool: shop}}
  - {{name: order, host: {HOST}, path_prefix: /order, methods: [POST],
     pool: shop}}
  - {{name: upload, host: {HOST}, path_prefix: /upload, methods: [PUT],
     pool: shop, repeatable: false, deadline_ms: 600000}}
"""
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_STARTUP_TIMEOUT_S = 20.0


def free_address(socket_kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Return a loopback address with a port that is free now."""
    with socket.socket(type=socket_kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Fleet(contextlib.AbstractContextManager["Fleet"]):
    """Runs the processes within a `with` block.

    `entry` and `server` are the addresses of the entry and the stand-in.

    Args:
        service_ms: Mean service time of the stand-in in milliseconds.
        lookup_ttl_s: Seconds for which callers may cache a look-up.
    """

    def __init__(
        self, service_ms: float = 0.0, lookup_ttl_s: float = 5.0
    ) -> None:
        self.entry = free_address()
        self.server = free_address()
        self._control = free_address()
        self._rpc = free_address()
        self._service_ms = service_ms
        self._lookup_ttl_s = lookup_ttl_s
        self._stack = contextlib.ExitStack()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "Fleet":
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = pathlib.Path(folder)
        gossip_addresses = [free_address(socket.SOCK_DGRAM) for _ in range(2)]
        self._start_daemon("control", self._control, gossip_addresses, 0)
        self._start_daemon("entry", self.entry, gossip_addresses, 1)
        self._start(
            "standin",
            *("server", "--id", "s1", "--pool", "shop", "--region", "dar"),
            *("--failure-domain", "dar-1", "--address", self.server),
            *("--slots", "1000", "--connections", "3000"),
            *("--service-ms", str(self._service_ms)),
            *("--announce-to", self.entry, "--log-level", "error"),
        )
        self._apply_tables()
        self._wait_for_answer()
        return self

    def __exit__(self, *exc: object) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()
        self._stack.close()

    def _start_daemon(
        self, role: str, address: str, gossip_addresses: list[str], index: int
    ) -> None:
        fields: dict[str, object] = {
            "name": f"{role}-1",
            "region": "dar",
            "failure_domain": "dar-1",
            "http_address": address,
            "gossip_address": gossip_addresses[index],
            "gossip_seeds": gossip_addresses,
            "log_level": "error",
            "control": [{"name": "control-1", "rpc_address": self._rpc}],
        }
        if role == "control":
            fields["rpc_address"] = self._rpc
            fields["data_folder"] = str(self._folder / "data")
        else:
            fields["lookup_ttl_s"] = self._lookup_ttl_s
            fields["rpc_address"] = free_address()
        path = self._folder / f"{role}.yaml"
        path.write_text(yaml.safe_dump(fields), encoding="utf-8")
        self._start(role, "--settings", str(path))

    def _start(self, role: str, *arguments: str) -> None:
        with open(self._folder / f"{role}.log", "ab") as log:
            self._processes[role] = subprocess.Popen(
                (str(BIN / f"hyssop-{role}"), *arguments),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _apply_tables(self) -> None:
        body = {"expect": 0, "change_id": "bench", "tables": TABLES}
        url = f"http://{self._control}/hyssop/v1/tables"
        self._retry_until_ok("PUT", url, msgspec.json.encode(body))

    def _wait_for_answer(self) -> None:
        self._retry_until_ok("GET", f"http://{self.entry}/read", b"")

    def _retry_until_ok(self, method: str, url: str, body: bytes) -> None:
        deadline = time.monotonic() + _STARTUP_TIMEOUT_S
        headers = {"host": HOST, "content-length": str(len(body))}
        while time.monotonic() < deadline:
            try:
                answer = httpcore.request(
                    method, url, headers=headers, content=body
                )
                if answer.status == 200:
                    return
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass
            time.sleep(0.1)
        raise TimeoutError(
            f"{url} did not answer with status 200, see {self._folder}"
        )

    def cpu_s(self, role: str) -> float:
        """Return the CPU time that a process has used, in seconds."""
        pid = self._processes[role].pid
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S

    def resident_mb(self, role: str, peak: bool = False) -> float:
        """Return the resident memory of a process in MiB, current or peak.

        Raises:
            ValueError: when the kernel does not report it.
        """
        pid = self._processes[role].pid
        name = "VmHWM" if peak else "VmRSS"
        status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
        for line in status.splitlines():
            if line.startswith(name):
                return int(line.split()[1]) / 1024
        raise ValueError(f"no {name} in the status of {role}")

    def terminate(self, role: str) -> None:
        """Send SIGTERM to a process."""
        self._processes[role].send_signal(signal.SIGTERM)

    def exit_status(self, role: str) -> int | None:
        """Return the exit status of a process, or None while it runs."""
        return self._processes[role].poll()
