"""RPC methods by which entries store idempotency-key claims for each other."""

from typing import NamedTuple

from hyssopfold.core.attempts import claims
from hyssopfold.transport import rpc


class Handover(NamedTuple):
    """Request: the claims of an entry that is leaving."""

    claims: tuple[claims.Claim, ...]


class Done(NamedTuple):
    """Answer: the request was processed."""

    ok: bool = True


ASK = rpc.Method("AskClaim", claims.Ask, claims.Verdict)
SETTLE = rpc.Method("SettleClaim", claims.Settle, Done)
TAKE = rpc.Method("TakeClaims", Handover, Done)
