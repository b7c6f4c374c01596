"""Typed errors; the message of each names the remedy."""

from collections.abc import Sequence
from typing import NamedTuple


class HyssopError(Exception):
    """Base of all errors raised by hyssopfold.

    Args:
        summary: What went wrong, without a full stop.
        remedy: What the reader can do about it.
    """

    kind = "error"
    exit_status = 1

    def __init__(self, summary: str, remedy: str) -> None:
        super().__init__(f"{summary}; {remedy}")
        self.summary = summary
        self.remedy = remedy


class Fault(NamedTuple):
    """One thing wrong in a document written by an operator."""

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
    """Settings or tables that were refused as a whole."""

    kind = "invalid-document"
    exit_status = 2

    def __init__(self, faults: Sequence[Fault]) -> None:
        listed = "\n".join(str(fault) for fault in faults)
        super().__init__(listed, "mend every line listed and try again")
        self.faults = tuple(faults)


class PortBusyError(HyssopError):
    """An address of ours is taken by another process."""

    kind = "port-busy"

    def __init__(self, address: str) -> None:
        super().__init__(
            f"address {address} is in use by another process",
            "stop that process or change the address in the settings",
        )


class ConflictError(HyssopError):
    """Another edit won the revision this one was based on."""

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
    """Another version is in force than the one an edit builds on."""

    kind = "version-conflict"
    exit_status = 3

    def __init__(self, base: int, in_force: int) -> None:
        super().__init__(
            f"version {in_force} is in force, the edit builds on {base}",
            f"get version {in_force}, redo the edit on it and send it again",
        )
        self.in_force = in_force


class OutcomeUnknownError(HyssopError):
    """The fate of an edit could not be learned in time."""

    kind = "outcome-unknown"
    exit_status = 4

    def __init__(self, change_id: str) -> None:
        super().__init__(
            f"the outcome of change {change_id} is not known",
            f"resend the same file with --change-id {change_id}",
        )
        self.change_id = change_id


class ChangeIdReusedError(HyssopError):
    """A change id belongs to another edit that was accepted before."""

    kind = "change-id-reused"
    exit_status = 2

    def __init__(self, change_id: str, revision: int) -> None:
        super().__init__(
            f"change id {change_id} belongs to the edit that made revision"
            f" {revision}; nothing changed",
            "apply this edit under a change id of its own",
        )


class NotAcceptedError(HyssopError):
    """An operation on the durable state is certain not to take effect."""

    kind = "not-accepted"

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"this request changed nothing: {reason or 'no majority answered in time'}",
            "ask another control instance, or see that a majority of them"
            " runs (hyssopctl status)",
        )


class ChildFailedError(HyssopError):
    """A supervised task kept failing."""

    kind = "child-failed"

    def __init__(self, name: str, restarts: int, cause: BaseException) -> None:
        super().__init__(
            f"task {name} failed {restarts} times, last with {cause!r}",
            "read the log lines of this task, mend the cause, start again",
        )


class CorruptStorageError(HyssopError):
    """A record on disk failed its checksum or its format."""

    kind = "corrupt-storage"

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(
            f"{path} is corrupt: {detail}",
            "move the data folder aside and let the instance come back blank",
        )


class StorageFormatError(CorruptStorageError):
    """A record was written by a program with another format."""

    kind = "storage-format"

    def __init__(self, path: str, found: int, known: int) -> None:
        HyssopError.__init__(
            self,
            f"{path} has format {found}; this program reads format {known}",
            "start the program's version that wrote it, or move the data"
            " folder aside and let the instance come back blank",
        )


class StorageBusyError(HyssopError):
    """Another process holds the data folder."""

    kind = "storage-busy"

    def __init__(self, path: str) -> None:
        super().__init__(
            f"data folder {path} is locked by another process",
            "stop the other process or give this one its own folder",
        )


class StorageWriteError(HyssopError):
    """A record could not be written and synced."""

    kind = "storage-write"

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(
            f"cannot write {path}: {detail}",
            "free space or mend the disk; a running instance votes again by"
            " itself, one that did not start is started again",
        )


class PeerUnavailableError(HyssopError):
    """A call to another process of ours got no answer in time."""

    kind = "peer-unavailable"

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(
            f"no answer from {address}: {detail}",
            "check that the process runs and the path to it is open",
        )


class InvariantError(HyssopError):
    """A state that must never arise did."""

    kind = "invariant-broken"

    def __init__(self, what: str) -> None:
        super().__init__(
            f"invariant broken: {what}",
            "stop this instance, keep its data folder and log, and report them",
        )
