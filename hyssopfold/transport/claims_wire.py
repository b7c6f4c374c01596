"""Messages by which entries hold each other's claims, as they travel."""

from typing import NamedTuple

from hyssopfold.core.attempts import claims
from hyssopfold.transport import rpc


class Handover(NamedTuple):
    """The claims of an entry that leaves."""

    claims: tuple[claims.Claim, ...]


class Done(NamedTuple):
    """Nothing but that it was taken in."""

    ok: bool = True


ASK = rpc.Method("AskClaim", claims.Ask, claims.Verdict)
SETTLE = rpc.Method("SettleClaim", claims.Settle, Done)
TAKE = rpc.Method("TakeClaims", Handover, Done)
