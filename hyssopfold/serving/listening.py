"""Open connections of an app, and how they are brought to an end."""

from collections import Counter
from collections.abc import Callable
import logging
from typing import Any

import trio

from hyssopfold import logs
from hyssopfold.serving import connection
from hyssopfold.serving import limits as limits_module

logger = logging.getLogger(__name__)


def _run_alone(scope: dict[str, Any]) -> bool:
    return False


class Listener:
    """Open connections of an app, and how they are brought to an end.

    Args:
        app: ASGI application.
        limits: What a caller may take.
        may_run_concurrently: Tells of a request, as ASGI names it, whether it may be
            served beside others of its connection.
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
        self._open: set[connection.Connection] = set()
        self._by_caller: Counter[str] = Counter()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def requests(self) -> int:
        """Return the number of requests under way."""
        return sum(conn.requests for conn in self._open)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends.

        Nothing that goes wrong on it ends the task that accepts connections,
        and with it those of all other callers.
        """
        caller = _caller_of(stream)
        mine = self._by_caller[caller]
        full = len(self._open) >= self.limits.max_connections
        if full or mine >= self.limits.max_connections_per_caller:
            logger.warning(
                logs.Event("connection-refused", caller=caller, open=mine)
            )
            await trio.aclose_forcefully(stream)
            return
        conn = connection.Connection(self, stream)
        self._open.add(conn)
        self._by_caller[caller] += 1
        try:
            await conn.run()
        except Exception:
            logger.exception(logs.Event("connection-failed", caller=caller))
        finally:
            self._open.discard(conn)
            self._by_caller[caller] -= 1
            if not self._by_caller[caller]:
                del self._by_caller[caller]

    def close_after_answers(self) -> None:
        """Say `connection: close` on each answer from now on.

        A caller may write its next request at any moment on a connection
        that it believes open; closing it then loses a request that nobody
        can prove unsent. Said first, the caller opens another one.
        """
        self.closing = True

    def close_idle(self, idle_s: float, now: float) -> None:
        """Close the connections without a request for `idle_s` seconds."""
        for conn in list(self._open):
            if conn.is_idle() and conn.idle_since + idle_s <= now:
                conn.end()

    def cut(self, reason: str) -> None:
        """Close every connection, and say in the log what that cuts."""
        logger.warning(
            logs.Event("requests-cut", reason=reason, requests=self.requests)
        )
        for conn in list(self._open):
            conn.end()

    async def sweep(self) -> None:
        """Close connections that are idle for too long, for ever."""
        while True:
            await trio.sleep(min(1.0, self.limits.idle_timeout_s / 4))
            self.close_idle(self.limits.idle_timeout_s, trio.current_time())


def _caller_of(stream: trio.SocketStream) -> str:
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return "unknown"
