"""Tests of finding the log lines that explain the outcome of a request."""

from __future__ import annotations

from basilwick.core.request_history import build_request_history, find_request_lines


def make_answer(request="q1", time=100.0, status=503, **changes):
    line = {
        "message": "request answered",
        "request": request,
        "time": time,
        "status": status,
        "service": "maps",
        "key": 50,
        "servers": [],
        "reason": "key has no live owner",
        "elapsed_ms": 200.0,
    }
    return {**line, **changes}


def make_event(message, time=99.0, **fields):
    return {"message": message, "time": time, **fields}


def test_lines_of_a_request_are_found():
    lines = [
        make_answer("q0"),
        make_answer("q1"),
        make_event("server left", server="s"),
    ]
    assert find_request_lines(lines, "q1") == [make_answer("q1")]


def test_events_of_the_key_the_servers_and_the_site_are_collected():
    lines = [
        make_event("moving keys", 99.5, service="maps", first=0, last=99, target="m1"),
        make_event("moving keys", service="maps", first=100, last=199, target="m1"),
        make_event("moving keys", service="other", first=0, last=99, target="m1"),
        make_event("server left", 98.0, server="m0"),
        make_event("server left", server="m2"),
        make_event("no longer leading the site", 98.5, reason="stopping"),
    ]
    history = build_request_history(lines, [make_answer(servers=["m0"])])
    assert [line["time"] for line in history.events] == [98.0, 98.5, 99.5]


def test_events_long_before_or_after_the_request_are_left_out():
    lines = [
        make_event("server left", 93.0, server="m0"),
        make_event("server left", 101.0, server="m0"),
    ]
    assert build_request_history(lines, [make_answer(servers=["m0"])]).events == []


def test_other_failures_at_that_time_are_counted_by_reason():
    lines = [
        make_answer("q2", reason="no server has room in time"),
        make_answer("q3", reason="no server has room in time"),
        make_answer("q4", status=200, reason=""),
        make_answer("q5", service="other"),
        make_answer("q6", service="other", servers=["m0"], status=502, reason="reset"),
        make_answer("q7", time=120.0),
    ]
    history = build_request_history(lines, [make_answer(servers=["m0"])])
    assert history.failures == {"no server has room in time": 2, "reset": 1}
