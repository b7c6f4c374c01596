"""Claims on idempotency keys, asked of the entries that hold them."""

from collections import defaultdict
from collections.abc import Callable
import logging
from typing import Any
from typing import NamedTuple

import trio

from hyssopfold import errors
from hyssopfold import http
from hyssopfold import logs
from hyssopfold.core.attempts import claims
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import fingerprints
from hyssopfold.transport import claims_wire
from hyssopfold.transport import rpc

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.5
SETTLE_TRIES = 3
MAX_KEY_BYTES = 255
_QUEUE = 1_000
_BATCH = 500


class _Settling(NamedTuple):
    holders: tuple[str, ...]
    settle: claims.Settle


class Held(NamedTuple):
    """A claim that was granted to a request."""

    claim_id: bytes
    holders: tuple[str, ...]


class Claims:
    """Ask for claims, settle them, and hold those of others.

    Args:
        myself: Gives this entry's own word.
        known: Directory of the entries.
        peers: Makes a client to another entry.
        table: The claims held here.
    """

    def __init__(
        self,
        myself: Callable[[], messages.Instance],
        known: directory.Directory,
        peers: rpc.Clients,
        table: claims.ClaimTable,
    ) -> None:
        self._myself = myself
        self._directory = known
        self._peers = peers
        self._table = table
        self._inbox, self._settlings = trio.open_memory_channel[_Settling](
            _QUEUE
        )

    async def claim(
        self, exchange: exchange_module.Exchange
    ) -> Held | http.Refusal:
        """Return the claim on a request's key, or why it may not run."""
        key = exchange.header(b"idempotency-key") or b""
        if not 0 < len(key) <= MAX_KEY_BYTES:
            remedy = f"send a key of 1 to {MAX_KEY_BYTES} bytes"
            return http.Refusal(400, "bad-key", "not-run", remedy, 0)
        ask = claims.Ask(
            _digest(exchange, key), _fingerprint(exchange), exchange.request_id
        )
        granted, verdict = await self._ask_all(ask)
        if verdict.kind is claims.VerdictKind.GRANTED:
            return Held(ask.claim_id, granted)
        self._release(ask, granted)
        logger.info(
            logs.Event(
                "claim-refused",
                request=exchange.request_id,
                reason=verdict.kind.value,
            )
        )
        return _refusal(verdict)

    async def _ask_all(
        self, ask: claims.Ask
    ) -> tuple[tuple[str, ...], claims.Verdict]:
        """Ask the first two holders; one that is lost may be replaced.

        With two lost there may be a claim that nobody reachable knows.
        """
        ranked = claims.rank_holders(ask.claim_id, self._names())
        first = ranked[: claims.HOLDERS]
        verdicts = await self._ask_each(first, ask)
        lost = [name for name in first if name not in verdicts]
        if len(lost) == len(first):
            return (), claims.Verdict(claims.VerdictKind.UNREACHABLE)
        if lost and len(ranked) > claims.HOLDERS:
            spare = ranked[claims.HOLDERS : claims.HOLDERS + 1]
            found = await self._ask_each(spare, ask)
            if not found:
                verdicts[spare[0]] = claims.Verdict(
                    claims.VerdictKind.UNREACHABLE
                )
            verdicts |= found
        granted = tuple(
            name
            for name, verdict in verdicts.items()
            if verdict.kind is claims.VerdictKind.GRANTED
        )
        return granted, claims.combine_verdicts(verdicts.values())

    async def _ask_each(
        self, names: list[str], ask: claims.Ask
    ) -> dict[str, claims.Verdict]:
        verdicts: dict[str, claims.Verdict] = {}

        async def one(name: str) -> None:
            try:
                verdicts[name] = await self._call(name, claims_wire.ASK, ask)
            except errors.PeerUnavailableError as exc:
                logger.warning(
                    logs.Event("claim-holder-lost", holder=name, error=exc)
                )

        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(one, name)
        return verdicts

    def settle(
        self, held: Held, request_id: str, outcome: str, status: int
    ) -> None:
        """Tell the holders what became of a request, without waiting.

        Args:
            held: Its claim.
            request_id: Its id.
            outcome: `answered`, `not-run`, or anything else for unknown.
            status: Status of the answer.
        """
        states = {
            "answered": claims.ClaimState.ANSWERED,
            "not-run": claims.ClaimState.NOT_RUN,
        }
        state = states.get(outcome, claims.ClaimState.UNKNOWN)
        settle = claims.Settle(held.claim_id, request_id, state, status)
        self._send(_Settling(held.holders, settle))

    def _release(self, ask: claims.Ask, granted: tuple[str, ...]) -> None:
        not_run = claims.ClaimState.NOT_RUN
        settle = claims.Settle(ask.claim_id, ask.request_id, not_run, 0)
        if granted:
            self._send(_Settling(granted, settle))

    def _send(self, settling: _Settling) -> None:
        try:
            self._inbox.send_nowait(settling)
        except trio.WouldBlock:
            # The claim stays `running` until it expires: a resend is refused
            # as unknown, which is safe.
            logger.warning(logs.Event("claim-not-settled", reason="queue full"))

    async def run(self) -> None:
        """Settle claims for as long as the entry runs."""
        async for settling in self._settlings:
            for name in settling.holders:
                await self._settle_at(name, settling.settle)

    async def _settle_at(self, name: str, settle: claims.Settle) -> None:
        for _ in range(SETTLE_TRIES):
            try:
                await self._call(name, claims_wire.SETTLE, settle)
                return
            except errors.PeerUnavailableError:
                await trio.sleep(CALL_TIMEOUT_S)
        logger.warning(logs.Event("claim-not-settled", holder=name))

    async def _call(self, name: str, method: rpc.Method, req: Any) -> Any:
        if name == self._myself().name:
            return await self.handlers()[method](req)
        entry = self._directory.instances.get(name)
        if entry is None:
            raise errors.PeerUnavailableError(name, "it is gone")
        client = self._peers.client_for(entry.rpc_address)
        return await client.call(method, req, CALL_TIMEOUT_S)

    def handlers(self) -> dict[rpc.Method, rpc.Handler]:
        """Return what other entries may call."""
        return {
            claims_wire.ASK: self._on_ask,
            claims_wire.SETTLE: self._on_settle,
            claims_wire.TAKE: self._on_take,
        }

    async def _on_ask(self, ask: claims.Ask) -> claims.Verdict:
        return self._table.ask(ask, trio.current_time())

    async def _on_settle(self, settle: claims.Settle) -> claims_wire.Done:
        self._table.settle(settle, trio.current_time())
        return claims_wire.Done()

    async def _on_take(
        self, handover: claims_wire.Handover
    ) -> claims_wire.Done:
        self._table.take_over(handover.claims, trio.current_time())
        return claims_wire.Done()

    async def hand_over(self) -> None:
        """Give the claims held here to the entries that rank next."""
        names = [name for name in self._names() if name != self._myself().name]
        for_holder: dict[str, list[claims.Claim]] = defaultdict(list)
        for claim in self._table.claims():
            for name in claims.rank_holders(claim.claim_id, names)[
                : claims.HOLDERS
            ]:
                for_holder[name].append(claim)
        for name, held in for_holder.items():
            for at in range(0, len(held), _BATCH):
                batch = claims_wire.Handover(tuple(held[at : at + _BATCH]))
                try:
                    await self._call(name, claims_wire.TAKE, batch)
                except errors.PeerUnavailableError as exc:
                    logger.warning(
                        logs.Event("claims-not-handed-over", to=name, error=exc)
                    )

    def _names(self) -> set[str]:
        """Return the entries of this region that may hold claims."""
        me = self._myself()
        others = {
            entry.name
            for entry in self._directory.ready_entries()
            if entry.region == me.region and entry.rpc_address
        }
        if me.state == "leaving" and others - {me.name}:
            return others - {me.name}
        return others | {me.name}


