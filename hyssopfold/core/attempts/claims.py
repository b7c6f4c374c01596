"""Claims on idempotency keys: a caller's resend does not run again.

Two entries of a region hold each claim, chosen by rendezvous hashing. A
request with a key runs only if every holder asked grants it; one holder that
is lost takes no claim with it that the other does not have too.
"""

from collections.abc import Iterable
import enum
import hashlib
from typing import NamedTuple

HOLDERS = 2
CLAIM_TTL_S = 900.0
MAX_CLAIMS = 100_000


class ClaimState(enum.Enum):
    """What is known of the request that holds a claim."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


class VerdictKind(enum.Enum):
    """What a request that asks for a claim learns."""

    GRANTED = "granted"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    OTHER_REQUEST = "other-request"
    FULL = "full"
    UNREACHABLE = "unreachable"


class Claim(NamedTuple):
    """A claim as it is held; `status` is that of the answer, if any."""

    claim_id: bytes
    fingerprint: bytes
    request_id: str
    state: ClaimState
    status: int
    expires: float


class Ask(NamedTuple):
    """Ask for the claim `claim_id` on behalf of a request."""

    claim_id: bytes
    fingerprint: bytes
    request_id: str


class Settle(NamedTuple):
    """Tell what became of the request that was granted a claim."""

    claim_id: bytes
    request_id: str
    state: ClaimState
    status: int


class Verdict(NamedTuple):
    """Whether a request may run; `status` is of the answer before."""

    kind: VerdictKind
    status: int = 0


class ClaimTable:
    """The claims that one entry holds.

    Args:
        ttl_s: Seconds that a claim is held after its last change.
        max_claims: Most claims held; no more are granted then.
    """

    def __init__(
        self, ttl_s: float = CLAIM_TTL_S, max_claims: int = MAX_CLAIMS
    ) -> None:
        self._ttl_s = ttl_s
        self._max_claims = max_claims
        self._claims: dict[bytes, Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def ask(self, ask: Ask, now: float) -> Verdict:
        """Grant a claim that nobody holds; else say what came of it."""
        self._expire(now)
        claim = self._claims.get(ask.claim_id)
        if claim is None:
            if len(self._claims) >= self._max_claims:
                return Verdict(VerdictKind.FULL)
            self._store(Claim(*ask, ClaimState.RUNNING, 0, now + self._ttl_s))
            return Verdict(VerdictKind.GRANTED)
        if claim.fingerprint != ask.fingerprint:
            return Verdict(VerdictKind.OTHER_REQUEST)
        if (
            claim.request_id == ask.request_id
            and claim.state is ClaimState.RUNNING
        ):
            # The same request, asked again after a lost answer.
            return Verdict(VerdictKind.GRANTED)
        return Verdict(VerdictKind(claim.state.value), claim.status)

    def settle(self, settle: Settle, now: float) -> None:
        """Take in what became of a request; `not-run` frees its claim."""
        claim = self._claims.get(settle.claim_id)
        if claim is None or claim.request_id != settle.request_id:
            return
        if settle.state is ClaimState.NOT_RUN:
            if claim.state is ClaimState.RUNNING:
                del self._claims[settle.claim_id]
            return
        expires = now + self._ttl_s
        self._store(
            claim._replace(
                state=settle.state, status=settle.status, expires=expires
            )
        )

    def take_over(self, claims: Iterable[Claim], now: float) -> None:
        """Take over what a leaving holder held."""
        for claim in claims:
            own = self._claims.get(claim.claim_id)
            if own is None or own.state is ClaimState.RUNNING:
                self._store(claim._replace(expires=now + self._ttl_s))

    def claims(self) -> list[Claim]:
        """Return all claims that are held."""
        return list(self._claims.values())

    def _store(self, claim: Claim) -> None:
        # The newest go last, so that the first ones expire first.
        self._claims.pop(claim.claim_id, None)
        self._claims[claim.claim_id] = claim

    def _expire(self, now: float) -> None:
        while self._claims:
            first = next(iter(self._claims.values()))
            if first.expires > now:
                return
            del self._claims[first.claim_id]


def rank_holders(claim_id: bytes, names: Iterable[str]) -> list[str]:
    """Return `names` by rendezvous hashing, the first holder first.

    A name that comes or goes moves only the claims that it ranks first for.
    """

    def score(name: str) -> bytes:
        return hashlib.blake2b(
            name.encode(), key=claim_id, digest_size=8
        ).digest()

    return sorted(names, key=score)


def combine_verdicts(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the one verdict of several holders: any refusal refuses."""
    refusals = [
        verdict
        for verdict in verdicts
        if verdict.kind is not VerdictKind.GRANTED
    ]
    return refusals[0] if refusals else Verdict(VerdictKind.GRANTED)
