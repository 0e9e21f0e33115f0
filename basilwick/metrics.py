"""Registry of an instance's metrics, and those of the control decisions.

Labels are services, reasons, data centres and other small sets. Keys, shards and
callers never become labels, because each new value would take memory for good. The
request path defines its own metrics in ``runtime/request_metrics.py``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from prometheus_client import (
    CollectorRegistry,
    Counter,
    GCCollector,
    Histogram,
    ProcessCollector,
)
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilwick.core.routing import RoutingView
    from basilwick.core.types import DataCentreName

__all__ = ["ControlCollector", "ControlMetrics", "create_registry"]


def create_registry() -> CollectorRegistry:
    """Return a registry with the CPU time and memory of the process.

    Several instances can run in one process, so the global registry is not used.
    """
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    GCCollector(registry=registry)
    return registry


class ControlMetrics:
    """Counts what the assigner of an instance does.

    Parameters
    ----------
    registry : CollectorRegistry
        Where the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry):
        self._moves = Counter(
            "basilwick_moves",
            "Shards and hot keys given to another server by this instance",
            ("service", "reason"),
            registry=registry,
        )
        self._unavailable = Histogram(
            "basilwick_unavailable_seconds",
            "Time from the declared loss of a server to the new grant of its shards",
            ("service",),
            buckets=(0.25, 0.5, 0.75, 1, 1.25, 1.5, 1.75, 2, 3, 5, 10, 60),
            registry=registry,
        )

    def count_moves(self, service: str, reason: str, count: int) -> None:
        """Count shards and hot keys that got a new owner."""
        self._moves.labels(service, reason).inc(count)

    def observe_unavailable(self, service: str, seconds: float) -> None:
        """Record for how long the shards of a lost server had no usable owner."""
        self._unavailable.labels(service).observe(seconds)


class _Configuration(Protocol):
    @property
    def revision(self) -> int:
        """Newest revision applied."""


class ControlCollector(Collector):
    """Reads the state of the control decisions when metrics are collected.

    Parameters
    ----------
    routing : RoutingView
        Decisions of the instance.
    configuration : Configuration
        Records and block documents that the instance knows.
    data_centre : str
        Data centre of the instance.
    """

    def __init__(
        self,
        routing: RoutingView,
        configuration: _Configuration,
        data_centre: DataCentreName,
    ):
        self._routing = routing
        self._configuration = configuration
        self._data_centre = data_centre

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Return the gauges."""
        routing = self._routing
        for name, text, value in (
            ("ready", "1 when the instance takes requests", routing.ready),
            (
                "configuration_revision",
                "Newest configuration revision applied",
                self._configuration.revision,
            ),
            (
                "members",
                "Live instances of the own data centre",
                len(routing.list_peers(self._data_centre)),
            ),
            (
                "servers_served",
                "Backend servers for which the instance is the gateway",
                len(routing.list_served()),
            ),
        ):
            yield GaugeMetricFamily(f"basilwick_{name}", text, value=float(value))
