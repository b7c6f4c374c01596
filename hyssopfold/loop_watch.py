"""Measures for how long the event loop runs without looking for new input.

Meanwhile bytes, connections and their ends wait in the kernel, and timeouts
that pass are handled late.
"""

from collections.abc import Callable
import logging

import trio

from hyssopfold import logs

logger = logging.getLogger(__name__)

# Shorter turns delay no request by a time that matters to it; most take less
# than a millisecond, so counting them would cost more than it tells.
MIN_COUNTED_S = 0.02
# Longer turns are logged.
LONG_TURN_S = 0.25


class LoopWatch(trio.abc.Instrument):
    """Measures the turns of trio's loop: the time between two looks for input.

    Args:
        observe: Called with the seconds of each turn of `MIN_COUNTED_S` or more.
        long_turn_s: Turns of this length in seconds are logged.
    """

    def __init__(
        self, observe: Callable[[float], None], long_turn_s: float = LONG_TURN_S
    ) -> None:
        self._observe = observe
        self._long_turn_s = long_turn_s
        self._began_at = trio.current_time()

    def after_io_wait(self, timeout: float) -> None:
        """Begin a turn: input has been looked for."""
        self._began_at = trio.current_time()

    def before_io_wait(self, timeout: float) -> None:
        """End a turn: input is looked for again."""
        took_s = trio.current_time() - self._began_at
        if took_s < MIN_COUNTED_S:
            return
        self._observe(took_s)
        if took_s >= self._long_turn_s:
            logger.warning(logs.Event("loop-held", held_s=f"{took_s:.3f}"))
