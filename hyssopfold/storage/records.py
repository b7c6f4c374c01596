"""Load and save the records of a register member in its data folder.

There are five records, and each is replaced as a whole. All contain the
incarnation, so that a record of another folder is detected.
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

_ID_BITS = 64


class Identity(NamedTuple):
    """The owner of the folder; written last when the folder is created."""

    name: str
    incarnation: str


class Starts(NamedTuple):
    """The number of starts from the folder, and the nonce of the last one."""

    incarnation: str
    start_count: int
    nonce: str


class Promise(NamedTuple):
    """The highest promised ballot.

    `has_register` is true once a register was written, so that a missing
    register is detected.
    """

    incarnation: str
    promised: messages.Ballot
    has_register: bool


class Register(NamedTuple):
    """The register accepted last."""

    incarnation: str
    accepted: messages.Ballot
    register: messages.Register


class ObservedStarts(NamedTuple):
    """The starts observed of other members."""

    incarnation: str
    observed_starts: tuple[messages.ObservedStart, ...]


Record = TypeVar("Record", Identity, Starts, Promise, Register, ObservedStarts)


class MemberRecords:
    """The records of one member in its data folder.

    `control.instance.Instance` saves the member's votes with it.

    Args:
        data: The folder that contains the records.
        name: Name of this instance.
        random_bits: Returns a random integer with the given number of bits.
    """

    def __init__(
        self,
        data: folder.DataFolder,
        name: str,
        random_bits: Callable[[int], int],
    ) -> None:
        self._folder = data
        self._name = name
        self._random_bits = random_bits
        self._incarnation = ""
        self._has_register = False
        self._promised = messages.NO_BALLOT

    def open(
        self, address: str
    ) -> tuple[messages.Identity, messages.DurableState]:
        """Record one more start and return the member's identity and state.

        Args:
            address: IP address and port where others reach this instance.

        Raises:
            CorruptStorageError: if a record is missing or invalid.
            StorageWriteError: if the start cannot be written.
        """
        identity = self._read(IDENTITY, Identity)
        if identity is None:
            identity = self._create()
        if identity.name != self._name:
            raise errors.CorruptStorageError(
                self._path(IDENTITY), f"it belongs to {identity.name}"
            )
        self._incarnation = identity.incarnation
        durable = self._load()
        starts = self._require(STARTS, Starts)
        starts = Starts(
            self._incarnation, starts.start_count + 1, self._random_id()
        )
        self._write(STARTS, starts)
        record = self._read(OBSERVED_STARTS, ObservedStarts)
        member = messages.Member(self._name, address, self._incarnation)
        observed_starts = record.observed_starts if record is not None else ()
        member_identity = messages.Identity(
            member, starts.start_count, starts.nonce, observed_starts
        )
        return member_identity, durable

    def _create(self) -> Identity:
        """Create the records of a blank folder, the identity last.

        Before the identity is written, nothing is sent to another instance.
        After a crash until then, the next start creates the records again.
        """
        starts = self._read(STARTS, Starts)
        if self._folder.read(REGISTER) is not None or (
            starts and starts.start_count
        ):
            raise errors.CorruptStorageError(
                self._path(IDENTITY), "the record is missing"
            )
        self._incarnation = self._random_id()
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
        self._has_register = register is not None
        if register is None:
            if promise.has_register:
                # Voting as a blank instance would lose votes that others rely
                # on.
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
            StorageWriteError: if the promise may not be durable.
        """
        record = Promise(self._incarnation, promised, self._has_register)
        self._write(PROMISE, record)
        self._promised = promised

    def save_register(
        self, accepted: messages.Ballot, register: messages.Register
    ) -> None:
        """Write and sync an accepted register.

        Raises:
            StorageWriteError: if the register may not be durable.
        """
        self._write(REGISTER, Register(self._incarnation, accepted, register))
        if not self._has_register:
            self._has_register = True
            self.save_promise(max(self._promised, accepted))

    def save_observed_starts(
        self, observed_starts: tuple[messages.ObservedStart, ...]
    ) -> None:
        """Write and sync the starts observed of other members.

        Raises:
            StorageWriteError: if they may not be durable.
        """
        self._write(
            OBSERVED_STARTS, ObservedStarts(self._incarnation, observed_starts)
        )

    def save_all(self, durable: messages.DurableState) -> None:
        """Write and sync all votes, after an earlier save failed.

        Raises:
            StorageWriteError: if the disk still refuses the write.
        """
        if durable.accepted != messages.NO_BALLOT:
            self.save_register(durable.accepted, durable.register)
        self.save_promise(durable.promised)

    def _require(self, name: str, record_type: type[Record]) -> Record:
        record = self._read(name, record_type)
        if record is None:
            raise errors.CorruptStorageError(
                self._path(name), "the record is missing"
            )
        return record

    def _read(self, name: str, record_type: type[Record]) -> Record | None:
        data = self._folder.read(name)
        if data is None:
            return None
        try:
            record: Record = msgspec.msgpack.decode(data, type=record_type)
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
        self._folder.write(name, msgspec.msgpack.encode(record))

    def _path(self, name: str) -> str:
        return str(self._folder.path / name)

    def _random_id(self) -> str:
        return f"{self._random_bits(_ID_BITS):016x}"
