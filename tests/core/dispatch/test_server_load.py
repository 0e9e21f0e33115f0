"""Load and latency of a server, by what it states in its responses."""

from __future__ import annotations

import pytest

from basilwick.core.dispatch.load_report import LoadReport, make_load_report
from basilwick.core.dispatch.messages import SendOutcome
from basilwick.core.dispatch.server_load import ServerLoad

TYPICAL_S = 0.1


def finish(load, now, latency_s, report=None, outcome=SendOutcome.OK):
    load.in_flight += 1
    load.finish(outcome, latency_s, now, report)


def play_spells(load, until=12.0, stated=True):
    """Finish a request each 0.1 s; work takes three times as long in 0.4 s of 2 s."""
    for step in range(1, round(until * 10) + 1):
        now = step / 10
        slowdown = 3.0 if now % 2.0 > 1.55 else 1.0
        report = LoadReport(0, 0, 2, slowdown) if stated else None
        finish(load, now, 0.1 * slowdown, report)


def test_without_reports_the_unloaded_latency_is_the_steady_one():
    """Placement of keys would change on sites whose servers state no load."""
    load = ServerLoad()
    for step in range(40):
        finish(load, step * 0.1, 0.05 + 0.01 * (step % 7))
        assert load.unloaded_latency_s == load.steady_latency_s
    assert load.estimate_stated_latency(TYPICAL_S, 4.0) == load.estimate_latency(
        TYPICAL_S, 4.0
    )


def test_a_slow_spell_changes_the_unloaded_latency_little():
    """A spell of 0.4 s made a server count as slow for seconds."""
    load = ServerLoad()
    play_spells(load)
    assert load.unloaded_latency_s == pytest.approx(0.1, rel=0.01)


def test_the_expected_latency_follows_a_spell_and_returns_within_half_a_second():
    load = ServerLoad()
    play_spells(load, 12.0)
    mean_s = load.unloaded_latency_s * load.stated.mean_slowdown
    assert 1.2 < load.stated.mean_slowdown < 1.7
    finish(load, 12.05, 0.3, LoadReport(2, 0, 2, 3.0))
    assert load.estimate_stated_latency(0.14, 12.05) == pytest.approx(0.3, rel=0.05)
    assert load.estimate_stated_latency(0.14, 12.55) < 1.25 * mean_s


def test_a_changing_slowdown_that_is_false_does_not_change_the_estimate_without_bound():
    """A server that states any figure must not look faster than all others for ever."""
    load = ServerLoad()
    for step in range(200):
        slowdown = 100.0 if step % 2 else 0.1
        finish(load, step * 0.1, 0.1, LoadReport(0, 0, 2, slowdown))
    long_run_s = load.unloaded_latency_s * load.stated.mean_slowdown
    assert long_run_s > 0.05


def test_requests_of_other_origin_are_those_that_the_dispatcher_does_not_know():
    load = ServerLoad(in_flight=3)
    load.finish(SendOutcome.OK, 0.1, 1.0, LoadReport(6, 2, 6))
    # 8 are held: 2 known ones, perhaps the answered one, and 5 others.
    assert load.stated.estimate_others(1.0) == 5.0
    load.in_flight += 1
    assert load.stated.estimate_others(1.0) + load.in_flight == 8.0
    assert load.stated.get_age_s(1.5) == 0.5


def test_a_server_that_stated_no_request_does_not_count_the_answered_one():
    load = ServerLoad()
    finish(load, 1.0, 0.1, LoadReport(0, 0, 2))
    finish(load, 1.1, 0.1, LoadReport(1, 0, 2))
    assert load.stated.estimate_others(1.1) == 1.0


def test_a_report_that_was_overtaken_by_another_one_blocks_nothing():
    """The leader took its own requests for those of others and left slots idle."""
    load = ServerLoad()
    finish(load, 1.0, 0.1, LoadReport(0, 0, 2))
    finish(load, 1.1, 0.1, LoadReport(2, 0, 2))
    assert load.stated.estimate_confirmed_others(1.1) == 0.0
    finish(load, 1.2, 0.1, LoadReport(2, 0, 2))
    assert load.stated.estimate_confirmed_others(1.2) == 2.0
    assert load.stated.estimate_confirmed_others(2.2) < 0.1


def test_a_rejected_request_is_not_part_of_the_stated_load():
    load = ServerLoad()
    finish(load, 1.0, 0.0, LoadReport(2, 0, 2), SendOutcome.SHED)
    assert load.stated.estimate_others(1.0) == 2.0


@pytest.mark.parametrize(
    "figures",
    [(-1, 0, 2), (0, -1, 2), (1, 0, 0), (10**9, 0, 2), (1, 0, 10**9)],
)
def test_counts_that_make_no_sense_are_no_report(figures):
    assert make_load_report(*figures) is None


@pytest.mark.parametrize("percent", [-5, 0, 9, 10**6])
def test_a_slowdown_that_makes_no_sense_is_not_stated(percent):
    """Latencies are divided by it."""
    assert make_load_report(1, 0, 2, percent) == LoadReport(1, 0, 2)
