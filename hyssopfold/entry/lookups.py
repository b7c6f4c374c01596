"""Answers to look-ups: which entries a caller should use."""

from collections.abc import Mapping
import logging
from typing import NamedTuple
import urllib.parse

import trio

from hyssopfold import http
from hyssopfold import logs
from hyssopfold.core.membership import messages
from hyssopfold.core.steering import lookup
from hyssopfold.core.steering import regions
from hyssopfold.entry import configuration
from hyssopfold.entry import steering
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

# How old the arrangement of the entries may be, in seconds; an entry that
# stops may be named for so long after its word has come.
MAX_INDEX_AGE_S = 0.25
# Callers take no more addresses than this.
MAX_ENTRIES = 64
_REQUEST_KEY = "lookup "


class RegionEntries(NamedTuple):
    """Entries of the nearest region that has any, and how long that holds."""

    entries: list[messages.Instance]
    ttl_s: float


class Lookups:
    """Name entries to callers.

    Args:
        region: Region of this entry.
        delays_ms: One-way delay to each other region.
        usual_ttl_s: Seconds that callers may cache an answer.
        config: Source of the tables in force.
        spread: Directory of the entries.
        steer: Shares in force and the regions of clients.
    """

    def __init__(
        self,
        region: str,
        delays_ms: Mapping[str, float],
        usual_ttl_s: float,
        config: configuration.Configuration,
        spread: gossip.Gossip,
        steer: steering.Steering,
    ) -> None:
        self._region = region
        self._delays_ms = delays_ms
        self._usual_ttl_s = usual_ttl_s
        self._config = config
        self._spread = spread
        self._steering = steer
        self._index = lookup.EntryIndex()
        self._arranged_at = -MAX_INDEX_AGE_S
        self._regions: tuple[str, ...] = ()

    def answer(self, scope: http.Scope) -> http.Answer:
        """Return the answer to a look-up."""
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        client = query.get("client", [""])[0]
        host = query.get("host", [""])[0]
        path = query.get("path", [""])[0]
        self._arrange()
        snapshot = self._config.snapshot
        route = snapshot.router.match(host, path, None) if path else None
        home = self._steering.home_region_of(client)
        order: tuple[str, ...] = (home or self._region,)
        reason = "nearest"
        changing = self._index.is_changing
        if route is not None:
            changing = changing or self._steering.is_moving(route.pool)
            if home is not None:
                # The caller's home is known wherever it asks, so an answer
                # may follow the shares: its requests are steered alike by
                # whichever entry gets them.
                key = _REQUEST_KEY + client
                decision = self._steering.decide(route, key, client)
                order = (decision.regions[0].name, home)
                reason = decision.reason
        entries = self._index.rank(client, self._preferred(order))
        ttl_s = lookup.ttl_s(self._usual_ttl_s, changing)
        if logger.isEnabledFor(logging.INFO):
            logger.info(
                logs.Event(
                    "lookup-decision",
                    client=client,
                    home=home or "",
                    reason=reason,
                    entries=",".join(entry.name for entry in entries),
                    ttl_s=ttl_s,
                    revision=snapshot.revision,
                )
            )
        named = [
            {
                "address": entry.address,
                "region": entry.region,
                "failure_domain": entry.failure_domain,
            }
            for entry in entries
        ]
        return http.json_answer(
            {
                "revision": snapshot.revision,
                "ttl_s": ttl_s,
                "entries": named,
            }
        )

    def entries_near(self, region: str) -> RegionEntries:
        """Return all entries of a region, or of the next that has any.

        A caller spreads its connections over all of them, so one that is lost
        costs it one connection and not its only entry.
        """
        self._arrange()
        entries = self._index.in_first_region(self._preferred((region,)))
        ttl_s = lookup.ttl_s(self._usual_ttl_s, self._index.is_changing)
        return RegionEntries(entries[:MAX_ENTRIES], ttl_s)

    def _arrange(self) -> None:
        now = trio.current_time()
        if now - self._arranged_at < MAX_INDEX_AGE_S:
            return
        self._arranged_at = now
        instances = self._spread.live_instances()
        self._index.update(instances)
        known = {one.region for one in instances} | {self._region}
        self._regions = regions.by_delay(self._region, known, self._delays_ms)

    def _preferred(self, first: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(dict.fromkeys((*first, *self._regions)))
