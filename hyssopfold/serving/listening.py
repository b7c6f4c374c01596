"""Listener: the open connections of callers to an ASGI app."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
import logging
import math
from typing import Any

import trio

from hyssopfold import logs
from hyssopfold.serving import connection
from hyssopfold.serving import ending
from hyssopfold.serving import limits as limits_module

logger = logging.getLogger(__name__)

# Time between two searches for idle connections, as a share of the timeout.
_SWEEP_SHARE = 0.1
# Time at the end of a stop in which unfinished requests are answered, and
# answers that wait behind them are sent.
FINISH_S = 0.15
_FINISH_PERIOD_S = 0.01


def _run_alone(scope: dict[str, Any]) -> bool:
    return False


class Listener:
    """Serves the connections of callers to an ASGI app, and closes them.

    Args:
        app: ASGI application.
        limits: Limits on the callers.
        may_run_concurrently: Takes the ASGI scope of a request and returns
            whether it may run concurrently with others of its connection. By
            default none may.

    Attributes:
        closing: Whether a planned stop has begun, so that answers announce the
            close of their connections.
        draining: Whether the stop takes no more requests: none starts on a
            connection that has unanswered ones.
        answer_by: Monotonic time in seconds by which the requests of a planned
            stop have to be answered.
        closing_since: Monotonic time in seconds at which it began, else 0.
    """

    def __init__(
        self,
        app: Any,
        limits: limits_module.Limits,
        may_run_concurrently: Callable[[dict[str, Any]], bool] = _run_alone,
    ) -> None:
        self.app = app
        self.limits = limits
        self.may_run_concurrently = may_run_concurrently
        self.closing = False
        self.closing_since = 0.0
        self.draining = False
        self.answer_by = math.inf
        # The open connections, each with the address of its caller.
        self._open: dict[connection.Connection, str] = {}
        self._connections_by_caller: Counter[str] = Counter()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def requests(self) -> int:
        """Return the number of started and unanswered requests."""
        return sum(conn.requests for conn in self._open)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends.

        No error of the connection is raised: it would end the task that
        accepts connections, and with it the connections of all callers.
        """
        caller = _caller_address(stream)
        caller_connections = self._connections_by_caller[caller]
        is_full = len(self._open) >= self.limits.max_connections
        is_caller_full = (
            caller_connections >= self.limits.max_connections_per_caller
        )
        candidates = self._open if not is_caller_full else self._of(caller)
        if (is_full or is_caller_full) and not _close_delivered(candidates):
            logger.warning(
                logs.Event(
                    "connection-refused", caller=caller, open=caller_connections
                )
            )
            await trio.aclose_forcefully(stream)
            return
        conn = connection.Connection(self, stream)
        self._open[conn] = caller
        self._connections_by_caller[caller] += 1
        try:
            await conn.run()
        except Exception:
            logger.exception(logs.Event("connection-failed", caller=caller))
        finally:
            del self._open[conn]
            self._connections_by_caller[caller] -= 1
            if not self._connections_by_caller[caller]:
                del self._connections_by_caller[caller]

    def _of(self, caller: str) -> list[connection.Connection]:
        return [conn for conn, other in self._open.items() if other == caller]

    def close_after_answers(self, ends_at: float = math.inf) -> None:
        """Send `connection: close` with each answer from now on.

        A caller may send its next request on an open connection at any time.
        If the connection were closed without notice, that request would be
        lost, and the caller could not tell whether it ran. After the notice the
        caller opens another connection.

        Args:
            ends_at: Monotonic time in seconds at which the stop ends.
        """
        self.answer_by = min(self.answer_by, ends_at - FINISH_S)
        if not self.closing:
            self.closing = True
            self.closing_since = trio.current_time()
            for conn in self._open:
                conn.prepare_stop()

    def drain(self) -> None:
        """Take no more requests that follow unanswered ones."""
        self.close_after_answers()
        self.draining = True

    async def finish(self, reason: str) -> None:
        """Answer the unfinished requests, then close all connections.

        Complete answers that wait behind them on their connections are sent.
        Requests that arrive meanwhile have no time left.

        Args:
            reason: Why they can't be finished, for the log.
        """
        logger.warning(
            logs.Event("requests-cut", reason=reason, requests=self.requests)
        )
        self.answer_by = min(self.answer_by, trio.current_time())
        self.refuse_unfinished()
        with trio.move_on_after(FINISH_S):
            while self.requests:
                await trio.sleep(_FINISH_PERIOD_S)
        self._close_all()

    def refuse_unfinished(self) -> None:
        """Answer the requests whose servers have not answered by now."""
        for conn in list(self._open):
            conn.refuse_unfinished()

    def close_idle(self, idle_s: float, now: float) -> None:
        """Close the connections that had no request for `idle_s` seconds.

        Args:
            idle_s: Seconds without a request.
            now: Monotonic time in seconds.
        """
        for conn in list(self._open):
            if conn.is_idle() and conn.idle_since + idle_s <= now:
                conn.close(ending.EndReason.IDLE)

    def cut(self, reason: str) -> None:
        """Close all connections at once and log the number of cut requests."""
        logger.warning(
            logs.Event("requests-cut", reason=reason, requests=self.requests)
        )
        self._close_all()

    def _close_all(self) -> None:
        for conn in list(self._open):
            conn.close(ending.EndReason.STOP_OVER)

    async def sweep(self) -> None:
        """Close connections that exceed the idle timeout, until cancelled."""
        while True:
            await trio.sleep(self.limits.idle_timeout_s * _SWEEP_SHARE)
            self.close_idle(self.limits.idle_timeout_s, trio.current_time())


def _close_delivered(conns: Iterable[connection.Connection]) -> bool:
    """Close a connection that only waits for its caller's close, if any."""
    for conn in conns:
        if conn.is_delivered():
            conn.close(ending.EndReason.ANSWERED)
            return True
    return False


def _caller_address(stream: trio.SocketStream) -> str:
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return "unknown"
