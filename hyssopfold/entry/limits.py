"""Keeps the limits of organisations together with the other entries."""

import logging
import time
from typing import Any

import trio

from hyssopfold import http
from hyssopfold import logs
from hyssopfold.core.limits import choice
from hyssopfold.core.limits import coordinator
from hyssopfold.core.limits import limiter
from hyssopfold.core.limits import messages
from hyssopfold.entry import configuration
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

# Share of the slack that entries admit on purpose. The rest covers what is sent
# before they learn that a limit is near.
USED_SLACK_SHARE = 0.5
# Stands for an infinite age in JSON.
NEVER_S = 1e9


class Limits:
    """Admits requests within the limits, and reports to the coordinator.

    Args:
        config: Source of the tables in force.
        gossip_service: Sends the messages and lists the other entries.
        slack: Requests that each organisation may send beyond its limit in a
            window, from all entries together.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        gossip_service: gossip.Gossip,
        slack: float = 0.0,
    ) -> None:
        self._used_slack = USED_SLACK_SHARE * slack
        self._config = config
        self._gossip = gossip_service
        self._limiter = limiter.Limiter(_now())
        self._coordinator = coordinator.Coordinator()
        self._choice = choice.CoordinatorChoice()
        self._coordinator_name = ""
        self._revision = 0
        self._reports = gossip_service.subscribe(messages.UsageReport)
        self._updates = gossip_service.subscribe(messages.AllowanceUpdate)

    def admit(self, organisation: str, request_id: str) -> http.Refusal | None:
        """Count a request; return its refusal if it exceeds the limit.

        Args:
            organisation: Name of the organisation, empty if it has none.
            request_id: ID of the request.
        """
        if not organisation:
            return None
        self._update_limits()
        key = messages.organisation_key(organisation)
        wait_s = self._limiter.admit(key, request_id, _now())
        if not wait_s:
            return None
        remedy = f"ask again later: organisation {organisation} is at its limit"
        return http.Refusal(429, "over-limit", "not-run", remedy, wait_s)

    def count_retry(self, organisation: str) -> None:
        """Count a request that is sent to a further server."""
        if organisation:
            key = messages.organisation_key(organisation)
            self._limiter.count_retry(key, _now())

    def give_back(self, organisation: str) -> None:
        """Return what an admitted request took that did not run."""
        if organisation:
            self._limiter.give_back(messages.organisation_key(organisation))

    def _update_limits(self) -> None:
        snapshot = self._config.snapshot
        if snapshot.revision == self._revision:
            return
        self._revision = snapshot.revision
        limits = {
            messages.organisation_key(row.name): messages.Limit(
                row.rate, row.burst + self._used_slack
            )
            for row in snapshot.tables.organisations
            if row.rate
        }
        self._limiter.set_limits(limits)
        self._coordinator.set_limits(limits)

    def status(self) -> dict[str, Any]:
        """Return the use of the limits at this entry, for the status."""
        in_use = self._limiter.in_use(_now())
        return {
            "coordinator": self._coordinator_name,
            "answer_age_s": min(NEVER_S, self._limiter.answer_age_s(_now())),
            "organisations": [
                {
                    "name": row.name,
                    "rate": row.rate,
                    "burst": row.burst,
                    "in_window": in_use.get(
                        messages.organisation_key(row.name), 0
                    ),
                }
                for row in self._config.snapshot.tables.organisations
                if row.rate
            ],
        }

    async def run(self) -> None:
        """Report usage and answer reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report)
            nursery.start_soon(self._answer)
            nursery.start_soon(self._receive_updates)

    async def _report(self) -> None:
        while True:
            self._update_limits()
            if not self._limiter.has_limits:
                await self._config.wait_for_revision(float("inf"))
                continue
            self._send_report()
            await trio.sleep(limiter.PERIOD_S)

    def _send_report(self) -> None:
        entries = self._gossip.directory.ready_entries()
        self._limiter.set_entries(len(entries), _now())
        report = self._limiter.report(_now())
        name = self._choice.next(self._candidates())
        if name != self._coordinator_name:
            self._coordinator_name = name
            logger.info(
                logs.Event("limit-coordinator-chosen", coordinator=name)
            )
        me = self._gossip.myself.name
        if name != me:
            self._gossip.post(name, report)
        elif (update := self._account(me, report)) is not None:
            self._apply(update)

    def _candidates(self) -> list[str]:
        me = self._gossip.myself
        names = [
            instance.name
            for instance in self._gossip.live_instances()
            if instance.role == "entry"
            and instance.state == "ready"
            and instance.name != me.name
        ]
        if me.state != "leaving" or not names:
            names.append(me.name)
        return names

    def _apply(self, update: messages.AllowanceUpdate) -> None:
        self._choice.record_answer()
        self._limiter.apply(update, _now())

    def _account(
        self, sender: str, report: messages.UsageReport
    ) -> messages.AllowanceUpdate | None:
        self._update_limits()
        entries = self._gossip.directory.ready_entries()
        names = [entry.name for entry in entries]
        return self._coordinator.receive(sender, report, names, _now())

    async def _answer(self) -> None:
        async for received in self._reports:
            if isinstance(received.message, messages.UsageReport):
                update = self._account(received.sender, received.message)
                if update is not None:
                    self._gossip.post(received.sender, update)

    async def _receive_updates(self) -> None:
        async for received in self._updates:
            if isinstance(received.message, messages.AllowanceUpdate):
                self._apply(received.message)


def _now() -> float:
    # The monotonic clock stops while the machine is suspended: an answer from
    # before would then count as recent.
    return time.clock_gettime(time.CLOCK_BOOTTIME)
