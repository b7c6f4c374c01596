"""Room on the links between regions, for bodies of requests and answers."""

import logging

import trio

from hyssopfold import logs
from hyssopfold.core.membership import directory
from hyssopfold.core.steering import link_pacing
from hyssopfold.entry import configuration

logger = logging.getLogger(__name__)

_COUNT_S = 0.5
_LONG_WAIT_S = 1.0


class Pacer:
    """Let bytes pass between this region and others.

    Args:
        region: Region of this entry.
        config: Source of the tables in force.
        known: Directory of the entries.
    """

    def __init__(
        self,
        region: str,
        config: configuration.Configuration,
        known: directory.Directory,
    ) -> None:
        self._region = region
        self._config = config
        self._directory = known
        self._links: dict[str, link_pacing.LinkPacer] = {}
        self._counted_at = -_COUNT_S

    async def throttle(self, region: str, size: int, bulk: bool) -> None:
        """Wait until `size` bytes may go to or come from `region`.

        Args:
            region: The other end's region.
            size: Bytes about to be sent or read.
            bulk: Whether they belong to a large body.
        """
        now = trio.current_time()
        self._count(now)
        link = self._links.get(region)
        if link is None:
            link = self._links[region] = link_pacing.LinkPacer(
                self._rate(region)
            )
        wait_s = link.reserve(size, bulk, now)
        if wait_s > _LONG_WAIT_S:
            logger.debug(logs.Event("link-wait", to=region, wait_s=wait_s))
        if wait_s > 0:
            await trio.sleep(wait_s)

    def _count(self, now: float) -> None:
        """Follow the tables and the entries that share the links."""
        if now - self._counted_at < _COUNT_S:
            return
        self._counted_at = now
        for region, link in self._links.items():
            link.rate_bytes_s = self._rate(region)

    def _rate(self, region: str) -> float:
        ends = (self._region, region)
        entries = self._directory.ready_entries()
        sharing = sum(entry.region in ends for entry in entries)
        # The link is one for all pools: the least cap that any states holds.
        caps = [
            pool.link_cap_mbit for pool in self._config.snapshot.tables.pools
        ]
        return link_pacing.bulk_rate_bytes_s(min(caps, default=1), sharing)
