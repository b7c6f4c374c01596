"""The task that keeps an entry's tables at the newest revision."""

import logging
import random

import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold import state
from hyssopfold.core.steering import routing
from hyssopfold.transport import poll_wire
from hyssopfold.transport import rpc

logger = logging.getLogger(__name__)

_CALL_MARGIN_S = 2.0


class Snapshot:
    """State of one revision; a request uses one snapshot throughout.

    Args:
        revision: Revision of the state.
        held: The state.
    """

    def __init__(self, revision: int, held: state.State) -> None:
        self.revision = revision
        self.held = held
        self.tables = held.tables
        self.shifts = held.shifts
        self.router = routing.Router(held.tables.routes)


class Configuration:
    """Poll control instances and put newer revisions in force.

    Args:
        name: Name of this entry.
        peers: Clients to the control instances.
        poll_s: Longest wait of one poll.
        rng: Source of the order in which instances are asked.
    """

    def __init__(
        self,
        name: str,
        peers: list[rpc.Client],
        poll_s: float,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._peers = peers
        self._poll_s = poll_s
        self._rng = rng
        self.snapshot = Snapshot(0, state.State())
        self.confirmed_at = -float("inf")

    def age_s(self, now: float) -> float:
        """Return the seconds since control last confirmed the revision."""
        return now - self.confirmed_at

    async def run(self) -> None:
        """Ask for newer revisions for as long as the entry runs."""
        while True:
            for peer in self._rng.sample(self._peers, len(self._peers)):
                while await self._poll(peer):
                    pass
            await trio.sleep(self._rng.uniform(0.1, 0.5))

    async def _poll(self, peer: rpc.Client) -> bool:
        req = poll_wire.Poll(self._name, self.snapshot.revision, self._poll_s)
        timeout_s = self._poll_s + _CALL_MARGIN_S
        try:
            answer = await peer.call(poll_wire.POLL, req, timeout_s)
        except errors.PeerUnavailableError as exc:
            logger.debug(logs.Event("poll-failed", to=peer.address, error=exc))
            return False
        self.confirmed_at = trio.current_time()
        self.install(answer.revision, answer.value)
        return True

    def install(self, revision: int, encoded: bytes) -> None:
        """Put a revision in force if it is newer than the one held."""
        if revision <= self.snapshot.revision or not encoded:
            return
        self.snapshot = Snapshot(revision, state.decode(encoded))
        logger.info(logs.Event("revision-in-force", revision=revision))
