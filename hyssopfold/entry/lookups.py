"""Answers look-ups: which entries a caller should use."""

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
from hyssopfold.core.steering import routing
from hyssopfold.entry import configuration
from hyssopfold.entry import steering
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

# Greatest age of the index of entries in seconds. Answers may contain an entry
# that stops for that long after its announcement has arrived.
MAX_INDEX_AGE_S = 0.25
# Callers accept no more addresses than this.
MAX_ENTRIES = 64
_SHARES_KEY_PREFIX = "lookup "


class RegionEntries(NamedTuple):
    """Entries of the nearest region that has any.

    Attributes:
        entries: The entries, at most `MAX_ENTRIES`.
        ttl_s: Seconds for which a caller may cache them.
    """

    entries: list[messages.Instance]
    ttl_s: float


class Lookups:
    """Answer the look-ups of callers, which ask for entries to connect to.

    Args:
        region: Region of this entry.
        delays_ms: One-way delay to each other region in milliseconds.
        usual_ttl_s: Seconds for which callers may cache an answer when no
            change is in progress.
        config: Source of the tables in force.
        gossip_service: Returns the live instances.
        region_steering: Traffic shares in force, and home regions of clients.
    """

    def __init__(
        self,
        region: str,
        delays_ms: Mapping[str, float],
        usual_ttl_s: float,
        config: configuration.Configuration,
        gossip_service: gossip.Gossip,
        region_steering: steering.Steering,
    ) -> None:
        self._region = region
        self._delays_ms = delays_ms
        self._usual_ttl_s = usual_ttl_s
        self._config = config
        self._gossip = gossip_service
        self._steering = region_steering
        self._index = lookup.EntryIndex()
        self._updated_at = -MAX_INDEX_AGE_S
        self._regions_by_delay: tuple[str, ...] = ()

    def answer(self, scope: http.Scope) -> http.Answer:
        """Answer a look-up.

        The query parameters `client`, `host` and `path` are the caller's
        address and the host and path that it wants to reach; all of them are
        optional.

        Args:
            scope: The ASGI scope of the look-up.

        Returns:
            A JSON answer with the entries, best first, the seconds for which
            it may be cached, and the revision in force.
        """
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        client = query.get("client", [""])[0]
        host = query.get("host", [""])[0]
        # Look-ups may spell out what a request has to escape.
        path = routing.quote(query.get("path", [""])[0])
        self._update_index()
        snapshot = self._config.snapshot
        route = snapshot.router.match(host, path, None) if path else None
        home = self._steering.home_region_of(client)
        preferred: tuple[str, ...] = (home or self._region,)
        reason = "nearest"
        is_changing = self._index.is_changing
        if route is not None:
            is_changing = is_changing or self._steering.is_moving(route.pool)
            if home is not None:
                # Every entry knows the caller's home region and steers its
                # requests in the same way, so the answer may depend on the
                # traffic shares.
                key = _SHARES_KEY_PREFIX + client
                decision = self._steering.decide(route, key, client)
                preferred = (decision.regions[0].name, home)
                reason = decision.reason
        entries = self._index.rank(client, self._region_order(preferred))
        ttl_s = lookup.ttl_s(self._usual_ttl_s, is_changing)
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
        rows = [
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
                "entries": rows,
            }
        )

    def entries_near(self, region: str) -> RegionEntries:
        """Return the entries of a region, or of the nearest that has any.

        A caller spreads its connections over all of them, so that the loss of
        an entry costs it a single connection and not all.

        Args:
            region: The region to begin with.

        Returns:
            The entries, and the seconds for which they may be cached.
        """
        self._update_index()
        entries = self._index.in_first_region(self._region_order((region,)))
        ttl_s = lookup.ttl_s(self._usual_ttl_s, self._index.is_changing)
        return RegionEntries(entries[:MAX_ENTRIES], ttl_s)

    def _update_index(self) -> None:
        now = trio.current_time()
        if now - self._updated_at < MAX_INDEX_AGE_S:
            return
        self._updated_at = now
        instances = self._gossip.live_instances()
        self._index.update(instances)
        region_names = {instance.region for instance in instances} | {
            self._region
        }
        self._regions_by_delay = regions.by_delay(
            self._region, region_names, self._delays_ms
        )

    def _region_order(self, preferred: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(dict.fromkeys((*preferred, *self._regions_by_delay)))
