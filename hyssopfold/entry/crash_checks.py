"""Checks whether a server crashed when the connection of a request broke.

A server that lost a single answer accepts the next connection. A server that
crashed refuses connections until it has restarted.
"""

import logging
from typing import NamedTuple
from typing import Protocol

import trio

from hyssopfold import logs
from hyssopfold import metrics
from hyssopfold.core.membership import messages
from hyssopfold.entry import connections

logger = logging.getLogger(__name__)

_QUEUE_SIZE = 1_000


class BrokenAttempt(NamedTuple):
    """An attempt whose connection broke when the server might be running it."""

    server: messages.Server
    fingerprint: bytes
    request_id: str


class CrashRecorder(Protocol):
    """Records the crashes of servers, by the fingerprint of the request."""

    def record_crash(self, server: messages.Server, fingerprint: bytes) -> None:
        """Record that a server crashed while it ran a request."""


class CrashChecks:
    """Check servers by a new connection after a connection to them broke.

    Args:
        connection_pool: Opens the connections.
        recorder: Records each crash with the fingerprint of the request.
        meter: Counts the crashes.
    """

    def __init__(
        self,
        connection_pool: connections.Pool,
        recorder: CrashRecorder,
        meter: metrics.Metrics,
    ) -> None:
        self._connections = connection_pool
        self._recorder = recorder
        self._meter = meter
        self._attempt_sender, self._attempt_receiver = trio.open_memory_channel[
            BrokenAttempt
        ](_QUEUE_SIZE)

    def schedule_check(self, attempt: BrokenAttempt) -> None:
        """Schedule a check of an attempt's server, without waiting for it."""
        try:
            self._attempt_sender.send_nowait(attempt)
        except trio.WouldBlock:
            logger.warning(
                logs.Event("crash-check-dropped", request=attempt.request_id)
            )

    async def run(self) -> None:
        """Check servers concurrently until cancelled."""
        async with trio.open_nursery() as nursery:
            async for attempt in self._attempt_receiver:
                nursery.start_soon(self._check, attempt)

    async def _check(self, attempt: BrokenAttempt) -> None:
        server = attempt.server
        if not await self._connections.refuses(server.address):
            return
        self._meter.crashes.inc({"pool": server.pool})
        logger.warning(
            logs.Event(
                "server-crashed",
                request=attempt.request_id,
                fingerprint=attempt.fingerprint.hex(),
                server=server.server_id,
                pool=server.pool,
            )
        )
        self._recorder.record_crash(server, attempt.fingerprint)
