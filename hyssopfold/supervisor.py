"""Supervises tasks: restarts a failed task, gives up when it keeps failing."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random

import trio

from hyssopfold import errors
from hyssopfold import logs

logger = logging.getLogger(__name__)

MAX_RESTARTS = 5
WINDOW_S = 30.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0


def _is_final(exc: Exception) -> bool:
    """Return whether a child must not be restarted after an error.

    A restart does not free a port that another process uses, and a member must
    not go on voting from an invalid state. A nursery of the child may wrap such
    errors in an exception group.
    """
    if isinstance(exc, ExceptionGroup):
        return any(_is_final(inner) for inner in exc.exceptions)
    return isinstance(exc, (errors.PortBusyError, errors.InvariantError))


async def supervise(
    name: str,
    child: Callable[[], Awaitable[None]],
    rng: random.Random,
    max_restarts: int = MAX_RESTARTS,
) -> None:
    """Run `child` until it returns, restarting it when it fails.

    Args:
        name: Name of the child in logs.
        child: Task to run; its work is done when it returns.
        rng: Source of the jitter between restarts.
        max_restarts: Failures allowed within `WINDOW_S` seconds.

    Raises:
        ChildFailedError: when the child fails more often than allowed.
    """
    failures: list[float] = []
    while True:
        try:
            await child()
            return
        except Exception as exc:
            if _is_final(exc):
                raise
            now = trio.current_time()
            failures = [
                failed_at
                for failed_at in failures
                if now - failed_at < WINDOW_S
            ] + [now]
            logger.exception(
                logs.Event("child-failed", child=name, failures=len(failures))
            )
            if len(failures) > max_restarts:
                raise errors.ChildFailedError(name, len(failures), exc) from exc
            backoff = FIRST_BACKOFF_S * 2 ** (len(failures) - 1)
            delay = min(backoff, MAX_BACKOFF_S) * rng.uniform(0.5, 1.0)
            await trio.sleep(delay)
            logger.info(
                logs.Event("child-restarted", child=name, after_s=delay)
            )
