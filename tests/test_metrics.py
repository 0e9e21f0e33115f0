"""The number of metric series is bounded."""

from __future__ import annotations

from basilwick.metrics import Metrics


def test_series_do_not_grow_with_servers_or_unknown_services():
    # Guards against memory that grows with unknown service names sent by callers, and
    # with servers that an instance no longer serves.
    metrics = Metrics()
    metrics.observe_request(None, "idempotent", "unknown_service", 0.001)
    before = len(metrics.render().splitlines())
    for number in range(100):
        metrics.observe_request(None, "idempotent", "unknown_service", 0.001)
        metrics.server_limit.labels(f"s-{number}").set(1)
        metrics.server_in_flight.labels(f"s-{number}").set(1)
        metrics.server_queue.labels(f"s-{number}").set(1)
        metrics.remove_servers([f"s-{number}"])
    assert len(metrics.render().splitlines()) == before
