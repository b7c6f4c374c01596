"""A starting entry asks running ones for the shares in force."""

import logging
from typing import Any

import httpcore
import msgspec
import trio

from hyssopfold import logs
from hyssopfold import state
from hyssopfold.core.membership import messages
from hyssopfold.core.steering import shares
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

PATH = "/hyssop/v1/status"
MAX_PEERS = 3
# Others announce themselves each period; an entry alone waits no longer.
DISCOVERY_TIMEOUT_S = gossip.PERIOD_S * 1.2
_ASK_TIMEOUT_S = 1.0
_PERIOD_S = 0.05


async def adopt_shares(
    spread: gossip.Gossip, held: shares.TrafficShares
) -> None:
    """Go on from the shares of a running entry, of this region at best.

    Without it an entry that restarts midway in a shift would go by the plan
    and its own clock, and one midway in a return from a loss, of which no
    plan tells, would send all of its callers back at once.
    """
    with trio.move_on_after(DISCOVERY_TIMEOUT_S):
        while not _running(spread):
            await trio.sleep(_PERIOD_S)
    for peer in _running(spread)[:MAX_PEERS]:
        if await _adopt_from(peer, held):
            return
    logger.info(logs.Event("shares-by-plan", reason="no running entry answers"))


def _running(spread: gossip.Gossip) -> list[messages.Instance]:
    me = spread.myself
    others = [
        one for one in spread.directory.ready_entries() if one.name != me.name
    ]
    return sorted(others, key=lambda one: one.region != me.region)


async def _adopt_from(
    peer: messages.Instance, held: shares.TrafficShares
) -> bool:
    try:
        with trio.fail_after(_ASK_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{peer.address}{PATH}"
                answer = await pool.request("GET", url)
        parts = parts_by_pool(msgspec.json.decode(answer.content)["pools"])
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        trio.TooSlowError,
        msgspec.MsgspecError,
        KeyError,
        TypeError,
    ) as exc:
        logger.info(
            logs.Event("shares-not-told", by=peer.name, error=repr(exc))
        )
        return False
    for name, in_force in parts.items():
        held.adopt(name, in_force)
    logger.info(logs.Event("shares-adopted", peer=peer.name))
    return True


def parts_by_pool(pools: Any) -> dict[str, tuple[state.Part, ...]]:
    """Return the shares in force by pool, as a status tells them.

    Raises:
        MsgspecError, KeyError, TypeError: when it tells none.
    """
    return {
        pool["pool"]: msgspec.convert(
            pool["shift"]["parts"], tuple[state.Part, ...]
        )
        for pool in pools
        if pool["shift"] is not None
    }
