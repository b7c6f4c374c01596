"""Names, addresses and settings of the processes of a chaos test."""

import pathlib
from typing import NamedTuple

import yaml

CONTROL = "control"
ENTRY = "entry"
SERVER = "server"

_COUNTS = {CONTROL: 3, ENTRY: 4, SERVER: 6}
_REGIONS = ("dar", "arusha")
_POOLS = ("catalogue", "ledger")
SLOTS = 6
# Seconds for which a server that leaves goes on serving: longer than entries
# may take to stop sending requests to it.
LEAVE_S = 7.0


BASE_PORT = 21_000
# Port offsets from `BASE_PORT`, by role; the number in the process's name is
# added.
_HTTP = {CONTROL: 0, ENTRY: 100, SERVER: 200}
_GOSSIP = {CONTROL: 300, ENTRY: 400}
_RPC = {CONTROL: 500, ENTRY: 550}
_RELAY = 600


class Command(NamedTuple):
    """A program and its arguments."""

    program: str
    arguments: tuple[str, ...]


def names(role: str) -> list[str]:
    """Return the names of all processes of a role."""
    return [f"{role}-{index}" for index in range(1, _COUNTS[role] + 1)]


def all_names() -> list[str]:
    """Return the names of all processes, control instances first."""
    return [name for role in _COUNTS for name in names(role)]


def role_of(name: str) -> str:
    """Return the role of the process called `name`."""
    return name.rpartition("-")[0]


def _index(name: str) -> int:
    return int(name.rpartition("-")[2])


def _address(offset: int, name: str) -> str:
    return f"127.0.0.1:{BASE_PORT + offset + _index(name)}"


def http_address(name: str) -> str:
    """Return the address at which a process serves HTTP."""
    return _address(_HTTP[role_of(name)], name)


def rpc_address(name: str) -> str:
    """Return the address at which a control instance or entry serves RPC."""
    return _address(_RPC[role_of(name)], name)


def relay_address(name: str) -> str:
    """Return the address of the relay in front of a control instance."""
    return _address(_RELAY, name)


def _region(name: str) -> str:
    return _REGIONS[_index(name) % len(_REGIONS)]


def pool_of(name: str) -> str:
    """Return the pool of a backend server."""
    return _POOLS[(_index(name) - 1) // (_COUNTS[SERVER] // len(_POOLS))]


def command(name: str, folder: pathlib.Path) -> Command:
    """Write the settings of a process and return the command to start it."""
    role = role_of(name)
    if role == SERVER:
        return _server_command(name, folder)
    path = folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(_settings(name, folder)), encoding="utf-8")
    return Command(f"hyssop-{role}", ("--settings", str(path)))


def _settings(name: str, folder: pathlib.Path) -> dict[str, object]:
    role = role_of(name)
    control_address = rpc_address if role == CONTROL else relay_address
    gossip_members = names(CONTROL) + names(ENTRY)
    fields: dict[str, object] = {
        "name": name,
        "region": _region(name),
        "failure_domain": f"{_region(name)}-1",
        "http_address": http_address(name),
        "gossip_address": _address(_GOSSIP[role], name),
        "gossip_seeds": [
            _address(_GOSSIP[role_of(other)], other) for other in gossip_members
        ],
        "control": [
            {"name": other, "rpc_address": control_address(other)}
            for other in names(CONTROL)
        ],
    }
    fields["rpc_address"] = rpc_address(name)
    if role == CONTROL:
        fields["data_folder"] = str(folder / name)
    else:
        fields["region_delays_ms"] = {
            region: 1 for region in _REGIONS if region != _region(name)
        }
    return fields


def _server_command(name: str, folder: pathlib.Path) -> Command:
    announce_arguments = [
        argument
        for other in (*names(ENTRY), *names(CONTROL))
        for argument in ("--announce-to", http_address(other))
    ]
    return Command(
        "hyssop-standin",
        (
            "server", "--id", name, "--pool", pool_of(name),
            "--address", http_address(name), "--region", _region(name),
            "--failure-domain", f"{_region(name)}-1",
            "--slots", str(SLOTS), "--ledger", str(folder / f"{name}.ledger"),
            "--leave-s", str(LEAVE_S), *announce_arguments,
        ),
    )  # fmt: skip
