"""History of a chaos test, and the checks on it.

The history has the outcomes that callers and operators received. The ledgers of
the servers have the requests that ran.
"""

from collections import Counter
from collections.abc import Iterable
import json
import pathlib
from typing import NamedTuple

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
LOST = "lost"


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


def count_runs_by_key(ledgers: Iterable[pathlib.Path]) -> Counter[str]:
    """Return how often each idempotency key ran on all servers together.

    Args:
        ledgers: The ledger files of the servers; missing ones are skipped.
    """
    runs_by_key: Counter[str] = Counter()
    for path in ledgers:
        if not path.exists():
            continue
        for line in path.read_text(encoding="utf-8").splitlines():
            key = json.loads(line).get("key")
            if key:
                runs_by_key[key] += 1
    return runs_by_key


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
