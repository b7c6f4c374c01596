"""Services that the attempts of all requests of an entry share."""

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
from hyssopfold.entry import answer_relay
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import pacing
from hyssopfold.entry import steering
from hyssopfold.entry import upstream


class Placement(Protocol):
    """Chooses servers for requests and counts their slots."""

    async def acquire(
        self, req: messages.Request, pool: tables.Pool
    ) -> messages.Grant | messages.Refused:
        """Return a slot for a request, or the reason for having none."""

    def release(
        self, grant: messages.Grant, result: messages.AttemptResult
    ) -> None:
        """Release a slot, with the result of the attempt that used it."""

    def in_flight(self) -> dict[str, int]:
        """Return the number of running requests by server id."""


class Quarantine(Protocol):
    """Quarantine of requests that crashed the servers that ran them."""

    def may_be_quarantined(self, head: bytes) -> bool:
        """Return whether requests with this head may be quarantined.

        Args:
            head: Part of the fingerprint that depends on the head only.
        """

    def is_blocked(self, fingerprint: bytes, attempt: str) -> bool:
        """Return whether an attempt must not be sent to any server now.

        Args:
            fingerprint: Fingerprint of the request.
            attempt: Id of the attempt.
        """

    def record_answer(self, fingerprint: bytes) -> None:
        """Record that a request was answered without a crash."""


class Limits(Protocol):
    """The methods of `limits.Limits` that attempts use."""

    def count_retry(self, organisation: str) -> None:
        """Count a request that is sent to a further server."""


class AttemptDependencies(NamedTuple):
    """The services that `carrier.AttemptExecutor` uses for each request.

    Attributes:
        region: Region of the entry.
        server_directory: Directory of the servers.
        steering: Chooses the regions for a request.
        placement: Chooses servers and counts their slots.
        pacer: Shares the capacity of the links between regions.
        upstream: Sends requests to the servers.
        quarantine: Quarantine of requests that crash servers.
        limits: Counts retries within the limits of organisations.
        meter: Metrics of this process.
        retry_budget: Returns the retry budget of a pool by its name.
        refuse: Answers a request with a refusal.
        evacuated: Returns the failure domains that are evacuated now, which may
            be more than in the snapshot that a request began with.
        buffer_space: Memory for long answers that are buffered.
        may_use_stale_connections: Whether a pooled connection may be dead
            although no reset arrived.
    """

    region: str
    server_directory: directory.Directory
    steering: steering.Steering
    placement: Placement
    pacer: pacing.Pacer
    upstream: upstream.Upstream
    quarantine: Quarantine
    limits: Limits
    meter: metrics.Metrics
    retry_budget: Callable[[str], budget.RetryBudget]
    refuse: Callable[[exchange_module.Exchange, http.Refusal], Awaitable[None]]
    evacuated: Callable[[], tuple[str, ...]]
    buffer_space: answer_relay.BufferSpace
    may_use_stale_connections: bool = True
