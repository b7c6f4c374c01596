"""Claims on idempotency keys: requests them from the entries that hold them.

Each entry is also a holder: it answers the requests of other entries for the
claims in its own table.
"""

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
SETTLE_ATTEMPTS = 3
MAX_KEY_BYTES = 255
_QUEUE_SIZE = 1_000
_BATCH_SIZE = 500


class _Settlement(NamedTuple):
    holders: tuple[str, ...]
    settle: claims.Settle


class GrantedClaim(NamedTuple):
    """A claim granted to a request, and the names of its holders."""

    claim_id: bytes
    holders: tuple[str, ...]


class Claims:
    """Request and settle claims at the holders, and hold claims of others.

    The proxy of an entry uses it for requests with an idempotency key.

    Args:
        own_record: Returns this entry's own record.
        member_directory: Directory of the entries.
        peers: Creates clients of other entries.
        table: The claims that this entry holds.
    """

    def __init__(
        self,
        own_record: Callable[[], messages.Instance],
        member_directory: directory.Directory,
        peers: rpc.Clients,
        table: claims.ClaimTable,
    ) -> None:
        self._own_record = own_record
        self._directory = member_directory
        self._peers = peers
        self._table = table
        self._settlement_sender, self._settlement_receiver = (
            trio.open_memory_channel[_Settlement](_QUEUE_SIZE)
        )

    async def claim(
        self, exchange: exchange_module.Exchange
    ) -> GrantedClaim | http.Refusal:
        """Request the claim on a request's idempotency key.

        Args:
            exchange: The request.

        Returns:
            The granted claim, or the refusal to answer if the request must not
            run.
        """
        key = exchange.header(b"idempotency-key") or b""
        if not 0 < len(key) <= MAX_KEY_BYTES:
            remedy = f"send a key of 1 to {MAX_KEY_BYTES} bytes"
            return http.Refusal(400, "bad-key", "not-run", remedy, 0)
        ask = claims.Ask(
            _claim_id(exchange, key),
            _fingerprint(exchange),
            exchange.request_id,
        )
        granted, verdict = await self._ask_all(ask)
        if verdict.kind is claims.VerdictKind.GRANTED:
            return GrantedClaim(ask.claim_id, granted)
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
        """Request a claim from its first two holders.

        If one of them cannot be reached, the entry that ranks next replaces
        it. If neither can be reached, the claim may be held by both without
        any other entry knowing of it, so it is not granted.

        Args:
            ask: The request for the claim.

        Returns:
            The names of the holders that granted it, and the verdict of all.
        """
        ranked = claims.rank_holders(ask.claim_id, self._holder_names())
        holders = ranked[: claims.HOLDERS]
        verdicts = await self._ask_each(holders, ask)
        unreachable = [name for name in holders if name not in verdicts]
        if len(unreachable) == len(holders):
            return (), claims.Verdict(claims.VerdictKind.UNREACHABLE)
        if unreachable and len(ranked) > claims.HOLDERS:
            replacement = ranked[claims.HOLDERS : claims.HOLDERS + 1]
            more_verdicts = await self._ask_each(replacement, ask)
            if not more_verdicts:
                verdicts[replacement[0]] = claims.Verdict(
                    claims.VerdictKind.UNREACHABLE
                )
            verdicts |= more_verdicts
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

        async def ask_holder(name: str) -> None:
            try:
                verdicts[name] = await self._call(name, claims_wire.ASK, ask)
            except errors.PeerUnavailableError as exc:
                logger.warning(
                    logs.Event("claim-holder-lost", holder=name, error=exc)
                )

        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(ask_holder, name)
        return verdicts

    def settle(
        self, granted: GrantedClaim, request_id: str, outcome: str, status: int
    ) -> None:
        """Report a request's outcome to its claim's holders, without waiting.

        Args:
            granted: The claim that the request was granted.
            request_id: The request's id.
            outcome: `answered` or `not-run`; any other value means unknown.
            status: HTTP status of the answer.
        """
        states = {
            "answered": claims.ClaimState.ANSWERED,
            "not-run": claims.ClaimState.NOT_RUN,
        }
        state = states.get(outcome, claims.ClaimState.UNKNOWN)
        settle = claims.Settle(granted.claim_id, request_id, state, status)
        self._send(_Settlement(granted.holders, settle))

    def _release(self, ask: claims.Ask, granted: tuple[str, ...]) -> None:
        not_run = claims.ClaimState.NOT_RUN
        settle = claims.Settle(ask.claim_id, ask.request_id, not_run, 0)
        if granted:
            self._send(_Settlement(granted, settle))

    def _send(self, settlement: _Settlement) -> None:
        try:
            self._settlement_sender.send_nowait(settlement)
        except trio.WouldBlock:
            # The claim stays `running` until it expires. Until then a resend
            # is refused with the outcome unknown, which is safe.
            logger.warning(logs.Event("claim-not-settled", reason="queue full"))

    async def run(self) -> None:
        """Send settlements to the holders until cancelled."""
        async for settlement in self._settlement_receiver:
            for name in settlement.holders:
                await self._settle_at(name, settlement.settle)

    async def _settle_at(self, name: str, settle: claims.Settle) -> None:
        for _ in range(SETTLE_ATTEMPTS):
            try:
                await self._call(name, claims_wire.SETTLE, settle)
                return
            except errors.PeerUnavailableError:
                await trio.sleep(CALL_TIMEOUT_S)
        logger.warning(logs.Event("claim-not-settled", holder=name))

    async def _call(self, name: str, method: rpc.Method, req: Any) -> Any:
        if name == self._own_record().name:
            return await self.handlers()[method](req)
        entry = self._directory.instances.get(name)
        if entry is None:
            raise errors.PeerUnavailableError(name, "it has left the directory")
        client = self._peers.client_for(entry.rpc_address)
        return await client.call(method, req, CALL_TIMEOUT_S)

    def handlers(self) -> dict[rpc.Method, rpc.Handler]:
        """Return the handlers of the calls of other entries, by method."""
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
        """Transfer the claims of this entry to the entries that rank next."""
        names = [
            name
            for name in self._holder_names()
            if name != self._own_record().name
        ]
        claims_by_holder: dict[str, list[claims.Claim]] = defaultdict(list)
        for claim in self._table.claims():
            for name in claims.rank_holders(claim.claim_id, names)[
                : claims.HOLDERS
            ]:
                claims_by_holder[name].append(claim)
        for name, handed_over in claims_by_holder.items():
            for start in range(0, len(handed_over), _BATCH_SIZE):
                batch = claims_wire.Handover(
                    tuple(handed_over[start : start + _BATCH_SIZE])
                )
                try:
                    await self._call(name, claims_wire.TAKE, batch)
                except errors.PeerUnavailableError as exc:
                    logger.warning(
                        logs.Event("claims-not-handed-over", to=name, error=exc)
                    )

    def _holder_names(self) -> set[str]:
        """Return the names of this region's entries that may hold claims."""
        me = self._own_record()
        others = {
            entry.name
            for entry in self._directory.ready_entries()
            if entry.region == me.region and entry.rpc_address
        }
        if me.state == "leaving" and others - {me.name}:
            return others - {me.name}
        return others | {me.name}


def _claim_id(exchange: exchange_module.Exchange, key: bytes) -> bytes:
    """Return the id of the claim on a key.

    It covers the host, the credentials and the organisation, because two
    callers may use the same key.
    """
    parts = [exchange.host.encode("latin-1"), key]
    parts += [
        exchange.header(name) or b"" for name in fingerprints.CREDENTIAL_HEADERS
    ]
    if exchange.organisation:
        parts.append(exchange.organisation.encode())
    return fingerprints.digest(parts)


def _fingerprint(exchange: exchange_module.Exchange) -> bytes:
    length = exchange.header(b"content-length") or b""
    return fingerprints.digest(
        [exchange.method.encode(), exchange.target(), length]
    )


_RETRY_AFTER_S = 1.0
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
    return http.Refusal(status, error, outcome, remedy, _RETRY_AFTER_S)
