"""Adopts the traffic shares in force from a running entry."""

import logging

import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.core.membership import messages
from hyssopfold.core.steering import shares
from hyssopfold.transport import gossip
from hyssopfold.transport import rpc
from hyssopfold.transport import shares_wire

logger = logging.getLogger(__name__)

MAX_PEERS = 3
# Other entries announce themselves once a gossip period, so an entry that has
# received no announcement by then is the only one.
DISCOVERY_TIMEOUT_S = gossip.PERIOD_S * 1.2
_CALL_TIMEOUT_S = 1.0
_POLL_PERIOD_S = 0.05


class Adoption:
    """Adopts shares from running entries, and tells others its own.

    Args:
        gossip_service: Directory of the entries.
        clients: Clients of the other entries.
        traffic_shares: The shares of this entry.
    """

    def __init__(
        self,
        gossip_service: gossip.Gossip,
        clients: rpc.Clients,
        traffic_shares: shares.TrafficShares,
    ) -> None:
        self._gossip = gossip_service
        self._clients = clients
        self._shares = traffic_shares

    def handlers(self) -> dict[rpc.Method, rpc.Handler]:
        """Return the handlers of the calls of other entries, by method."""
        return {shares_wire.SHARES: self.tell}

    async def tell(
        self, req: shares_wire.SharesRequest
    ) -> shares_wire.SharesAnswer:
        """Return the shares in force at this entry."""
        return shares_wire.SharesAnswer(
            tuple(
                shares_wire.PoolShares(
                    report.pool, report.parts, report.ready + report.lost
                )
                for report in self._shares.reports()
            )
        )

    async def adopt(self) -> None:
        """Adopt the shares of a running entry, preferably one of this region.

        Otherwise an entry that restarts during a shift would depend on the plan
        and its own clock. The return of traffic to a region that was lost has
        no plan, so the entry would send all of its callers back at once.
        """
        discovery_deadline = trio.current_time() + DISCOVERY_TIMEOUT_S
        asked: set[str] = set()
        while len(asked) < MAX_PEERS:
            peers = [
                entry
                for entry in self._running_entries()
                if entry.name not in asked
            ]
            if peers:
                asked.add(peers[0].name)
                if await self._adopt_from(peers[0]):
                    return
            elif trio.current_time() < discovery_deadline:
                await trio.sleep(_POLL_PERIOD_S)
            else:
                break
        logger.info(
            logs.Event("shares-by-plan", reason="no running entry answers")
        )

    async def _adopt_from(self, peer: messages.Instance) -> bool:
        try:
            answer = await self._ask(peer)
        except errors.PeerUnavailableError as exc:
            # An earlier release doesn't serve the call.
            logger.info(logs.Event("shares-not-told", by=peer.name, error=exc))
            return False
        for pool in answer.pools:
            self._shares.adopt(pool.pool, pool.parts, pool.seen_regions)
        logger.info(
            logs.Event(
                "shares-adopted", peer=peer.name, pools=len(answer.pools)
            )
        )
        return True

    def _running_entries(self) -> list[messages.Instance]:
        me = self._gossip.myself
        others = [
            entry
            for entry in self._gossip.directory.ready_entries()
            if entry.name != me.name
        ]
        return sorted(others, key=lambda entry: entry.region != me.region)

    async def _ask(self, peer: messages.Instance) -> shares_wire.SharesAnswer:
        """Return a peer's shares.

        Raises:
            PeerUnavailableError: if it doesn't tell them.
        """
        if not peer.rpc_address:
            raise errors.PeerUnavailableError(peer.name, "serves no calls")
        client = self._clients.client_for(peer.rpc_address)
        req = shares_wire.SharesRequest(self._gossip.myself.name)
        answer: shares_wire.SharesAnswer = await client.call(
            shares_wire.SHARES, req, _CALL_TIMEOUT_S
        )
        return answer
