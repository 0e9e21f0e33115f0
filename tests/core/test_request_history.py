"""From a request's id to what explains its outcome."""

from __future__ import annotations

from basilwick.core.request_history import build_request_history, find_request_lines


def answer(request="q1", time=100.0, status=503, **changes):
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


def event(message, time=99.0, **fields):
    return {"message": message, "time": time, **fields}


def test_the_lines_of_a_request_are_found():
    lines = [answer("q0"), answer("q1"), event("server left", server="s")]
    assert find_request_lines(lines, "q1") == [answer("q1")]


def test_events_of_its_key_its_servers_and_its_site_are_related():
    lines = [
        event("moving keys", 99.5, service="maps", first=0, last=99, target="m1"),
        event("moving keys", service="maps", first=100, last=199, target="m1"),
        event("moving keys", service="other", first=0, last=99, target="m1"),
        event("server left", 98.0, server="m0"),
        event("server left", server="m2"),
        event("no longer leading the site", 98.5, reason="stopping"),
    ]
    history = build_request_history(lines, [answer(servers=["m0"])])
    assert [line["time"] for line in history.events] == [98.0, 98.5, 99.5]


def test_events_long_before_and_after_are_left_out():
    lines = [
        event("server left", 93.0, server="m0"),
        event("server left", 101.0, server="m0"),
    ]
    assert build_request_history(lines, [answer(servers=["m0"])]).events == []


def test_failures_of_the_same_time_are_counted_by_reason():
    lines = [
        answer("q2", reason="no server has room in time"),
        answer("q3", reason="no server has room in time"),
        answer("q4", status=200, reason=""),
        answer("q5", service="other"),
        answer("q6", service="other", servers=["m0"], status=502, reason="reset"),
        answer("q7", time=120.0),
    ]
    history = build_request_history(lines, [answer(servers=["m0"])])
    assert history.failures == {"no server has room in time": 2, "reset": 1}
