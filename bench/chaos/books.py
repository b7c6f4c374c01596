"""What callers and operators were told, against what the servers ran."""

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
    """What the caller of one payment was told last."""

    key: str
    told: str


class Upload(NamedTuple):
    """One upload, with the seconds of the run that it lasted."""

    path: str
    began_s: float
    ended_s: float
    told: str


class Crash(NamedTuple):
    """A server that crashed under a request sent to `entry` then."""

    sent_s: float
    entry: str


class Books:
    """Everything that was told in one run."""

    def __init__(self) -> None:
        self.payments: dict[str, Payment] = {}
        self.uploads: list[Upload] = []
        self.crossed: list[str] = []
        self.reads: Counter[str] = Counter()
        self.accepted: dict[str, int] = {}
        self.reverted: list[str] = []
        self.crashes: list[Crash] = []
        self.crashers: Counter[str] = Counter()

    def accept(self, change_id: str, revision: int) -> None:
        """Note that an operator was told `accepted`."""
        first = self.accepted.setdefault(change_id, revision)
        if first != revision:
            self.reverted.append(
                f"change {change_id} accepted as {first} and as {revision}"
            )


def ran_by_key(ledgers: Iterable[pathlib.Path]) -> Counter[str]:
    """Return how often each idempotency key ran, over all servers."""
    ran: Counter[str] = Counter()
    for path in ledgers:
        if not path.exists():
            continue
        for line in path.read_text(encoding="utf-8").splitlines():
            key = json.loads(line).get("key")
            if key:
                ran[key] += 1
    return ran


def faults_of_payments(books: Books, ran: Counter[str]) -> list[str]:
    """Return what the ledgers say against what the callers were told."""
    faults = []
    for key, payment in sorted(books.payments.items()):
        times = ran.get(key, 0)
        if times > 1:
            faults.append(f"{key} ran {times} times")
        if payment.told == NOT_RUN and times:
            faults.append(f"{key} ran, its caller was told not-run")
        if payment.told == ANSWERED and not times:
            faults.append(f"{key} never ran, its caller was told it had")
    return faults


def faults_of_edits(books: Books, final_revision: int) -> list[str]:
    """Return accepted edits that cannot all be true."""
    faults = list(books.reverted)
    by_revision: dict[int, list[str]] = {}
    for change_id, revision in books.accepted.items():
        by_revision.setdefault(revision, []).append(change_id)
    for revision, changes in sorted(by_revision.items()):
        if len(changes) > 1:
            names = ", ".join(sorted(changes))
            faults.append(f"revision {revision} accepted for {names}")
    newest = max(by_revision, default=0)
    if final_revision < newest:
        faults.append(
            f"revision {newest} was accepted, {final_revision} is in force"
        )
    return faults
