"""Whether a server crashed when the connection of a request to it broke.

A server that lost one answer accepts the next connection; one that crashed
refuses it until it has started again.
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

_QUEUE = 1_000


class Broken(NamedTuple):
    """A request whose connection broke when its server might run it."""

    server: messages.Server
    fingerprint: bytes
    request_id: str


class Reports(Protocol):
    """What keeps count of crashes."""

    def record_crash(self, server: messages.Server, fingerprint: bytes) -> None:
        """Take in that a server crashed under a request."""


class CrashChecks:
    """Ask servers for a new connection after one of them broke.

    Args:
        connected: Opens the connections.
        reports: Told of each crash, and of the request under it.
        meter: Counts the crashes.
    """

    def __init__(
        self,
        connected: connections.Pool,
        reports: Reports,
        meter: metrics.Metrics,
    ) -> None:
        self._connected = connected
        self._reports = reports
        self._meter = meter
        self._inbox, self._broken = trio.open_memory_channel[Broken](_QUEUE)

    def suspect(self, broken: Broken) -> None:
        """Check the server of a broken connection soon, without waiting."""
        try:
            self._inbox.send_nowait(broken)
        except trio.WouldBlock:
            logger.warning(
                logs.Event("crash-check-dropped", request=broken.request_id)
            )

    async def run(self) -> None:
        """Check servers, all at the same time."""
        async with trio.open_nursery() as nursery:
            async for broken in self._broken:
                nursery.start_soon(self._check, broken)

    async def _check(self, broken: Broken) -> None:
        server = broken.server
        if not await self._connected.refuses(server.address):
            return
        self._meter.crashes.inc({"pool": server.pool})
        logger.warning(
            logs.Event(
                "server-crashed",
                request=broken.request_id,
                fingerprint=broken.fingerprint.hex(),
                server=server.server_id,
                pool=server.pool,
            )
        )
        self._reports.record_crash(server, broken.fingerprint)
