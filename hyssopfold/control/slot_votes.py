"""Votes of a control instance in the election of grantors."""

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
    """Return the vote states stored in the data folder.

    Raises:
        CorruptStorageError: if the record is corrupt.
    """
    record = data.read(RECORD)
    if record is None:
        return {}
    try:
        return dict(msgspec.msgpack.decode(record, type=_Record))
    except msgspec.DecodeError as exc:
        raise errors.CorruptStorageError(RECORD, str(exc)) from exc


class SlotVotes:
    """Votes on claims to be grantor; a vote is stored before it is sent.

    Args:
        me: This incarnation of the control instance.
        data: Stores the votes.
        gossip_service: Transports claims and votes.
    """

    def __init__(
        self,
        me: messages.Member,
        data: folder.DataFolder,
        gossip_service: gossip.Gossip,
    ) -> None:
        self._me = me
        self._data = data
        self._gossip = gossip_service

    async def run(self) -> None:
        """Process claims and resignations until cancelled."""
        own_voter = voter.Voter(
            self._me, trio.current_time(), states=load(self._data)
        )
        received: datagram_wire.ReceivedMessage
        async for received in self._gossip.received_messages:
            now = trio.current_time()
            if isinstance(received.message, messages.Claim):
                vote = own_voter.vote(received.message, now)
                if own_voter.changed:
                    record = msgspec.msgpack.encode(
                        list(own_voter.durable().items())
                    )
                    self._data.write(RECORD, record)
                self._gossip.post(received.message.candidate.name, vote)
            elif isinstance(received.message, messages.Resign):
                own_voter.resign(received.message, now)
