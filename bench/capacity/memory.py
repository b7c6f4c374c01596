"""Resident memory of the programs and of the modules for control."""

import subprocess
import sys

from bench.capacity import slopes

_COMMAND = "python -m bench.capacity --part memory"
_KB_PER_MB = 1024

# Each stage up to an entry's code imports more than the one before it.
_STAGES = (
    ("bare Python", ""),
    ("trio, msgspec", "import trio, msgspec"),
    (
        "trio-asyncio, grpclib",
        "import trio, msgspec, trio_asyncio, grpclib.client, grpclib.server",
    ),
    ("a control instance's code", "import hyssopfold.cmd.control"),
    ("an entry's code", "import hyssopfold.cmd.entry"),
    (
        "the control parts alone",
        "import hyssopfold.core.consensus.node, hyssopfold.core.membership"
        ".directory, hyssopfold.state, hyssopfold.storage.folder",
    ),
)
_PRINT = (
    "\nfor line in open('/proc/self/status'):\n"
    "    if line.startswith('VmRSS'): print(line.split()[1])"
)


def resident_mb(code: str) -> float:
    """Return the resident memory in MiB of a Python process that ran `code`."""
    completed = subprocess.run(
        (sys.executable, "-c", code + _PRINT),
        check=True,
        capture_output=True,
        text=True,
    )
    return int(completed.stdout) / _KB_PER_MB


def figures() -> list[slopes.Figure]:
    """Return the resident memory of each stage."""
    return [
        slopes.Figure("memory", f"{name}, MB", resident_mb(code), _COMMAND)
        for name, code in _STAGES
    ]
