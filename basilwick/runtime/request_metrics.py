"""Prometheus metrics of the request path; labels never name a key or shard."""

from __future__ import annotations

from prometheus_client import REGISTRY, CollectorRegistry, Counter, Gauge, Histogram

__all__ = ["RequestMetrics"]

_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.015, 0.03, 0.06, 0.12, 0.25, 0.5, 1, 2, 5)


class RequestMetrics:
    """Counts requests by bounded labels.

    Parameters
    ----------
    registry : CollectorRegistry, optional
        Where the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry = REGISTRY):
        self._requests = Counter(
            "basilwick_requests",
            "Requests of callers by service and how they ended",
            ("service", "kind"),
            registry=registry,
        )
        self._sends = Counter(
            "basilwick_sends",
            "Extra sends by service: retry, hedge, next_gateway",
            ("service", "kind"),
            registry=registry,
        )
        self._latency = Histogram(
            "basilwick_server_seconds",
            "Time from the send to the end of the answer's head",
            ("service", "server"),
            buckets=_BUCKETS,
            registry=registry,
        )
        self._limit = Gauge(
            "basilwick_server_limit",
            "Concurrency limit of a server at its gateway",
            ("service", "server"),
            registry=registry,
        )
        self._queued = Gauge(
            "basilwick_server_queued",
            "Requests that wait for a server at its gateway",
            ("service", "server"),
            registry=registry,
        )
        # labels() builds and looks up a tuple under a lock at each call.
        self._children: dict[tuple[str, str], Counter] = {}
        self._latency_children: dict[str, Histogram] = {}

    def count_request(self, service: str, kind: str) -> None:
        """Count a caller's request; kind is "answered" or the kind of refusal."""
        child = self._children.get((service, kind))
        if child is None:
            child = self._requests.labels(service, kind)
            self._children[service, kind] = child
        child.inc()

    def count_send(self, service: str, kind: str) -> None:
        """Count an extra send."""
        self._sends.labels(service, kind).inc()

    def observe_latency(self, service: str, server: str, latency_s: float) -> None:
        """Record the latency of a server."""
        child = self._latency_children.get(server)
        if child is None:
            child = self._latency.labels(service, server)
            self._latency_children[server] = child
        child.observe(latency_s)

    def set_limits(self, service: str, server: str, limit: float, queued: int) -> None:
        """Record limit and queue length of a server."""
        self._limit.labels(service, server).set(limit)
        self._queued.labels(service, server).set(queued)

    def forget_server(self, service: str, server: str) -> None:
        """Drop the gauges of a server that another instance is the gateway of."""
        for gauge in (self._limit, self._queued):
            try:
                gauge.remove(service, server)
            except KeyError:
                pass
