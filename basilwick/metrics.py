"""Prometheus metrics of an instance.

Label values come from small sets, such as services and error kinds. Keys, shards and
callers are never labels, because each new value adds a series that is kept in memory
until the instance stops.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["UNKNOWN_SERVICE", "FleetMetrics", "Metrics"]

#: Label value for services that no record defines. Callers choose these names, so the
#: names themselves would add series without limit.
UNKNOWN_SERVICE = "unknown"

_LATENCY_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05,
    0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 120,
)  # fmt: skip
#: A report older than 0.8 s no longer counts for the number of requests sent at once.
_REPORT_AGE_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5, 20)
_LOAD_RATIO_BUCKETS = (1.1, 1.25, 1.5, 2, 3, 5, 10)


class Metrics:
    """Metrics of one instance, in a registry of their own.

    The global registry is not used, because several instances can run in one process.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        # CPU time and memory, of which control decisions may use only a share.
        ProcessCollector(registry=self.registry)
        # Caches labelled children: ``labels()`` costs more than counting itself.
        self._request_children: dict[
            tuple[str, str, str], tuple[Counter, Histogram]
        ] = {}
        self._define_request_metrics()
        self._define_server_metrics()
        self._define_control_metrics()
        self._define_platform_metrics()

    def _define_request_metrics(self) -> None:
        registry = self.registry
        self.requests = Counter(
            "basilwick_requests",
            "Requests answered to callers; result is ok or an error kind.",
            ("service", "operation", "result"),
            registry=registry,
        )
        self.request_seconds = Histogram(
            "basilwick_request_seconds",
            "Time from the arrival of a request to its whole answer.",
            ("service", "operation"),
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.forwards = Counter(
            "basilwick_forwards",
            "Requests forwarded to another instance.",
            ("reason",),
            registry=registry,
        )
        self.retries = Counter(
            "basilwick_retries",
            "Requests sent again; result is sent or budget_spent.",
            ("service", "result"),
            registry=registry,
        )
        self.hedges = Counter(
            "basilwick_hedges",
            "Lookups sent a second time; result is won, lost or budget_spent.",
            ("service", "result"),
            registry=registry,
        )
        self.silent_connections = Counter(
            "basilwick_silent_connections",
            "Connections replaced because they went silent.",
            ("service",),
            registry=registry,
        )
        self.ledger_entries = Gauge(
            "basilwick_ledger_entries",
            "At-most-once operations remembered.",
            registry=registry,
        )

    def _define_server_metrics(self) -> None:
        registry = self.registry
        # An instance is the gateway of few servers; ``remove_servers`` removes the
        # series of servers that it no longer serves.
        self.server_limit = Gauge(
            "basilwick_server_limit",
            "Requests allowed at once to a server.",
            ("server",),
            registry=registry,
        )
        self.server_in_flight = Gauge(
            "basilwick_server_in_flight",
            "Requests running at a server.",
            ("server",),
            registry=registry,
        )
        self.server_queue = Gauge(
            "basilwick_server_queue",
            "Requests waiting for a server.",
            ("server",),
            registry=registry,
        )

    def _define_control_metrics(self) -> None:
        registry = self.registry
        self.moves = Counter(
            "basilwick_moves",
            "Shards and hot keys given to another server by this instance.",
            ("service", "reason"),
            registry=registry,
        )
        self.unavailable_seconds = Histogram(
            "basilwick_unavailable_seconds",
            "Time from the declared loss of a server to the new grant of its shards.",
            ("service",),
            buckets=(0.25, 0.5, 0.75, 1, 1.25, 1.5, 1.75, 2, 3, 5, 10, 60),
            registry=registry,
        )
        self.blocks_permitted = Gauge(
            "basilwick_blocks_permitted",
            "Blocks for which this instance holds a permission to send.",
            registry=registry,
        )
        self.members = Gauge(
            "basilwick_members",
            "Live instances known, by data centre.",
            ("data_centre",),
            registry=registry,
        )
        self.revision = Gauge(
            "basilwick_configuration_revision",
            "Newest configuration revision applied.",
            registry=registry,
        )
        self.ready = Gauge(
            "basilwick_ready", "1 when the instance takes requests.", registry=registry
        )
        self.event_loop_lag_seconds = Gauge(
            "basilwick_event_loop_lag_seconds",
            "How late the last timer of the control decisions ran.",
            registry=registry,
        )

    def _define_platform_metrics(self) -> None:
        registry = self.registry
        self.platform_calls = Counter(
            "basilwick_platform_calls",
            "Calls to the platform; result is ok, conflict or failed.",
            ("call", "result"),
            registry=registry,
        )
        self.platform_age_seconds = Gauge(
            "basilwick_platform_age_seconds",
            "Time since the newest known contact with the platform.",
            registry=registry,
        )

    def observe_request(
        self, service: str | None, operation: str, result: str, seconds: float
    ) -> None:
        """Count an answered request; ``service`` is None if no record defines it."""
        labels = (service or UNKNOWN_SERVICE, operation, result)
        children = self._request_children.get(labels)
        if children is None:
            children = (
                self.requests.labels(*labels),
                self.request_seconds.labels(*labels[:2]),
            )
            self._request_children[labels] = children
        children[0].inc()
        children[1].observe(seconds)

    def remove_servers(self, names: Iterable[str]) -> None:
        """Remove the series of servers that this instance no longer serves."""
        for name in names:
            for gauge in (self.server_limit, self.server_in_flight, self.server_queue):
                gauge.remove(name)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)


