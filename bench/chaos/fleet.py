"""Start, stop, kill and pause the processes of a chaos test."""

import pathlib
import shutil
import signal
import subprocess
import sys

import trio

from bench.chaos import layout
from hyssopfold.standin import server as standin_server

BIN = pathlib.Path(sys.executable).parent
_STOP_TIMEOUT_S = 60.0
_START_TIMEOUT_S = 10.0
# Interval of the attempts to connect to a starting process. Its signal handlers
# are installed together with the listener.
_START_POLL_S = 0.1


class Fleet:
    """The processes of a run, by name.

    Args:
        folder: Folder of settings, logs, ledgers and data.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._crashed: set[int] = set()
        self.unclean_stops: list[str] = []

    def start(self, name: str) -> None:
        """Start a process unless it runs; its log is appended to."""
        process = self._processes.get(name)
        if process is not None and process.poll() is None:
            return
        command = layout.command(name, self._folder)
        with open(self._folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                (str(BIN / command.program), *command.arguments),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start_all(self) -> None:
        """Start every process."""
        for name in layout.all_names():
            self.start(name)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, also if it is frozen."""
        self._signal(name, signal.SIGCONT)
        self._signal(name, signal.SIGKILL)
        self._processes[name].wait()

    def wipe(self, name: str) -> None:
        """Kill a control instance and delete its data folder."""
        self.kill(name)
        shutil.rmtree(self._folder / name, ignore_errors=True)

    def freeze(self, name: str) -> None:
        """Suspend a process; its sockets stay open."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a frozen process."""
        self._signal(name, signal.SIGCONT)

    async def stop(self, name: str) -> None:
        """Stop a process with SIGTERM and wait until it has ended.

        One that has just been started, such as a server that crashed, has no
        signal handlers yet and gets the signal later. An unexpected exit status
        or a timeout is added to `unclean_stops`.
        """
        await self._wait_until_started(name)
        self._signal(name, signal.SIGTERM)
        process = self._processes[name]
        with trio.move_on_after(_STOP_TIMEOUT_S):
            while process.poll() is None:
                await trio.sleep(0.05)
        if process.poll() not in (0, standin_server.CRASHED_STATUS):
            self.unclean_stops.append(f"{name}: status {process.poll()}")

    async def _wait_until_started(self, name: str) -> None:
        """Wait until a process accepts connections, if it runs."""
        host, port = layout.http_address(name).split(":")
        with trio.move_on_after(_START_TIMEOUT_S):
            while self._processes[name].poll() is None:
                try:
                    stream = await trio.open_tcp_stream(host, int(port))
                except OSError:
                    await trio.sleep(_START_POLL_S)
                    continue
                await stream.aclose()
                await trio.sleep(_START_POLL_S)
                return

    def take_crashed(self) -> list[str]:
        """Return the servers crashed by a request since the last call."""
        names = [
            name
            for name, process in self._processes.items()
            if process.poll() == standin_server.CRASHED_STATUS
            and process.pid not in self._crashed
        ]
        self._crashed |= {self._processes[name].pid for name in names}
        return names

    def process_id(self, name: str) -> int:
        """Return the process id, which identifies an incarnation."""
        return self._processes[name].pid

    def unexpectedly_ended(self) -> list[str]:
        """Return the processes that are not running, with their status."""
        return [
            f"{name}: status {process.poll()}"
            for name, process in self._processes.items()
            if process.poll() is not None
        ]

    def kill_all(self) -> None:
        """Kill every process."""
        for name, process in self._processes.items():
            if process.poll() is None:
                self.kill(name)

    def _signal(self, name: str, signum: signal.Signals) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(signum)
