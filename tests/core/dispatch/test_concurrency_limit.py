"""Requests in flight to a server beyond its slots."""

from __future__ import annotations

from collections import deque

from basilwick.core.dispatch.concurrency_limit import ConcurrencyLimit
from basilwick.core.dispatch.load_report import LoadReport

SLOTS = 2
WORK_S = 0.1
#: Time from the end of a request at its server until a decision based on it arrives.
ROUND_TRIP_S = 0.05


def play_full_load(limit, seconds=20.0):
    """Keep a server at its limit of requests; returns the served share of its rate."""
    ends = []
    waiting = 0
    arrivals = deque()
    reports = deque()
    in_flight = served = 0
    for step in range(int(seconds * 1000)):
        now = step / 1000
        while arrivals and arrivals[0] <= now:
            arrivals.popleft()
            waiting += 1
        for end in [end for end in ends if end <= now]:
            report = LoadReport(len(ends), waiting, SLOTS)
            ends.remove(end)
            served += 1
            reports.append((now + ROUND_TRIP_S / 2, report))
        while waiting and len(ends) < SLOTS:
            waiting -= 1
            ends.append(now + WORK_S)
        while reports and reports[0][0] <= now:
            limit.record(reports.popleft()[1], in_flight)
            in_flight -= 1
        while in_flight < SLOTS + limit.extra:
            in_flight += 1
            arrivals.append(now + ROUND_TRIP_S / 2)
    return served * WORK_S / SLOTS / seconds


def test_slots_are_not_idle_while_decisions_are_on_their_way():
    class FixedLimit(ConcurrencyLimit):
        def record(self, report, in_flight):
            pass

    assert play_full_load(FixedLimit()) < 0.75
    assert play_full_load(ConcurrencyLimit()) > 0.9


def test_a_server_with_a_queue_gets_no_more_requests_than_slots():
    limit = ConcurrencyLimit()
    for _ in range(100):
        limit.record(LoadReport(SLOTS, 0, SLOTS), SLOTS + limit.extra)
    assert limit.extra == SLOTS
    for _ in range(100):
        limit.record(LoadReport(SLOTS, 5, SLOTS), SLOTS + limit.extra)
    assert limit.extra == 0


def test_a_server_that_is_not_fully_used_keeps_its_limit():
    limit = ConcurrencyLimit()
    for _ in range(100):
        limit.record(LoadReport(1, 0, SLOTS), 1)
    assert limit.extra == 0
