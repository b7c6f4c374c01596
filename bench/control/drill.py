"""Command `python -m bench.control.drill`: real processes lose disks and halt.

Starts three control instances, freezes one, blanks disks one after another,
loses the majority, restores a backup, spoils a record; each step says what
`hyssopctl` must answer.
"""

import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import click

from bench.control import cluster

_BIN = pathlib.Path(sys.executable).parent
_TABLES = "examples/mrema.yaml"
_NUMBERS = (1, 2, 3)
_START_S = 4.0
_REPAIR_S = 20.0
_RESENDS = 3


class DrillError(Exception):
    """A step did not end as it must."""


class Fleet:
    """Three control instances as processes, and their operator.

    Args:
        folder: Where settings, logs and data folders go.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._http = {n: cluster.free_address() for n in _NUMBERS}
        self._rpc = {n: cluster.free_address() for n in _NUMBERS}
        self._processes: dict[int, subprocess.Popen[bytes]] = {}

    def _settings(self, number: int) -> str:
        members = ", ".join(
            f"{{name: control-{n}, rpc_address: '{self._rpc[n]}'}}"
            for n in _NUMBERS
        )
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            gossip = sock.getsockname()[1]
        return "\n".join(
            (
                f"name: control-{number}",
                "region: dar",
                "failure_domain: dar-1",
                f"http_address: {self._http[number]}",
                f"rpc_address: {self._rpc[number]}",
                f"gossip_address: 127.0.0.1:{gossip}",
                f"data_folder: {self.data(number)}",
                f"control: [{members}]",
            )
        )

    def data(self, number: int) -> pathlib.Path:
        """Return the data folder of an instance."""
        return self.folder / f"data-{number}"

    def start(self, number: int) -> None:
        """Start an instance."""
        path = self.folder / f"control-{number}.yaml"
        path.write_text(self._settings(number), encoding="utf-8")
        command = (str(_BIN / "hyssop-control"), "--settings", str(path))
        with open(self.folder / f"control-{number}.log", "ab") as log:
            self._processes[number] = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, number: int, which: signal.Signals) -> None:
        """Send a signal to an instance."""
        self._processes[number].send_signal(which)

    def kill(self, number: int) -> None:
        """Kill an instance at once."""
        self._processes[number].kill()
        self._processes[number].wait()

    def lose(self, number: int) -> None:
        """Kill an instance and lose its disk."""
        self.kill(number)
        shutil.rmtree(self.data(number))

    def exit_status(self, number: int) -> int:
        """Return how an instance ended by itself."""
        return self._processes[number].wait(timeout=10)

    def stop(self) -> None:
        """Kill all that still run."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def ctl(self, want: int, *arguments: str) -> str:
        """Run `hyssopctl`; return what it printed.

        Raises:
            DrillError: when its exit status is not `want`.
        """
        command = [str(_BIN / "hyssopctl")]
        for address in self._http.values():
            command += ["--control", f"http://{address}"]
        began = time.monotonic()
        done = subprocess.run(
            [*command, *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        took = time.monotonic() - began
        said = (done.stdout + done.stderr).strip()
        click.echo(f"  {took:4.1f} s, exit {done.returncode}: {said}")
        if done.returncode != want:
            raise DrillError(f"{arguments}: {done.returncode}, not {want}")
        return said

    def await_votes(self) -> None:
        """Wait until all instances vote.

        Raises:
            DrillError: when they do not within `_REPAIR_S`.
        """
        began = time.monotonic()
        while time.monotonic() - began < _REPAIR_S:
            if self.ctl(0, "status").count(" votes revision") == len(_NUMBERS):
                return
            time.sleep(1)
        raise DrillError("the blank instance was not admitted")

    def edit(self, want: int, expect: int) -> None:
        """Apply tables to revision `expect`."""
        name = f"drill-{expect}"
        self.ctl(
            want, "tables", "apply", _TABLES,
            "--expect", str(expect), "--change-id", name,
        )  # fmt: skip

    def edit_until_accepted(self, expect: int) -> None:
        """Apply tables, and again as long as the outcome is not known.

        Raises:
            DrillError: when it is not accepted in the end.
        """
        for _ in range(_RESENDS):
            try:
                self.edit(0, expect)
            except DrillError:
                continue
            return
        raise DrillError("an edit was not accepted after the second loss")


def _say(text: str) -> None:
    click.echo(f"== {text}")


def _drill(fleet: Fleet) -> None:
    _say("three blank instances form a cluster")
    for number in _NUMBERS:
        fleet.start(number)
    time.sleep(_START_S)
    fleet.edit(0, 0)
    _say("one frozen")
    fleet.signal(1, signal.SIGSTOP)
    fleet.edit(0, 1)
    fleet.signal(1, signal.SIGCONT)
    _say("one killed, its disk lost; then back blank")
    fleet.lose(2)
    fleet.edit(0, 2)
    fleet.start(2)
    fleet.await_votes()
    _say("a second disk lost right after the repair")
    fleet.lose(3)
    fleet.edit_until_accepted(3)
    backup = str(fleet.folder / "backup.json")
    fleet.ctl(0, "backup", backup)
    _say("the majority lost")
    fleet.lose(1)
    fleet.edit(4, 4)
    fleet.ctl(1, "status")
    _say("all blank, the backup restored")
    fleet.lose(2)
    for number in _NUMBERS:
        fleet.start(number)
    time.sleep(_START_S)
    fleet.ctl(0, "restore", backup, "--above", "57")
    if "revision 58" not in fleet.ctl(0, "status"):
        raise DrillError("the restored revision is not above all others")
    _say("a record spoiled: the instance does not start")
    fleet.kill(3)
    path = fleet.data(3) / "register"
    record = bytearray(path.read_bytes())
    record[-1] ^= 1
    path.write_bytes(record)
    fleet.start(3)
    if fleet.exit_status(3) == 0:
        raise DrillError("a corrupt record was voted from")


@click.command()
def main() -> None:
    """Run the drill; exit 1 if a step does not end as it must."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder))
        try:
            _drill(fleet)
        except DrillError as exc:
            click.echo(f"FAILED {exc}")
            sys.exit(1)
        finally:
            fleet.stop()
    _say("every step ended as it must")


if __name__ == "__main__":
    main()
