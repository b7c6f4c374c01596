"""The task that keeps an entry's tables at the newest revision."""

import functools
import logging
import math
import random
from typing import Any

import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold import state
from hyssopfold.core.distribution import follower
from hyssopfold.core.distribution import history
from hyssopfold.core.distribution import messages
from hyssopfold.core.steering import routing
from hyssopfold.transport import poll_wire
from hyssopfold.transport import publisher
from hyssopfold.transport import rpc

logger = logging.getLogger(__name__)

_QUEUE = 64


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


def unreadable(value: bytes) -> str:
    """Return why this program cannot read a value, or "" when it can."""
    try:
        state.decode(value)
    except errors.InvalidDocumentError as exc:
        return exc.summary
    return ""


class Configuration:
    """Carry a follower's effects: questions, installs, log lines.

    Args:
        name: Name of this entry.
        control: Clients to the control instances.
        peers: Makes a client to another entry.
        rng: Source of the order in which instances are asked.
        modes: Which modes of update are on.
        timing: Seconds between questions.
        control_is_complete: Whether `control` lists all control instances.
    """

    def __init__(
        self,
        name: str,
        control: list[rpc.Client],
        peers: rpc.Clients,
        rng: random.Random,
        modes: messages.UpdateModes = follower.ALL_MODES,
        timing: follower.Timing = follower.USUAL_TIMING,
        control_is_complete: bool = True,
    ) -> None:
        self._name = name
        self._control = {client.address: client for client in control}
        self._peers = peers
        self._follower = follower.Follower(
            list(self._control),
            rng,
            modes,
            timing,
            unreadable,
            control_is_complete,
        )
        self._inbox, self._events = trio.open_memory_channel[messages.Event](
            _QUEUE
        )
        self.snapshot = Snapshot(0, state.State())
        self.publisher = publisher.Publisher(history.History(), self.age_s)

    def age_s(self, now: float) -> float:
        """Return the seconds since a majority confirmed the revision.

        Infinite when none ever did.
        """
        age = self._follower.age_s(now)
        return age if age < messages.NEVER_S / 2 else math.inf

    @property
    def is_behind(self) -> bool:
        """Return whether a newer revision is known of than is in force."""
        return self._follower.is_behind

    def set_control(self, addresses: list[str]) -> None:
        """Ask the control instances at these addresses from now on."""
        self._follower.set_control(addresses)

    def hear(self, source: str, revision: int) -> None:
        """Take note that `source` has `revision` in force.

        Cheap enough for each message: all but a higher revision ends here.
        """
        if revision <= self._follower.target_revision:
            return
        try:
            self._inbox.send_nowait(messages.RevisionReported(source, revision))
        except trio.WouldBlock:
            # The next message of anyone tells the same.
            logger.debug(logs.Event("hint-dropped", revision=revision))

    async def run(self) -> None:
        """Ask for newer revisions for as long as the entry runs."""
        async with trio.open_nursery() as nursery:
            event: messages.Event = messages.Tick()
            while True:
                now = trio.current_time()
                for effect in self._follower.handle(event, now):
                    _carry(effect, self, nursery)
                event = await self._next_event()

    async def _next_event(self) -> messages.Event:
        due = self._follower.next_deadline() - trio.current_time()
        with trio.move_on_after(max(0.0, due)):
            return await self._events.receive()
        return messages.Tick()

    async def ask(self, effect: messages.SendPoll) -> None:
        """Ask one instance and take its answer in."""
        event: messages.Event
        client = self._control.get(effect.source)
        if client is None:
            client = self._peers.client_for(effect.source)
        req = poll_wire.Poll(
            self._name,
            effect.have,
            effect.wait_s,
            effect.digest,
            effect.strong,
        )
        try:
            answer = await client.call(poll_wire.POLL, req, effect.timeout_s)
            event = messages.PollAnswered(effect.poll_id, *answer)
        except errors.PeerUnavailableError as exc:
            logger.debug(logs.Event("poll-failed", to=effect.source, error=exc))
            event = messages.PollFailed(effect.poll_id)
        await self._inbox.send(event)

    def install(self, revision: int, encoded: bytes) -> None:
        """Put a revision in force for all requests that begin from now on."""
        assert revision > self.snapshot.revision, "a revision only goes up"
        self.snapshot = Snapshot(revision, state.decode(encoded))
        self.publisher.publish(revision, encoded)
        logger.info(logs.Event("revision-in-force", revision=revision))


_REMEDIES = {
    "unreadable": "upgrade this instance; it serves by the revision it has",
    "diverged": "two instances hold other bytes at one revision; report it",
    "mismatch": "none; the whole value is asked for",
    "not-found": "none; another message will tell of it again",
}


@functools.singledispatch
def _carry(
    effect: Any, configuration: Configuration, nursery: trio.Nursery
) -> None:
    """Carry one effect of the follower."""
    raise TypeError(f"no such effect: {effect!r}")


@_carry.register
def _(
    effect: messages.SendPoll,
    configuration: Configuration,
    nursery: trio.Nursery,
) -> None:
    nursery.start_soon(configuration.ask, effect)


@_carry.register
def _(
    effect: messages.Install,
    configuration: Configuration,
    nursery: trio.Nursery,
) -> None:
    configuration.install(effect.revision, effect.value)


@_carry.register
def _(
    effect: messages.Report,
    configuration: Configuration,
    nursery: trio.Nursery,
) -> None:
    logger.warning(
        logs.Event(
            f"revision-{effect.event}",
            source=effect.source,
            revision=effect.revision,
            detail=effect.detail,
            remedy=_REMEDIES[effect.event],
        )
    )
