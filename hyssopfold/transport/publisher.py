"""Serves polls of other instances for newer revisions."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import math

import trio

from hyssopfold import logs
from hyssopfold.core.distribution import history
from hyssopfold.core.distribution import messages
from hyssopfold.core.distribution import rows
from hyssopfold.transport import poll_wire

logger = logging.getLogger(__name__)

CONFIRM_PERIOD_S = 1.0
CONFIRM_TIMEOUT_S = 0.8
MAX_WAITING_POLLS = 2048
MAX_WAIT_S = 60.0

Confirm = Callable[[], Awaitable[bool]]


class Publisher:
    """Recent revisions, and the polls that wait for a newer one.

    Control instances and entries serve polls with it.

    Args:
        revisions: Stores the revisions.
        age_s: Returns the seconds since a majority last confirmed the revision,
            given the monotonic time in seconds.
        confirm: Returns whether a majority confirms now that the published
            revision is the newest; None if this instance can't ask a majority.

    Attributes:
        answers: Number of answers, by what they contain: `whole-value`,
            `difference` or `nothing`.
        answered_bytes: Bytes of the updates in these answers.
    """

    def __init__(
        self,
        revisions: history.History,
        age_s: Callable[[float], float],
        confirm: Confirm | None = None,
    ) -> None:
        self.revisions = revisions
        self._age_s = age_s
        self._confirm = confirm
        self._published = trio.Event()
        self._waiting = 0
        self.answers: collections.Counter[str] = collections.Counter()
        self.answered_bytes: collections.Counter[str] = collections.Counter()

    def publish(
        self, revision: int, value: bytes, split: rows.Rows | None = None
    ) -> None:
        """Store a revision; if it is newer, answer all waiting polls.

        Args:
            revision: Number of the revision.
            value: The encoded state.
            split: Its rows, if the caller has split it.
        """
        if self.revisions.add(revision, value, split):
            published, self._published = self._published, trio.Event()
            published.set()

    async def poll(self, req: poll_wire.Poll) -> poll_wire.PollAnswer:
        """Return a revision above `req.have`, or the newest after a timeout.

        Args:
            req: The request; its `wait_s` is limited to `MAX_WAIT_S`.
        """
        began = trio.current_time()
        strong = False
        if req.strong and self._confirm is not None:
            # Without a majority the read ends long after the caller's timeout.
            # An unconfirmed answer in time lets the caller install its first
            # revision from the answers of a majority.
            with trio.move_on_after(CONFIRM_TIMEOUT_S):
                strong = await self._confirm()
        if self._waiting < MAX_WAITING_POLLS:
            await self._wait_for_newer(req)
        else:
            logger.warning(logs.Event("poll-not-held", asker=req.instance))
        now = trio.current_time()
        update = self.revisions.update_since(
            req.have, req.digest, req.accepts_compressed
        )
        self._count(update)
        return poll_wire.PollAnswer(
            update,
            strong,
            min(self._age_s(now), messages.NEVER_S),
            now - began,
        )

    def _count(self, update: messages.Update) -> None:
        content = "difference" if update.base else "whole-value"
        if not update.payload:
            content = "nothing"
        self.answers[content] += 1
        self.answered_bytes[content] += len(update.payload)

    async def _wait_for_newer(self, req: poll_wire.Poll) -> None:
        # A faulty peer may send NaN or infinity, which must not keep a poll
        # waiting forever.
        wait_s = req.wait_s if math.isfinite(req.wait_s) else 0.0
        self._waiting += 1
        try:
            with trio.move_on_after(min(max(0.0, wait_s), MAX_WAIT_S)):
                while self.revisions.revision <= req.have:
                    await self._published.wait()
        finally:
            self._waiting -= 1


class Confirmations:
    """Time at which a majority last confirmed a control instance's revision.

    Args:
        read: Reads the register with the consistency of an edit and returns
            whether a majority answered. The revision that it read is published
            before it returns.
    """

    def __init__(self, read: Confirm) -> None:
        self._read = read
        self._confirmed_at = -math.inf

    def age_s(self, now: float) -> float:
        """Return the seconds since the start of the last successful read.

        Args:
            now: Monotonic time in seconds.
        """
        return now - self._confirmed_at

    async def confirm(self) -> bool:
        """Return whether a majority confirms the revision now."""
        began = trio.current_time()
        if not await self._read():
            return False
        self._confirmed_at = max(self._confirmed_at, began)
        return True

    async def run(self) -> None:
        """Confirm each period; the read also fetches missed revisions."""
        while True:
            await self.confirm()
            await trio.sleep(CONFIRM_PERIOD_S)
