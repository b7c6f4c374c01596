"""Adopts the traffic shares in force from a running entry."""

import logging
from typing import Any
from typing import NamedTuple

import msgspec
import trio

from hyssopfold import logs
from hyssopfold import state
from hyssopfold.core.membership import messages
from hyssopfold.core.steering import shares
from hyssopfold.entry import connections
from hyssopfold.entry import http1
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

STATUS_PATH = "/hyssop/v1/status"
MAX_PEERS = 3
# Other entries announce themselves once a gossip period, so an entry that has
# received no announcement by then is the only one.
DISCOVERY_TIMEOUT_S = gossip.PERIOD_S * 1.2
_REQUEST_TIMEOUT_S = 1.0
_POLL_PERIOD_S = 0.05


async def adopt_shares(
    gossip_service: gossip.Gossip, traffic_shares: shares.TrafficShares
) -> None:
    """Adopt the shares of a running entry, preferably one of this region.

    Otherwise an entry that restarts during a shift would depend on the plan
    and its own clock. The return of traffic to a region that was lost has no
    plan, so the entry would send all of its callers back at once.

    Args:
        gossip_service: Directory of the entries.
        traffic_shares: The shares of this entry, which are replaced.
    """
    with trio.move_on_after(DISCOVERY_TIMEOUT_S):
        while not _running_entries(gossip_service):
            await trio.sleep(_POLL_PERIOD_S)
    for peer in _running_entries(gossip_service)[:MAX_PEERS]:
        if await _adopt_from(peer, traffic_shares):
            return
    logger.info(logs.Event("shares-by-plan", reason="no running entry answers"))


def _running_entries(gossip_service: gossip.Gossip) -> list[messages.Instance]:
    me = gossip_service.myself
    others = [
        entry
        for entry in gossip_service.directory.ready_entries()
        if entry.name != me.name
    ]
    return sorted(others, key=lambda entry: entry.region != me.region)


async def _adopt_from(
    peer: messages.Instance, traffic_shares: shares.TrafficShares
) -> bool:
    try:
        with trio.fail_after(_REQUEST_TIMEOUT_S):
            body = await _read_status(peer.address)
        reports = reports_by_pool(msgspec.json.decode(body)["pools"])
    except (
        connections.NotOpenedError,
        http1.LostError,
        trio.TooSlowError,
        msgspec.MsgspecError,
        KeyError,
        TypeError,
    ) as exc:
        logger.info(
            logs.Event("shares-not-told", by=peer.name, error=repr(exc))
        )
        return False
    for name, report in reports.items():
        traffic_shares.adopt(name, report.parts, report.seen_regions)
    logger.info(logs.Event("shares-adopted", peer=peer.name))
    return True


async def _read_status(address: str) -> bytes:
    sock = await connections.connect(address, _REQUEST_TIMEOUT_S)
    conn = http1.Connection(sock)
    headers = [(b"host", address.encode())]
    request = http1.Request("GET", STATUS_PATH.encode(), headers, None)
    try:
        answer = await conn.send(request, lambda: None)
        return b"".join([part async for part in answer.body])
    finally:
        conn.close()


class AdoptedShares(NamedTuple):
    """A pool's shares at a running entry.

    `seen_regions` are the regions in which it has seen ready servers.
    """

    parts: tuple[state.Part, ...]
    seen_regions: tuple[str, ...]


def reports_by_pool(pools: Any) -> dict[str, AdoptedShares]:
    """Return the shares in force by pool, from a status document.

    Args:
        pools: The rows of the pools in the status of an entry.

    Raises:
        MsgspecError, KeyError, TypeError: if the rows have another format.
    """
    return {
        pool["pool"]: _adopted_shares(pool["shift"])
        for pool in pools
        if pool["shift"] is not None
    }


def _adopted_shares(shift: dict[str, Any]) -> AdoptedShares:
    seen_regions = [*shift.get("ready", ()), *shift.get("lost", ())]
    return AdoptedShares(
        msgspec.convert(shift["parts"], tuple[state.Part, ...]),
        msgspec.convert(seen_regions, tuple[str, ...]),
    )
