"""Votes of a control instance on which entries grant slots."""

import msgspec
import trio

from hyssopfold import errors
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import voter
from hyssopfold.storage import folder
from hyssopfold.transport import datagram_wire
from hyssopfold.transport import gossip

RECORD = "slot-votes"

_Record = list[tuple[messages.PoolRegion, voter.VoteState]]


def load(data: folder.DataFolder) -> dict[messages.PoolRegion, voter.VoteState]:
    """Return the promises that the data folder holds.

    Raises:
        CorruptStorageError: when the record cannot be trusted.
    """
    record = data.read(RECORD)
    if record is None:
        return {}
    try:
        return dict(msgspec.msgpack.decode(record, type=_Record))
    except msgspec.DecodeError as exc:
        raise errors.CorruptStorageError(RECORD, str(exc)) from exc


class SlotVotes:
    """Answer claims; a vote that must not be forgotten is synced first.

    Args:
        me: This life of the control instance.
        data: Where votes are kept.
        spread: Carries claims and votes.
    """

    def __init__(
        self,
        me: messages.Member,
        data: folder.DataFolder,
        spread: gossip.Gossip,
    ) -> None:
        self._me = me
        self._data = data
        self._spread = spread

    async def run(self) -> None:
        """Take in claims until cancelled."""
        votes = voter.Voter(
            self._me, trio.current_time(), states=load(self._data)
        )
        parcel: datagram_wire.Parcel
        async for parcel in self._spread.parcels:
            now = trio.current_time()
            if isinstance(parcel.message, messages.Claim):
                vote = votes.vote(parcel.message, now)
                if votes.changed:
                    record = msgspec.msgpack.encode(
                        list(votes.durable().items())
                    )
                    self._data.write(RECORD, record)
                self._spread.post(parcel.message.candidate.name, vote)
            elif isinstance(parcel.message, messages.Resign):
                votes.resign(parcel.message, now)
