"""Keeps an entry's tables at the newest revision."""

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
from hyssopfold.core.distribution import rows
from hyssopfold.core.steering import routing
from hyssopfold.entry import authenticator
from hyssopfold.entry import state_decoder
from hyssopfold.transport import poll_wire
from hyssopfold.transport import publisher
from hyssopfold.transport import rpc

logger = logging.getLogger(__name__)

_QUEUE_SIZE = 64


class Snapshot:
    """The replicated state of one revision, prepared for requests.

    Each request uses a single snapshot from its beginning to its end.

    Args:
        revision: Number of the revision.
        replicated_state: The state at this revision.
    """

    def __init__(self, revision: int, replicated_state: state.State) -> None:
        self.revision = revision
        self.state = replicated_state
        self.tables = replicated_state.tables
        self.shifts = replicated_state.shifts
        self.router = routing.Router(replicated_state.tables.routes)
        self.authenticator = authenticator.Authenticator(
            replicated_state.tables.organisations
        )


class Configuration:
    """Follow the revisions of the tables and keep a snapshot of the newest.

    It feeds events to a follower, which decides, and executes the effects: it
    polls other instances, installs revisions and logs reports. The other
    components of the entry read the tables in force from its snapshot.

    Args:
        name: Name of this entry.
        control: Clients of the control instances.
        peers: Creates clients of other entries.
        rng: Draws the order in which instances are polled.
        modes: Which modes of update are on.
        timing: Seconds between polls.
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
        self._decoder = state_decoder.StateDecoder()
        self._follower = follower.Follower(
            list(self._control),
            rng,
            modes,
            timing,
            self._decoder.unreadable_reason,
            control_is_complete,
        )
        self._event_sender, self._event_receiver = trio.open_memory_channel[
            messages.Event
        ](_QUEUE_SIZE)
        self.snapshot = Snapshot(0, state.State())
        self._installed = trio.Event()
        self.publisher = publisher.Publisher(history.History(), self.age_s)

    def age_s(self, now: float) -> float:
        """Return the age of the last confirmation of the revision in force.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Seconds since a majority of control confirmed it; infinite if none
            ever did.
        """
        age = self._follower.age_s(now)
        return age if age < messages.NEVER_S / 2 else math.inf

    @property
    def is_behind(self) -> bool:
        """Return whether a newer revision must still be fetched.

        This is so until the first revision is received. A revision that this
        program cannot decode counts as fetched.
        """
        return self._follower.is_behind

    async def wait_for_revision(self, max_s: float) -> None:
        """Wait until the next revision is in force, for `max_s` s at most."""
        with trio.move_on_after(max_s):
            await self._installed.wait()

    def set_control(self, addresses: list[str]) -> None:
        """Poll the control instances at these addresses from now on."""
        self._follower.set_control(addresses)

    def record_revision(self, source: str, revision: int) -> None:
        """Record that the instance at `source` has `revision` in force.

        Called for each message received, and therefore cheap: only a revision
        above the highest known one is passed to the follower.

        Args:
            source: RPC address of the instance, empty if it has none.
            revision: The revision.
        """
        if revision <= self._follower.target_revision:
            return
        try:
            self._event_sender.send_nowait(
                messages.RevisionReported(source, revision)
            )
        except trio.WouldBlock:
            # The next message of any instance reports the revision again.
            logger.debug(logs.Event("hint-dropped", revision=revision))

    async def run(self) -> None:
        """Poll for newer revisions until cancelled."""
        async with trio.open_nursery() as nursery:
            event: messages.Event = messages.Tick()
            while True:
                now = trio.current_time()
                for effect in self._follower.handle(event, now):
                    _execute(effect, self, nursery)
                event = await self._next_event()

    async def _next_event(self) -> messages.Event:
        wait_s = self._follower.next_deadline() - trio.current_time()
        with trio.move_on_after(max(0.0, wait_s)):
            return await self._event_receiver.receive()
        return messages.Tick()

    async def poll(self, effect: messages.SendPoll) -> None:
        """Poll an instance and pass its answer to the follower."""
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
            accepts_compressed=True,
        )
        try:
            answer = await client.call(poll_wire.POLL, req, effect.timeout_s)
            event = messages.PollAnswered(effect.poll_id, *answer)
        except errors.PeerUnavailableError as exc:
            logger.debug(logs.Event("poll-failed", to=effect.source, error=exc))
            event = messages.PollFailed(effect.poll_id)
        await self._event_sender.send(event)

    def install(
        self, revision: int, encoded: bytes, split: rows.Rows | None = None
    ) -> None:
        """Put a revision in force for all requests that begin from now on.

        Args:
            revision: Number of the revision, above the one in force.
            encoded: The encoded state.
            split: Its rows, if the caller has split it.
        """
        assert revision > self.snapshot.revision, "a revision only goes up"
        if split is None:
            split = rows.split(encoded)
        self.snapshot = Snapshot(revision, self._decoder.decode(split))
        self.publisher.publish(revision, encoded, split)
        installed, self._installed = self._installed, trio.Event()
        installed.set()
        logger.info(logs.Event("revision-in-force", revision=revision))


_REMEDIES = {
    "unreadable": "upgrade this instance; it keeps its present revision",
    "diverged": "two instances have different bytes at one revision; report it",
    "mismatch": "none; the whole value is requested",
    "not-found": "none; a later message will report the revision again",
}


@functools.singledispatch
def _execute(
    effect: Any, configuration: Configuration, nursery: trio.Nursery
) -> None:
    """Execute an effect of the follower."""
    raise TypeError(f"unknown effect: {effect!r}")


@_execute.register
def _(
    effect: messages.SendPoll,
    configuration: Configuration,
    nursery: trio.Nursery,
) -> None:
    nursery.start_soon(configuration.poll, effect)


@_execute.register
def _(
    effect: messages.Install,
    configuration: Configuration,
    nursery: trio.Nursery,
) -> None:
    configuration.install(effect.revision, effect.value, effect.rows)


@_execute.register
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
