"""Answers other instances that ask for newer revisions."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import math

import trio

from hyssopfold import logs
from hyssopfold.core.distribution import history
from hyssopfold.core.distribution import messages
from hyssopfold.transport import poll_wire

logger = logging.getLogger(__name__)

CONFIRM_PERIOD_S = 1.0
CONFIRM_WAIT_S = 0.8
MAX_HELD_QUESTIONS = 2048
MAX_WAIT_S = 60.0

Confirm = Callable[[], Awaitable[bool]]


class Publisher:
    """Keep recent revisions; answer or hold the questions for newer ones.

    Args:
        recent: Where the revisions are kept.
        age_s: Returns the seconds since a majority confirmed the revision.
        confirm: Returns whether a majority confirms, now, that what was
            published is the newest; None where no instance can be asked.
    """

    def __init__(
        self,
        recent: history.History,
        age_s: Callable[[float], float],
        confirm: Confirm | None = None,
    ) -> None:
        self.recent = recent
        self._age_s = age_s
        self._confirm = confirm
        self._news = trio.Event()
        self._waiting = 0

    def publish(self, revision: int, value: bytes) -> None:
        """Take a newer revision in and answer all who wait for one."""
        if self.recent.add(revision, value):
            news, self._news = self._news, trio.Event()
            news.set()

    async def poll(self, req: poll_wire.Poll) -> poll_wire.PollAnswer:
        """Answer once a revision above `req.have` is known, or at time-out."""
        began = trio.current_time()
        strong = False
        if req.strong and self._confirm is not None:
            # Without a majority the read ends long after the asker gave up;
            # a weak answer in time lets it start from a majority's words.
            with trio.move_on_after(CONFIRM_WAIT_S):
                strong = await self._confirm()
        if self._waiting < MAX_HELD_QUESTIONS:
            await self._hold(req)
        else:
            logger.warning(logs.Event("poll-not-held", asker=req.instance))
        now = trio.current_time()
        return poll_wire.PollAnswer(
            self.recent.update_since(req.have, req.digest),
            strong,
            min(self._age_s(now), messages.NEVER_S),
            now - began,
        )

    async def _hold(self, req: poll_wire.Poll) -> None:
        # A NaN or an endless wait from a faulty peer must not hold a
        # question for ever.
        wait_s = req.wait_s if math.isfinite(req.wait_s) else 0.0
        self._waiting += 1
        try:
            with trio.move_on_after(min(max(0.0, wait_s), MAX_WAIT_S)):
                while self.recent.revision <= req.have:
                    await self._news.wait()
        finally:
            self._waiting -= 1


class Confirmations:
    """Know when a majority last confirmed this control instance's revision.

    Args:
        read: Reads the register as strongly as an edit; returns whether a
            majority answered. What it read is published before it returns.
    """

    def __init__(self, read: Confirm) -> None:
        self._read = read
        self._confirmed_at = -math.inf

    def age_s(self, now: float) -> float:
        """Return the seconds since the start of the last read that held."""
        return now - self._confirmed_at

    async def confirm(self) -> bool:
        """Return whether a majority confirms the revision, now."""
        began = trio.current_time()
        if not await self._read():
            return False
        self._confirmed_at = max(self._confirmed_at, began)
        return True

    async def run(self) -> None:
        """Confirm each period, and learn what this instance missed."""
        while True:
            await self.confirm()
            await trio.sleep(CONFIRM_PERIOD_S)
