"""Metrics of one process that holds several instances."""

from __future__ import annotations

from prometheus_client import generate_latest

from basilwick.metrics import ControlCollector, ControlMetrics, create_registry


class _View:
    ready = True
    revision = 7

    def list_peers(self, data_centre):
        return ["a-0", "a-1"] if data_centre == "dc-a" else []

    def list_served(self):
        return ["clue-1"]


def test_two_instances_in_one_process_report_their_own_state():
    # Guards against metrics in the global registry, where a second instance fails to
    # start or adds to the first one's figures.
    reports = []
    for number in range(2):
        registry = create_registry()
        metrics = ControlMetrics(registry)
        view = _View()
        view.revision += number
        registry.register(ControlCollector(view, view, "dc-a"))
        metrics.count_moves("clue", "server lost", number)
        reports.append(generate_latest(registry).decode())
    assert "basilwick_configuration_revision 7.0" in reports[0]
    assert "basilwick_configuration_revision 8.0" in reports[1]
    assert "basilwick_members 2.0" in reports[0]
    moves = 'basilwick_moves_total{reason="server lost",service="clue"} '
    assert moves + "0.0" in reports[0] and moves + "1.0" in reports[1]
