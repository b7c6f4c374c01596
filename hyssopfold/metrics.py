"""Metrics of a daemon, collected and rendered with aioprometheus."""

from collections.abc import Mapping

import aioprometheus.collectors
import aioprometheus.renderer

from hyssopfold import http

_LATENCY_BUCKETS_S = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
    30.0, 60.0,
]  # fmt: skip


# Organisations with metrics of their own; each has up to two time series.
MAX_ORGANISATIONS = 200


class Metrics:
    """All metrics of one process, in a registry of its own.

    Args:
        instance: Name of this process, put on each metric.
    """

    def __init__(self, instance: str) -> None:
        self._organisation_names: set[str] = set()
        self.registry = aioprometheus.collectors.Registry()
        labels = {"instance": instance}
        self.requests = aioprometheus.collectors.Histogram(
            "hyssop_request_seconds",
            "Time from a request's head to the end of its answer",
            const_labels=labels,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.attempts = aioprometheus.collectors.Histogram(
            "hyssop_attempt_seconds",
            "Time that one attempt at a backend server took, by its result",
            const_labels=labels,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.behind = aioprometheus.collectors.Histogram(
            "hyssop_behind_seconds",
            "Time for which requests stood behind others on their connection",
            const_labels=labels,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.unread = aioprometheus.collectors.Histogram(
            "hyssop_unread_seconds",
            "Time for which the last bytes of requests waited to be read, if it"
            " was 0.02 or more",
            const_labels=labels,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.loop_turns = aioprometheus.collectors.Histogram(
            "hyssop_loop_turn_seconds",
            "Time in which this process did not look for input, if it was 0.02"
            " or more",
            const_labels=labels,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.refusals = aioprometheus.collectors.Counter(
            "hyssop_refusals_total",
            "Requests refused by this entry, by error",
            const_labels=labels,
            registry=self.registry,
        )
        self.organisations = aioprometheus.collectors.Counter(
            "hyssop_organisation_requests_total",
            "Requests with a key, by organisation and whether within its limit",
            const_labels=labels,
            registry=self.registry,
        )
        self.limited_requests = aioprometheus.collectors.Counter(
            "hyssop_limited_server_requests_total",
            "Requests of this entry to servers that limit their requests a"
            " second, by pool",
            const_labels=labels,
            registry=self.registry,
        )
        self.crashes = aioprometheus.collectors.Counter(
            "hyssop_crashed_requests_total",
            "Requests of this entry under which a server crashed, by pool",
            const_labels=labels,
            registry=self.registry,
        )
        self.quarantined = aioprometheus.collectors.Gauge(
            "hyssop_quarantined_requests",
            "Requests held back since servers crashed under them",
            const_labels=labels,
            registry=self.registry,
        )
        self.log_lines_left_out = aioprometheus.collectors.Gauge(
            "hyssop_log_lines_left_out",
            "Log lines not written since the start, for want of room",
            const_labels=labels,
            registry=self.registry,
        )
        self.retries_left = aioprometheus.collectors.Gauge(
            "hyssop_retries_left",
            "Retries that this entry may make in a pool now",
            const_labels=labels,
            registry=self.registry,
        )
        self.revision = aioprometheus.collectors.Gauge(
            "hyssop_revision",
            "Revision of the tables in force",
            const_labels=labels,
            registry=self.registry,
        )
        self.revision_age = aioprometheus.collectors.Gauge(
            "hyssop_revision_age_seconds",
            "Time since control last confirmed the revision",
            const_labels=labels,
            registry=self.registry,
        )
        self.slots = aioprometheus.collectors.Gauge(
            "hyssop_pool_slots",
            "Slots of the ready servers of a pool",
            const_labels=labels,
            registry=self.registry,
        )
        self.cold_servers = aioprometheus.collectors.Gauge(
            "hyssop_pool_cold_servers",
            "Ready servers of a pool that this entry was told are cold",
            const_labels=labels,
            registry=self.registry,
        )
        self.in_flight = aioprometheus.collectors.Gauge(
            "hyssop_pool_in_flight",
            "Requests of this entry under way in a pool",
            const_labels=labels,
            registry=self.registry,
        )
        self.gossip_bytes = aioprometheus.collectors.Gauge(
            "hyssop_gossip_bytes",
            "Bytes of datagrams to other instances since the start, by purpose"
            " and distance",
            const_labels=labels,
            registry=self.registry,
        )
        self.poll_answers = aioprometheus.collectors.Gauge(
            "hyssop_poll_answers",
            "Answers to polls for newer revisions since the start, by content",
            const_labels=labels,
            registry=self.registry,
        )
        self.poll_answer_bytes = aioprometheus.collectors.Gauge(
            "hyssop_poll_answer_bytes",
            "Bytes of the updates in these answers, by content",
            const_labels=labels,
            registry=self.registry,
        )
        self.lease_age = aioprometheus.collectors.Gauge(
            "hyssop_lease_age_seconds",
            "Time since the last word of a server or instance",
            const_labels=labels,
            registry=self.registry,
        )

    def count_organisation(self, name: str, within_limit: bool) -> None:
        """Count a request of an organisation.

        Beyond `MAX_ORGANISATIONS` names, requests are counted together.
        """
        if len(self._organisation_names) < MAX_ORGANISATIONS:
            self._organisation_names.add(name)
        label = name if name in self._organisation_names else "others"
        result = "admitted" if within_limit else "over-limit"
        self.organisations.inc({"organisation": label, "result": result})

    def set_gossip(self, sent: Mapping[tuple[str, str], int]) -> None:
        """Set the bytes of datagrams sent.

        Args:
            sent: Bytes since the start, by purpose and distance.
        """
        for (purpose, distance), count in sent.items():
            labels = {"purpose": purpose, "distance": distance}
            self.gossip_bytes.set(labels, count)

    def set_poll_answers(
        self, answers: Mapping[str, int], answered_bytes: Mapping[str, int]
    ) -> None:
        """Set the answers to polls.

        Args:
            answers: Number of answers since the start, by content.
            answered_bytes: Bytes of their updates, by content.
        """
        for content, count in answers.items():
            self.poll_answers.set({"content": content}, count)
        for content, count in answered_bytes.items():
            self.poll_answer_bytes.set({"content": content}, count)

    def render(self) -> http.Answer:
        """Return the metrics in the text format of Prometheus."""
        content, headers = aioprometheus.renderer.render(self.registry, [])
        content_type = headers["Content-Type"].encode()
        return http.Answer(200, content, content_type)
