"""What carrying requests takes, the same for all of them."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from hyssopfold import http
from hyssopfold import metrics
from hyssopfold import tables
from hyssopfold.core.attempts import budget
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import directory
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import pacing
from hyssopfold.entry import steering
from hyssopfold.entry import upstream


class Placement(Protocol):
    """Slots of the servers."""

    async def acquire(
        self, req: messages.Request, pool: tables.Pool
    ) -> messages.Grant | messages.Refused:
        """Return a slot, or why there is none."""

    def release(
        self, grant: messages.Grant, done: messages.AttemptResult
    ) -> None:
        """Give a slot back, with how the attempt ended."""

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""


class Quarantine(Protocol):
    """Requests that are held back since servers crashed under them."""

    def may_be_quarantined(self, head: bytes) -> bool:
        """Return whether a request with this head may be held back."""

    def is_blocked(self, fingerprint: bytes, attempt: str) -> bool:
        """Return whether an attempt must not be sent to any server now."""

    def record_answer(self, fingerprint: bytes) -> None:
        """Take in that a request was answered."""


class Parts(NamedTuple):
    """What carrying a request takes, the same for all requests.

    `expects_silence` tells that kept connections may be dead without a sign.
    """

    region: str
    known: directory.Directory
    steering: steering.Steering
    placement: Placement
    pacer: pacing.Pacer
    upstream: upstream.Upstream
    quarantine: Quarantine
    meter: metrics.Metrics
    budget_of: Callable[[str], budget.RetryBudget]
    refuse: Callable[[exchange_module.Exchange, http.Refusal], Awaitable[None]]
    expects_silence: bool = True
