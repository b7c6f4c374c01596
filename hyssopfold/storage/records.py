"""What a member of the register keeps in its data folder.

Five records, each replaced as a whole. All carry the incarnation, so that a
record of another folder is never taken for one of this.
"""

from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

import msgspec

from hyssopfold import errors
from hyssopfold.core.consensus import messages
from hyssopfold.storage import folder

IDENTITY = "identity"
STARTS = "starts"
PROMISE = "promise"
REGISTER = "register"
OBSERVED_STARTS = "sightings"

_TOKEN_BITS = 64


class Identity(NamedTuple):
    """Whose folder it is; written last when the folder is made."""

    name: str
    incarnation: str


class Starts(NamedTuple):
    """How often the folder was opened, and a random id of the last time."""

    incarnation: str
    opened: int
    nonce: str


class Promise(NamedTuple):
    """The highest ballot promised; `formed` once a register was written."""

    incarnation: str
    promised: messages.Ballot
    formed: bool


class Register(NamedTuple):
    """The register accepted last."""

    incarnation: str
    accepted: messages.Ballot
    register: messages.Register


class ObservedStarts(NamedTuple):
    """What was seen of other members' starts."""

    incarnation: str
    observed_starts: tuple[messages.ObservedStart, ...]


Kind = TypeVar("Kind", Identity, Starts, Promise, Register, ObservedStarts)


class MemberRecords:
    """Load and save the records of one member.

    Args:
        data: The folder they are kept in.
        name: Name of this instance.
        draw_bits: Returns a random number of so many bits.
    """

    def __init__(
        self,
        data: folder.DataFolder,
        name: str,
        draw_bits: Callable[[int], int],
    ) -> None:
        self._data = data
        self._name = name
        self._draw_bits = draw_bits
        self._incarnation = ""
        self._formed = False
        self._promised = messages.NO_BALLOT

    def open(
        self, address: str
    ) -> tuple[messages.Identity, messages.DurableState]:
        """Count one more start; return who this instance is and what it holds.

        Args:
            address: IP number and port where others reach this instance.

        Raises:
            CorruptStorageError: when a record is missing or cannot be trusted.
            StorageWriteError: when the start cannot be written.
        """
        identity = self._read(IDENTITY, Identity)
        if identity is None:
            identity = self._make()
        if identity.name != self._name:
            raise errors.CorruptStorageError(
                self._path(IDENTITY), f"it belongs to {identity.name}"
            )
        self._incarnation = identity.incarnation
        durable = self._load()
        starts = self._require(STARTS, Starts)
        starts = Starts(self._incarnation, starts.opened + 1, self._token())
        self._write(STARTS, starts)
        observed_starts = self._read(OBSERVED_STARTS, ObservedStarts)
        member = messages.Member(self._name, address, self._incarnation)
        seen = (
            observed_starts.observed_starts
            if observed_starts is not None
            else ()
        )
        whole = messages.Identity(member, starts.opened, starts.nonce, seen)
        return whole, durable

    def _make(self) -> Identity:
        """Make the records of a blank folder, the identity last.

        A crash on the way leaves no identity and nothing that was ever told
        to anyone, and the next start makes them anew.
        """
        starts = self._read(STARTS, Starts)
        if self._data.read(REGISTER) is not None or (starts and starts.opened):
            raise errors.CorruptStorageError(
                self._path(IDENTITY), "the record is missing"
            )
        self._incarnation = self._token()
        self._write(
            PROMISE, Promise(self._incarnation, messages.NO_BALLOT, False)
        )
        self._write(STARTS, Starts(self._incarnation, 0, ""))
        identity = Identity(self._name, self._incarnation)
        self._write(IDENTITY, identity)
        return identity

    def _load(self) -> messages.DurableState:
        promise = self._require(PROMISE, Promise)
        register = self._read(REGISTER, Register)
        self._formed = register is not None
        if register is None:
            if promise.formed:
                # Voting as if blank would forget what others rely on.
                raise errors.CorruptStorageError(
                    self._path(REGISTER), "the record is missing"
                )
            register = Register("", messages.NO_BALLOT, messages.BLANK_REGISTER)
        self._promised = max(promise.promised, register.accepted)
        return messages.DurableState(
            self._promised, register.accepted, register.register
        )

    def save_promise(self, promised: messages.Ballot) -> None:
        """Write and sync a promise.

        Raises:
            StorageWriteError: when it may be lost.
        """
        record = Promise(self._incarnation, promised, self._formed)
        self._write(PROMISE, record)
        self._promised = promised

    def save_register(
        self, accepted: messages.Ballot, register: messages.Register
    ) -> None:
        """Write and sync an accepted register.

        Raises:
            StorageWriteError: when it may be lost.
        """
        self._write(REGISTER, Register(self._incarnation, accepted, register))
        if not self._formed:
            self._formed = True
            self.save_promise(max(self._promised, accepted))

    def save_observed_starts(
        self, observed_starts: tuple[messages.ObservedStart, ...]
    ) -> None:
        """Write and sync what was seen of others.

        Raises:
            StorageWriteError: when it may be lost.
        """
        self._write(
            OBSERVED_STARTS, ObservedStarts(self._incarnation, observed_starts)
        )

    def save_all(self, durable: messages.DurableState) -> None:
        """Write and sync all votes, after an earlier save failed.

        Raises:
            StorageWriteError: when the disk still refuses.
        """
        if durable.accepted != messages.NO_BALLOT:
            self.save_register(durable.accepted, durable.register)
        self.save_promise(durable.promised)

    def _require(self, name: str, kind: type[Kind]) -> Kind:
        record = self._read(name, kind)
        if record is None:
            raise errors.CorruptStorageError(
                self._path(name), "the record is missing"
            )
        return record

    def _read(self, name: str, kind: type[Kind]) -> Kind | None:
        data = self._data.read(name)
        if data is None:
            return None
        try:
            record: Kind = msgspec.msgpack.decode(data, type=kind)
        except msgspec.DecodeError as exc:
            raise errors.CorruptStorageError(
                self._path(name), str(exc)
            ) from exc
        if self._incarnation not in ("", record.incarnation):
            raise errors.CorruptStorageError(
                self._path(name), "it belongs to another incarnation"
            )
        return record

    def _write(self, name: str, record: NamedTuple) -> None:
        self._data.write(name, msgspec.msgpack.encode(record))

    def _path(self, name: str) -> str:
        return str(self._data.path / name)

    def _token(self) -> str:
        return f"{self._draw_bits(_TOKEN_BITS):016x}"
