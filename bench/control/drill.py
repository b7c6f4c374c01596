"""Command `python -m bench.control.drill`: recovery drill on real processes.

Starts three control instances, freezes one, erases disks one after another,
loses the majority, restores a backup and corrupts a record. Each step checks
the exit status of `hyssopctl`.
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
_INSTANCE_NUMBERS = (1, 2, 3)
_STARTUP_S = 4.0
_REPAIR_TIMEOUT_S = 20.0
_MAX_EDIT_ATTEMPTS = 3


class DrillError(Exception):
    """A step of the drill had an unexpected result."""


class Fleet:
    """Three processes of control instances, and an operator's commands to them.

    Args:
        folder: Folder of the settings, logs and data folders.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._http = {n: cluster.free_address() for n in _INSTANCE_NUMBERS}
        self._rpc = {n: cluster.free_address() for n in _INSTANCE_NUMBERS}
        self._processes: dict[int, subprocess.Popen[bytes]] = {}

    def _settings(self, number: int) -> str:
        members = ", ".join(
            f"{{name: control-{n}, rpc_address: '{self._rpc[n]}'}}"
            for n in _INSTANCE_NUMBERS
        )
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            gossip_port = sock.getsockname()[1]
        return "\n".join(
            (
                f"name: control-{number}",
                "region: dar",
                "failure_domain: dar-1",
                f"http_address: {self._http[number]}",
                f"rpc_address: {self._rpc[number]}",
                f"gossip_address: 127.0.0.1:{gossip_port}",
                f"data_folder: {self.data_folder(number)}",
                f"control: [{members}]",
            )
        )

    def data_folder(self, number: int) -> pathlib.Path:
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

    def signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to an instance."""
        self._processes[number].send_signal(signal_number)

    def kill(self, number: int) -> None:
        """Send SIGKILL to an instance and wait until it has ended."""
        self._processes[number].kill()
        self._processes[number].wait()

    def kill_and_erase(self, number: int) -> None:
        """Kill an instance and erase its data folder."""
        self.kill(number)
        shutil.rmtree(self.data_folder(number))

    def exit_status(self, number: int) -> int:
        """Wait until an instance exits by itself; return its exit status."""
        return self._processes[number].wait(timeout=10)

    def stop(self) -> None:
        """Kill the instances that still run."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def ctl(self, expected_status: int, *arguments: str) -> str:
        """Run `hyssopctl`; return what it printed.

        Raises:
            DrillError: when its exit status is not `expected_status`.
        """
        command = [str(_BIN / "hyssopctl")]
        for address in self._http.values():
            command += ["--control", f"http://{address}"]
        started_at = time.monotonic()
        completed = subprocess.run(
            [*command, *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        duration_s = time.monotonic() - started_at
        output = (completed.stdout + completed.stderr).strip()
        click.echo(
            f"  {duration_s:4.1f} s, exit {completed.returncode}: {output}"
        )
        if completed.returncode != expected_status:
            raise DrillError(
                f"{arguments}: {completed.returncode}, not {expected_status}"
            )
        return output

    def wait_until_all_vote(self) -> None:
        """Wait until all instances vote.

        Raises:
            DrillError: when they do not within `_REPAIR_TIMEOUT_S` seconds.
        """
        started_at = time.monotonic()
        while time.monotonic() - started_at < _REPAIR_TIMEOUT_S:
            if self.ctl(0, "status").count(" votes revision") == len(
                _INSTANCE_NUMBERS
            ):
                return
            time.sleep(1)
        raise DrillError("the instance with an erased disk was not admitted")

    def edit(self, expected_status: int, expect: int) -> None:
        """Apply the tables with `expect` as the expected revision."""
        change_id = f"drill-{expect}"
        self.ctl(
            expected_status, "tables", "apply", _TABLES,
            "--expect", str(expect), "--change-id", change_id,
        )  # fmt: skip

    def edit_until_accepted(self, expect: int) -> None:
        """Apply the tables; retry while the outcome is unknown.

        Raises:
            DrillError: when no attempt is accepted.
        """
        for _ in range(_MAX_EDIT_ATTEMPTS):
            try:
                self.edit(0, expect)
            except DrillError:
                continue
            return
        raise DrillError("an edit was not accepted after the second loss")


def _print_step(text: str) -> None:
    click.echo(f"== {text}")


def _run_steps(fleet: Fleet) -> None:
    _print_step("three instances without data form a cluster")
    for number in _INSTANCE_NUMBERS:
        fleet.start(number)
    time.sleep(_STARTUP_S)
    fleet.edit(0, 0)
    _print_step("one instance frozen")
    fleet.signal(1, signal.SIGSTOP)
    fleet.edit(0, 1)
    fleet.signal(1, signal.SIGCONT)
    _print_step(
        "one instance killed and its disk erased; it starts again without data"
    )
    fleet.kill_and_erase(2)
    fleet.edit(0, 2)
    fleet.start(2)
    fleet.wait_until_all_vote()
    _print_step("a second disk erased right after the repair")
    fleet.kill_and_erase(3)
    fleet.edit_until_accepted(3)
    backup = str(fleet.folder / "backup.json")
    fleet.ctl(0, "backup", backup)
    _print_step("the majority lost")
    fleet.kill_and_erase(1)
    fleet.edit(4, 4)
    fleet.ctl(1, "status")
    _print_step("all disks erased; the backup is restored")
    fleet.kill_and_erase(2)
    for number in _INSTANCE_NUMBERS:
        fleet.start(number)
    time.sleep(_STARTUP_S)
    fleet.ctl(0, "restore", backup, "--above", "57")
    if "revision 58" not in fleet.ctl(0, "status"):
        raise DrillError("the restored revision is not above all others")
    _print_step("a record corrupted; the instance does not start")
    fleet.kill(3)
    path = fleet.data_folder(3) / "register"
    record = bytearray(path.read_bytes())
    record[-1] ^= 1
    path.write_bytes(record)
    fleet.start(3)
    if fleet.exit_status(3) == 0:
        raise DrillError("an instance started with a corrupt record")


@click.command()
def main() -> None:
    """Run the drill; exit with 1 if a step has an unexpected result."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder))
        try:
            _run_steps(fleet)
        except DrillError as exc:
            click.echo(f"FAILED {exc}")
            sys.exit(1)
        finally:
            fleet.stop()
    _print_step("every step had the expected result")


if __name__ == "__main__":
    main()
