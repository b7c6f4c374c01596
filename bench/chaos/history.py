"""History of a chaos test, and the checks on it.

The history has the outcomes that callers and operators received. The ledgers of
the servers have the requests that ran.
"""

from collections import Counter
from collections.abc import Iterable
import json
import pathlib
from typing import Any
from typing import NamedTuple

from bench.chaos import layout
from bench.chaos import schedule

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
LOST = "lost"


# Seconds after the accepted announcement of a server's leave in which entries
# may still send it requests.
MAX_LEFT_S = 3.0


class Payment(NamedTuple):
    """A payment and the last outcome that its caller received."""

    key: str
    outcome: str


class Upload(NamedTuple):
    """An upload with its outcome; times are in seconds from the run's start."""

    path: str
    begin_s: float
    end_s: float
    outcome: str


class Crash(NamedTuple):
    """A crash of a server by a request sent to `entry` at `sent_s`.

    `sent_s` counts in seconds from the start of the run.
    """

    sent_s: float
    entry: str


class History:
    """All outcomes that callers and operators received in one run.

    Attributes:
        payments: Payments by idempotency key.
        uploads: All uploads.
        misdelivered_paths: Paths whose response was that of another path.
        reads: Number of reads by status.
        strangers: Number of requests without a valid key by status.
        accepted: Revision of each accepted edit, by change id.
        revision_findings: Findings on revisions during the run.
        crashes: Crashes of servers by the crashing request.
        crash_request_outcomes: Number of crashing requests by outcome.
    """

    def __init__(self) -> None:
        self.payments: dict[str, Payment] = {}
        self.uploads: list[Upload] = []
        self.misdelivered_paths: list[str] = []
        self.reads: Counter[str] = Counter()
        self.strangers: Counter[str] = Counter()
        self.accepted: dict[str, int] = {}
        self.revision_findings: list[str] = []
        self.crashes: list[Crash] = []
        self.crash_request_outcomes: Counter[str] = Counter()

    def record_accepted(self, change_id: str, revision: int) -> None:
        """Record that an edit was accepted as a revision."""
        earlier = self.accepted.setdefault(change_id, revision)
        if earlier != revision:
            self.revision_findings.append(
                f"change {change_id} accepted as {earlier} and as {revision}"
            )


def read_runs(ledgers: Iterable[pathlib.Path]) -> list[dict[str, Any]]:
    """Return the runs of all servers together.

    Args:
        ledgers: The ledger files of the servers; missing ones are skipped.
    """
    return [
        json.loads(line)
        for path in ledgers
        if path.exists()
        for line in path.read_text(encoding="utf-8").splitlines()
    ]


def count_runs_by_key(runs: Iterable[dict[str, Any]]) -> Counter[str]:
    """Return how often each idempotency key ran."""
    return Counter(run["key"] for run in runs if run.get("key"))


def check_organisations(
    runs: Iterable[dict[str, Any]], organisation: str, strangers_path: str
) -> list[str]:
    """Return findings on runs of strangers, wrong names and keys passed on.

    Args:
        runs: The runs of all servers.
        organisation: The organisation of all callers but strangers.
        strangers_path: Beginning of the paths of requests without a valid key.
    """
    findings = []
    for run in runs:
        path = run["path"]
        if path.startswith(strangers_path):
            findings.append(f"ran without a valid key: {path}")
        if run["organisation"] != organisation:
            findings.append(f"ran for {run['organisation']!r}: {path}")
        if run["got_credential"]:
            findings.append(f"its server got the key: {path}")
    return findings


def check_leaves(
    runs: Iterable[dict[str, Any]],
    faults: Iterable[schedule.Fault],
    start_utc_s: float,
) -> list[str]:
    """Return findings on requests that a server ran long after it left.

    A process that was frozen meanwhile may have sent or run them late.

    Args:
        runs: The runs of all servers.
        faults: The faults injected in the run.
        start_utc_s: UTC in seconds at which the load began.
    """
    frozen = [
        (fault.begin_s, fault.begin_s + fault.duration_s + MAX_LEFT_S)
        for fault in faults
        if fault.kind == schedule.FREEZE
        and layout.role_of(fault.target) != layout.CONTROL
    ]
    findings = []
    for run in runs:
        left_s = run.get("left_s")
        if left_s is None or left_s <= MAX_LEFT_S:
            continue
        run_s = run["utc_s"] - start_utc_s
        if not any(begin_s <= run_s <= end_s for begin_s, end_s in frozen):
            findings.append(
                f"ran {left_s:.2f} s after its server left: {run['path']}"
            )
    return findings


def check_payments(history: History, runs_by_key: Counter[str]) -> list[str]:
    """Return findings on payments whose outcome contradicts the ledgers."""
    findings = []
    for key, payment in sorted(history.payments.items()):
        runs = runs_by_key.get(key, 0)
        if runs > 1:
            findings.append(f"{key} ran {runs} times")
        if payment.outcome == NOT_RUN and runs:
            findings.append(f"{key} ran, its caller received not-run")
        if payment.outcome == ANSWERED and not runs:
            findings.append(f"{key} never ran, its caller received an answer")
    return findings


def check_edits(history: History, final_revision: int) -> list[str]:
    """Return findings on accepted edits that contradict each other.

    Args:
        history: The history of the run.
        final_revision: The revision in force after the run.
    """
    findings = list(history.revision_findings)
    by_revision: dict[int, list[str]] = {}
    for change_id, revision in history.accepted.items():
        by_revision.setdefault(revision, []).append(change_id)
    for revision, change_ids in sorted(by_revision.items()):
        if len(change_ids) > 1:
            names = ", ".join(sorted(change_ids))
            findings.append(f"revision {revision} accepted for {names}")
    newest = max(by_revision, default=0)
    if final_revision < newest:
        findings.append(
            f"revision {newest} was accepted, {final_revision} is in force"
        )
    return findings
