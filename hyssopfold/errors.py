"""Error classes; each message says what failed and what to do about it."""

from collections.abc import Sequence
from typing import NamedTuple


class HyssopError(Exception):
    """Base of all errors raised by hyssopfold.

    Args:
        summary: What went wrong, without a full stop.
        remedy: What the reader of the message can do about it.

    Attributes:
        kind: Name of the error in messages and answers to operators.
        exit_status: Exit status of a command that ends with this error.
    """

    kind = "error"
    exit_status = 1

    def __init__(self, summary: str, remedy: str) -> None:
        super().__init__(f"{summary}; {remedy}")
        self.summary = summary
        self.remedy = remedy


class Fault(NamedTuple):
    """A fault in a document written by an operator.

    `where` is the path of the faulty key in line `line` of `source`, `value`
    is its present value and `allowed` describes the values that are accepted.
    """

    source: str
    line: int
    where: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (
            f"{self.source}:{self.line}: {self.where}: {self.value}"
            f" is not allowed; write {self.allowed}"
        )


class InvalidDocumentError(HyssopError):
    """Settings or tables contain faults; the whole document is refused."""

    kind = "invalid-document"
    exit_status = 2

    def __init__(self, faults: Sequence[Fault]) -> None:
        fault_lines = "\n".join(str(fault) for fault in faults)
        super().__init__(fault_lines, "correct every line listed and try again")
        self.faults = tuple(faults)


class PortBusyError(HyssopError):
    """An address to listen on is in use by another process."""

    kind = "port-busy"

    def __init__(self, address: str) -> None:
        super().__init__(
            f"address {address} is in use by another process",
            "stop that process or change the address in the settings",
        )


class ConflictError(HyssopError):
    """Another edit was accepted on the revision that this edit is based on."""

    kind = "conflict"
    exit_status = 3

    def __init__(self, revision: int, winner: str) -> None:
        super().__init__(
            f"the tables are at revision {revision}, set by change {winner}",
            "get the tables again, redo the edit and apply it with"
            f" --expect {revision}",
        )
        self.revision = revision
        self.winner = winner


class VersionConflictError(HyssopError):
    """The version in force isn't the version on which an edit is based."""

    kind = "version-conflict"
    exit_status = 3

    def __init__(self, base: int, in_force: int) -> None:
        super().__init__(
            f"version {in_force} is in force, the edit is based on {base}",
            f"get version {in_force}, redo the edit on it and send it again",
        )
        self.in_force = in_force


class OutcomeUnknownError(HyssopError):
    """The outcome of an edit did not become known in time."""

    kind = "outcome-unknown"
    exit_status = 4

    def __init__(self, change_id: str) -> None:
        super().__init__(
            f"the outcome of change {change_id} is not known",
            f"resend the same file with --change-id {change_id}",
        )
        self.change_id = change_id


class ChangeIdReusedError(HyssopError):
    """The change id of an edit belongs to an edit accepted before."""

    kind = "change-id-reused"
    exit_status = 2

    def __init__(self, change_id: str, revision: int) -> None:
        super().__init__(
            f"change id {change_id} belongs to the edit that made revision"
            f" {revision}; nothing changed",
            "apply this edit with another change id",
        )


class NotAcceptedError(HyssopError):
    """An operation on the durable state failed and will not take effect."""

    kind = "not-accepted"

    def __init__(self, reason: str) -> None:
        super().__init__(
            "this request changed nothing:"
            f" {reason or 'no majority answered in time'}",
            "ask another control instance, or check that a majority of them"
            " is running (hyssopctl status)",
        )


class StateTooLargeError(HyssopError):
    """The state after an edit is larger than the instances can exchange.

    Args:
        size: Size of what the edit makes too large, in bytes.
        limit: Its largest size, in bytes.
        part: What is too large.
    """

    kind = "state-too-large"
    exit_status = 2

    def __init__(self, size: int, limit: int, part: str) -> None:
        super().__init__(
            f"{part} would have {size} bytes after this edit; at most {limit}"
            " are allowed",
            "remove rows that are not needed, or add fewer",
        )
        self.size = size
        self.limit = limit


class ChildFailedError(HyssopError):
    """A supervised task failed too often."""

    kind = "child-failed"

    def __init__(self, name: str, restarts: int, cause: BaseException) -> None:
        super().__init__(
            f"task {name} failed {restarts} times, last with {cause!r}",
            "read the log lines of this task, fix the cause and start again",
        )


class CorruptStorageError(HyssopError):
    """A record on disk has a wrong checksum or an invalid format."""

    kind = "corrupt-storage"

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(
            f"{path} is corrupt: {detail}",
            "move the data folder aside and start the instance without data",
        )


class StorageFormatError(CorruptStorageError):
    """A record was written by a version of the program with another format."""

    kind = "storage-format"

    def __init__(
        self, path: str, file_format: int, supported_format: int
    ) -> None:
        HyssopError.__init__(
            self,
            f"{path} has format {file_format}; this program reads format"
            f" {supported_format}",
            "start the program's version that wrote it, or move the data"
            " folder aside and start the instance without data",
        )


class StorageBusyError(HyssopError):
    """Another process has locked the data folder."""

    kind = "storage-busy"

    def __init__(self, path: str) -> None:
        super().__init__(
            f"data folder {path} is locked by another process",
            "stop the other process or give this one its own folder",
        )


class StorageWriteError(HyssopError):
    """A record could not be written and synced to disk."""

    kind = "storage-write"

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(
            f"cannot write {path}: {detail}",
            "free space or repair the disk; a running instance votes again by"
            " itself, one that did not start must be started again",
        )


class PeerUnavailableError(HyssopError):
    """A call to another instance got no answer in time."""

    kind = "peer-unavailable"

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(
            f"no answer from {address}: {detail}",
            "check that the process is running and can be reached",
        )


class InvariantError(HyssopError):
    """An invariant of the program does not hold."""

    kind = "invariant-broken"

    def __init__(self, violation: str) -> None:
        super().__init__(
            f"invariant broken: {violation}",
            "stop this instance, keep its data folder and log, and report them",
        )
