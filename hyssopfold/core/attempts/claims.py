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
KEEP_S = 900.0
MAX_CLAIMS = 100_000


class State(enum.Enum):
    """What is known of the request that holds a claim."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


class Kind(enum.Enum):
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
    state: State
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
    state: State
    status: int


class Verdict(NamedTuple):
    """Whether a request may run; `status` is of the answer before."""

    kind: Kind
    status: int = 0


class Table:
    """The claims that one entry holds.

    Args:
        keep_s: Seconds that a claim is held after its last change.
        max_claims: Most claims held; no more are granted then.
    """

    def __init__(
        self, keep_s: float = KEEP_S, max_claims: int = MAX_CLAIMS
    ) -> None:
        self._keep_s = keep_s
        self._max_claims = max_claims
        self._held: dict[bytes, Claim] = {}

    def __len__(self) -> int:
        return len(self._held)

    def ask(self, ask: Ask, now: float) -> Verdict:
        """Grant a claim that nobody holds; else say what came of it."""
        self._expire(now)
        held = self._held.get(ask.claim_id)
        if held is None:
            if len(self._held) >= self._max_claims:
                return Verdict(Kind.FULL)
            self._keep(Claim(*ask, State.RUNNING, 0, now + self._keep_s))
            return Verdict(Kind.GRANTED)
        if held.fingerprint != ask.fingerprint:
            return Verdict(Kind.OTHER_REQUEST)
        if held.request_id == ask.request_id and held.state is State.RUNNING:
            # The same request, asked again after a lost answer.
            return Verdict(Kind.GRANTED)
        return Verdict(Kind(held.state.value), held.status)

    def settle(self, settle: Settle, now: float) -> None:
        """Take in what became of a request; `not-run` frees its claim."""
        held = self._held.get(settle.claim_id)
        if held is None or held.request_id != settle.request_id:
            return
        if settle.state is State.NOT_RUN:
            if held.state is State.RUNNING:
                del self._held[settle.claim_id]
            return
        expires = now + self._keep_s
        self._keep(
            held._replace(
                state=settle.state, status=settle.status, expires=expires
            )
        )

    def take(self, claims: Iterable[Claim], now: float) -> None:
        """Take over what a leaving holder held."""
        for claim in claims:
            held = self._held.get(claim.claim_id)
            if held is None or held.state is State.RUNNING:
                self._keep(claim._replace(expires=now + self._keep_s))

    def claims(self) -> list[Claim]:
        """Return all claims that are held."""
        return list(self._held.values())

    def _keep(self, claim: Claim) -> None:
        # The newest go last, so that the first ones expire first.
        self._held.pop(claim.claim_id, None)
        self._held[claim.claim_id] = claim

    def _expire(self, now: float) -> None:
        while self._held:
            first = next(iter(self._held.values()))
            if first.expires > now:
                return
            del self._held[first.claim_id]


def rank(claim_id: bytes, names: Iterable[str]) -> list[str]:
    """Return `names` by rendezvous hashing, the first holder first.

    A name that comes or goes moves only the claims that it ranks first for.
    """

    def score(name: str) -> bytes:
        return hashlib.blake2b(
            name.encode(), key=claim_id, digest_size=8
        ).digest()

    return sorted(names, key=score)


def combine(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the one verdict of several holders: any refusal refuses."""
    refusals = [one for one in verdicts if one.kind is not Kind.GRANTED]
    return refusals[0] if refusals else Verdict(Kind.GRANTED)
