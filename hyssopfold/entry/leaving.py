"""Executes an entry's planned stop."""

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
# Idle time after which a connection is closed, once no look-up returns this
# entry. Longer than a request takes to arrive from any region.
IDLE_BEFORE_CLOSE_S = 0.5


class PlannedStop:
    """Stop an entry: it leaves the look-ups, then finishes its requests.

    Args:
        stop_state: State machine that decides when each phase begins.
        listener: Connections of callers.
        gossip_service: Announces to the other entries that this one leaves.
        leave_placement: Stops granting slots to other entries, without waiting.
        hand_over: Transfers the claims that this entry holds to other entries.
    """

    def __init__(
        self,
        stop_state: stop.Stop,
        listener: serving.Listener,
        gossip_service: gossip.Gossip,
        leave_placement: Callable[[], None],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        self._stop = stop_state
        self._listener = listener
        self._gossip = gossip_service
        self._leave_placement = leave_placement
        self._hand_over = hand_over

    async def run(self, stop_accepting: Callable[[], None]) -> None:
        """Stop the entry; return when no connection is open or time is up.

        If the stop rejects late callers, return once the claims are handed
        over; the caller of this method lets the remaining requests finish.

        Args:
            stop_accepting: Called when no more callers are to be accepted.
        """
        began_at = trio.current_time()
        self._stop.begin(began_at)
        self._gossip.update_self(state="leaving")
        self._leave_placement()
        if self._stop.rejects_callers:
            # Late callers use another entry, and so do requests that may run
            # for longer than the stop.
            self._listener.close_after_answers(self._stop.ends_at)
        else:
            self._listener.close_after_answers()
        logger.info(logs.Event("leaving", requests=self._listener.requests))
        await self._wait_while(stop.Phase.LEAVING)
        # The other entries no longer ask this one for claims.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hand_over_in_time)
            if self._stop.rejects_callers:
                stop_accepting()
            else:
                await self._wait_while(stop.Phase.DRAINING)
        if self._stop.cut_requests:
            await self._listener.finish("stop_max_s is over")
        took_s = trio.current_time() - began_at
        logger.info(
            logs.Event("left", after_s=took_s, cut=self._stop.cut_requests)
        )

    async def _wait_while(self, phase: stop.Phase) -> None:
        while self._stop.phase is phase:
            await trio.sleep(PERIOD_S)
            self._tick(trio.current_time())

    async def _hand_over_in_time(self) -> None:
        """Hand over the claims; an entry that receives them may have gone."""
        with trio.move_on_at(self._stop.ends_at) as time_limit:
            await self._hand_over()
        if time_limit.cancelled_caught:
            logger.warning(
                logs.Event("claims-not-handed-over", error="no time left")
            )

    def _tick(self, now: float) -> None:
        previous_phase = self._stop.phase
        observed = stop.Observed(
            self._listener.connections, self._listener.requests
        )
        phase = self._stop.tick(observed, now)
        if phase is not previous_phase:
            fields = observed._asdict()
            logger.info(logs.Event("stop-phase", phase=phase.value, **fields))
        if phase is stop.Phase.DRAINING:
            self._listener.drain()
            self._listener.close_idle(IDLE_BEFORE_CLOSE_S, now)
