"""Tests that a soak notices ignored statements in fabricated records."""

from __future__ import annotations

import pytest

from basilwick.fakes.key_server import KeyServer, Statement
from benchmarks.soak.callers import Call
from benchmarks.soak.statements import find_statement_violations


def make_server(statement, *arrivals):
    server = KeyServer("s", "desk", "a", None, [])
    server.statements = [statement]
    for request_id, at in arrivals:
        server.arrived_ids.append(request_id)
        server.arrivals.append(at)
    return server


def make_call(request_id, began_at, instance="i0"):
    return Call(request_id, False, 5, instance, began_at, began_at + 0.1, 200)


LEAVING = Statement("q1", 1.0, leaving=True)
PAUSE = Statement("q1", 1.0, pause_s=3.0)


@pytest.mark.parametrize(
    ("began_at", "instance", "interrupted_at", "count"),
    [
        (3.5, "i0", 0.0, 0),
        (3.5, "i0", -9.0, 1),
        (2.5, "i0", -9.0, 0),
        (3.5, "i1", -9.0, 0),
        (3.5, "i0", 2.0, 0),
    ],
)
def test_a_request_to_a_leaving_server_is_detected(
    began_at, instance, interrupted_at, count
):
    calls = [make_call("q1", 0.9), make_call("q2", began_at, instance)]
    server = make_server(LEAVING, ("q1", 0.9), ("q2", began_at))
    interruptions = {"i0": [interrupted_at], "i1": []}
    assert len(find_statement_violations(calls, [server], interruptions)) == count


@pytest.mark.parametrize(("number", "count"), [(2, 0), (3, 1)])
def test_requests_in_a_pause_are_detected(number, count):
    times = [1.6 + 0.1 * index for index in range(number)]
    calls = [make_call("q1", 0.9)]
    calls += [make_call(f"p{index}", at) for index, at in enumerate(times)]
    server = make_server(
        PAUSE, ("q1", 0.9), *((f"p{index}", at) for index, at in enumerate(times))
    )
    assert len(find_statement_violations(calls, [server], {"i0": []})) == count


def test_requests_right_after_a_statement_and_after_a_pause_are_allowed():
    times = [1.2, 1.3, 1.4, 4.1, 4.2, 4.3]
    calls = [make_call("q1", 0.9)]
    calls += [make_call(f"p{index}", at) for index, at in enumerate(times)]
    server = make_server(
        PAUSE, ("q1", 0.9), *((f"p{index}", at) for index, at in enumerate(times))
    )
    assert find_statement_violations(calls, [server], {"i0": []}) == []
