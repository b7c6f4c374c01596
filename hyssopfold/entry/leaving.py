"""An entry's planned stop, carried out step by step."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

from hyssopfold import logs
from hyssopfold import serving
from hyssopfold.core.draining import stop
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

PERIOD_S = 0.05
# Longer than a request takes from any region, once no look-up names us.
IDLE_BEFORE_CLOSE_S = 0.5


class PlannedStop:
    """Take an entry out of look-ups and see its requests to their end.

    Args:
        steps: Decides when each step is due.
        listener: Connections of callers.
        spread: Tells the other entries.
        leave_placement: Gives up granting slots to others, at once.
        hand_over: Gives what is held here for others to them.
    """

    def __init__(
        self,
        steps: stop.Stop,
        listener: serving.Listener,
        spread: gossip.Gossip,
        leave_placement: Callable[[], None],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        self._steps = steps
        self._listener = listener
        self._spread = spread
        self._leave_placement = leave_placement
        self._hand_over = hand_over

    async def run(self) -> None:
        """Return when nothing is in flight any more, or time is up.

        A stop that turns callers away returns once no more are to be taken.
        """
        began = trio.current_time()
        self._steps.begin(began)
        self._spread.update_self(state="leaving")
        self._leave_placement()
        self._listener.close_after_answers()
        logger.info(logs.Event("leaving", requests=self._listener.requests))
        handed_over = False
        while self._steps.phase is not stop.Phase.DONE:
            await trio.sleep(PERIOD_S)
            self._tick(trio.current_time())
            if self._steps.phase is stop.Phase.DRAINING and not handed_over:
                # No other entry asks this one any more.
                handed_over = True
                await self._hand_over()
                if self._steps.rejects_callers:
                    # The addresses are closed next, the rest is finished.
                    break
        took = trio.current_time() - began
        logger.info(
            logs.Event("left", after_s=took, cut=self._steps.cut_requests)
        )

    def _tick(self, now: float) -> None:
        before = self._steps.phase
        seen = stop.Observed(
            self._listener.connections, self._listener.requests
        )
        after = self._steps.tick(seen, now)
        if after is not before:
            fields = seen._asdict()
            logger.info(logs.Event("stop-phase", phase=after.value, **fields))
        if after is stop.Phase.DRAINING:
            self._listener.close_idle(IDLE_BEFORE_CLOSE_S, now)
        if self._steps.cut_requests:
            self._listener.cut("stop_max_s is over")
