"""Paces the bodies of requests and answers on the links between regions."""

import logging

import trio

from hyssopfold import logs
from hyssopfold.core.membership import directory
from hyssopfold.core.steering import link_pacing
from hyssopfold.entry import configuration

logger = logging.getLogger(__name__)

_UPDATE_PERIOD_S = 0.5
_LOGGED_WAIT_S = 1.0


class Pacer:
    """Limit the rate of bytes between this region and each other region.

    Used for all requests of an entry that are served in another region.

    Args:
        region: Region of this entry.
        config: Source of the tables in force.
        member_directory: Directory of the entries.
    """

    def __init__(
        self,
        region: str,
        config: configuration.Configuration,
        member_directory: directory.Directory,
    ) -> None:
        self._region = region
        self._config = config
        self._directory = member_directory
        self._links: dict[str, link_pacing.LinkPacer] = {}
        self._updated_at = -_UPDATE_PERIOD_S

    async def throttle(self, region: str, size: int, bulk: bool) -> None:
        """Wait until `size` bytes may be sent to or received from a region.

        Args:
            region: The region at the other end of the link.
            size: Bytes about to be sent or read.
            bulk: Whether they belong to a large body.
        """
        now = trio.current_time()
        self._update_rates(now)
        link = self._links.get(region)
        if link is None:
            link = self._links[region] = link_pacing.LinkPacer(
                self._rate(region)
            )
        wait_s = link.reserve(size, bulk, now)
        if wait_s > _LOGGED_WAIT_S:
            logger.debug(logs.Event("link-wait", to=region, wait_s=wait_s))
        if wait_s > 0:
            await trio.sleep(wait_s)

    def _update_rates(self, now: float) -> None:
        """Update the rates by the tables and the entries that share a link."""
        if now - self._updated_at < _UPDATE_PERIOD_S:
            return
        self._updated_at = now
        for region, link in self._links.items():
            link.rate_bytes_s = self._rate(region)

    def _rate(self, region: str) -> float:
        end_regions = (self._region, region)
        entries = self._directory.ready_entries()
        entry_count = sum(entry.region in end_regions for entry in entries)
        # All pools share the link, so the smallest cap of any pool applies.
        caps = [
            pool.link_cap_mbit for pool in self._config.snapshot.tables.pools
        ]
        return link_pacing.bulk_rate_bytes_s(min(caps, default=1), entry_count)