class FleetMetrics:
    """Metrics of an instance on the platform, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._requests = Counter(
            "basilwick_requests",
            "Requests answered to callers by service and status.",
            ("service", "status"),
            registry=self.registry,
        )
        self._request_seconds = Histogram(
            "basilwick_request_seconds",
            "Time from the arrival of a request to its answer.",
            ("service",),
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.leading = Gauge(
            "basilwick_leading",
            "Whether this instance leads its site.",
            registry=self.registry,
        )
        self._evidence = Counter(
            "basilwick_grant_evidence",
            "Evidence that earlier grants have ended, which shortens waits.",
            ("kind",),
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "basilwick_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.changes_age_seconds = Gauge(
            "basilwick_changes_age_seconds",
            "Time since all changes of the platform's service were last known.",
            registry=self.registry,
        )
        self.unusable_resources = Gauge(
            "basilwick_unusable_resources",
            "Resources of the configuration in force that are not used as written.",
            registry=self.registry,
        )
        self.leaving_servers = Gauge(
            "basilwick_leaving_servers",
            "Server processes that stated in a response that they leave.",
            registry=self.registry,
        )
        self.paused_servers = Gauge(
            "basilwick_paused_servers",
            "Servers that want no requests of this instance for a while.",
            registry=self.registry,
        )
        self.caller_bytes = Gauge(
            "basilwick_caller_bytes",
            "Bytes that are held for callers: heads, bodies and unread answers.",
            registry=self.registry,
        )
        self.memory_refusals = Counter(
            "basilwick_memory_refusals",
            "Requests refused because too much was held for callers.",
            registry=self.registry,
        )
        self._server_rate_limits = Gauge(
            "basilwick_server_rate_limit",
            "Requests per second that a server states it takes from all instances.",
            ("server",),
            registry=self.registry,
        )
        self._rate_limited_requests = Counter(
            "basilwick_rate_limited_requests",
            "Requests sent by this instance to servers while a rate limit was known.",
            ("server",),
            registry=self.registry,
        )

        self._refused_requests = Counter(
            "basilwick_refused_requests",
            "Requests for which the dispatcher found no server, by reason.",
            ("service", "priority", "reason"),
            registry=self.registry,
        )
        self._discarded_answers = Counter(
            "basilwick_discarded_answers",
            "Answers of servers that no request accepted, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self._report_age_seconds = Histogram(
            "basilwick_load_report_age_seconds",
            "Age of the newest load that each server stated, sampled once a second.",
            ("service",),
            buckets=_REPORT_AGE_BUCKETS_S,
            registry=self.registry,
        )
        self._busiest_to_mean = Histogram(
            "basilwick_busiest_to_mean_load",
            "Stated load per slot of the busiest server divided by the mean, over ten"
            " seconds, sampled once a second.",
            ("service",),
            buckets=_LOAD_RATIO_BUCKETS,
            registry=self.registry,
        )

    def observe_load_spread(
        self, service: str, report_ages_s: Iterable[float], ratio: float | None
    ) -> None:
        """Record the ages of reports, and busiest to mean load if it is known."""
        ages = self._report_age_seconds.labels(service)
        for age_s in report_ages_s:
            ages.observe(age_s)
        if ratio is not None:
            self._busiest_to_mean.labels(service).observe(ratio)

    def count_evidence(self, kind: str) -> None:
        """Count a piece of evidence that earlier grants have ended."""
        self._evidence.labels(kind).inc()

    def count_refused_request(self, service: str, priority: int, reason: str) -> None:
        """Count a request for which the dispatcher found no server."""
        self._refused_requests.labels(service, str(priority), reason).inc()

    def count_discarded_answer(self, reason: str) -> None:
        """Count an answer of a server that no request accepted."""
        self._discarded_answers.labels(reason).inc()

    def observe_request(self, service: str, status: int, elapsed_s: float) -> None:
        """Count an answered request."""
        self._requests.labels(service, str(status)).inc()
        self._request_seconds.labels(service).observe(elapsed_s)

    def count_rate_limited_request(self, server: str) -> None:
        """Count a request that was sent to a server with a known rate limit."""
        self._rate_limited_requests.labels(server).inc()

    def set_rate_limits(self, rate_limits: dict[str, float]) -> None:
        """Replace the rate limits that servers have stated, in requests per second."""
        self._server_rate_limits.clear()
        for server, rate_limit in rate_limits.items():
            self._server_rate_limits.labels(server).set(rate_limit)

    def remove_server(self, server: str) -> None:
        """Remove the series of a server that left."""
        with suppress(KeyError):
            self._rate_limited_requests.remove(server)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)