def _digest(exchange: exchange_module.Exchange, key: bytes) -> bytes:
    """Return the claim's id: two callers may use the same key."""
    parts = [exchange.host.encode("latin-1"), key]
    parts += [exchange.header(name) or b"" for name in fingerprints.CREDENTIALS]
    return fingerprints.digest(parts)


def _fingerprint(exchange: exchange_module.Exchange) -> bytes:
    length = exchange.header(b"content-length") or b""
    return fingerprints.digest(
        [exchange.method.encode(), exchange.target(), length]
    )


_WAIT_S = 1.0
_REFUSALS = {
    claims.VerdictKind.RUNNING: (
        409,
        "unknown",
        "wait: the first request with this key is still under way",
    ),
    claims.VerdictKind.ANSWERED: (
        409,
        "unknown",
        "look at the effect of the first request with this key, which was"
        " answered with status {status}",
    ),
    claims.VerdictKind.UNKNOWN: (
        409,
        "unknown",
        "look whether the first request with this key took effect",
    ),
    claims.VerdictKind.OTHER_REQUEST: (
        422,
        "not-run",
        "use a new key: this one belongs to a different request",
    ),
    claims.VerdictKind.FULL: (503, "not-run", "ask again later"),
    claims.VerdictKind.UNREACHABLE: (503, "not-run", "ask again later"),
}


def _refusal(verdict: claims.Verdict) -> http.Refusal:
    status, outcome, remedy = _REFUSALS[verdict.kind]
    error = f"key-{verdict.kind.value}"
    remedy = remedy.format(status=verdict.status)
    return http.Refusal(status, error, outcome, remedy, _WAIT_S)
