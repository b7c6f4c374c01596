"""Claims on idempotency keys: a request sent again by its caller runs once.

Two entries of a region hold each claim, chosen by rendezvous hashing. A
request with a key runs only if all of its holders that were asked grant the
claim. If one holder is lost, the other one still has the claim.
"""

from collections.abc import Iterable
import enum
import hashlib
from typing import NamedTuple

# Entries that hold each claim.
HOLDERS = 2
# Seconds for which a claim is held after its last change.
CLAIM_TTL_S = 900.0
MAX_CLAIMS = 100_000


class ClaimState(enum.Enum):
    """State of the request that was granted a claim."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


class VerdictKind(enum.Enum):
    """Answer to a request for a claim."""

    GRANTED = "granted"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    OTHER_REQUEST = "other-request"
    FULL = "full"
    UNREACHABLE = "unreachable"


class Claim(NamedTuple):
    """A claim held by an entry.

    Attributes:
        claim_id: Identifies the claim.
        fingerprint: Fingerprint of the request, to recognise another request
            with the same key.
        request_id: The request that was granted the claim.
        state: State of that request.
        status: Status of its answer, 0 for none.
        expires: Monotonic time in seconds at which the claim expires.
    """

    claim_id: bytes
    fingerprint: bytes
    request_id: str
    state: ClaimState
    status: int
    expires: float


class Ask(NamedTuple):
    """Message: ask a holder for the claim `claim_id` on behalf of a request."""

    claim_id: bytes
    fingerprint: bytes
    request_id: str


class Settle(NamedTuple):
    """Message: report the outcome of the request that was granted a claim."""

    claim_id: bytes
    request_id: str
    state: ClaimState
    status: int


class Verdict(NamedTuple):
    """Whether a request may run; `status` is that of an earlier answer."""

    kind: VerdictKind
    status: int = 0


class ClaimTable:
    """The claims that one entry holds.

    Args:
        ttl_s: Seconds for which a claim is held after its last change.
        max_claims: Greatest number of claims; further ones are not granted.
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
        """Grant a free claim, or return the state of its request."""
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
            # The same request asks again since the first verdict was lost.
            return Verdict(VerdictKind.GRANTED)
        return Verdict(VerdictKind(claim.state.value), claim.status)

    def settle(self, settle: Settle, now: float) -> None:
        """Record the outcome of a request; `not-run` frees its claim."""
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
        """Add the claims of a holder that leaves, except those settled here."""
        for claim in claims:
            own = self._claims.get(claim.claim_id)
            if own is None or own.state is ClaimState.RUNNING:
                self._store(claim._replace(expires=now + self._ttl_s))

    def claims(self) -> list[Claim]:
        """Return all claims."""
        return list(self._claims.values())

    def _store(self, claim: Claim) -> None:
        # Insert at the end: the claims are ordered by their expiry.
        self._claims.pop(claim.claim_id, None)
        self._claims[claim.claim_id] = claim

    def _expire(self, now: float) -> None:
        while self._claims:
            oldest = next(iter(self._claims.values()))
            if oldest.expires > now:
                return
            del self._claims[oldest.claim_id]


def rank_holders(claim_id: bytes, names: Iterable[str]) -> list[str]:
    """Return entries ranked for a claim by rendezvous hashing.

    An entry that joins or leaves moves only the claims for which it ranks
    first.

    Args:
        claim_id: The claim.
        names: Names of the entries.

    Returns:
        The names, the first holder first.
    """

    def score(name: str) -> bytes:
        return hashlib.blake2b(
            name.encode(), key=claim_id, digest_size=8
        ).digest()

    return sorted(names, key=score)


def combine_verdicts(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the first refusal of several holders, else a grant."""
    refusals = [
        verdict
        for verdict in verdicts
        if verdict.kind is not VerdictKind.GRANTED
    ]
    return refusals[0] if refusals else Verdict(VerdictKind.GRANTED)
