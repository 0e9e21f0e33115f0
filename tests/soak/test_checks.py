"""Tests that the checks of a soak detect violations in fabricated records."""

from __future__ import annotations

import pytest

from basilwick.fakes.key_server import Run
from benchmarks.soak.callers import Call
from benchmarks.soak.checks import find_cut_calls, find_violations
from benchmarks.soak.site import RunLog


def make_call(status=200, read=False, **changes):
    call = Call("q1", read, 5, "i0", 0.0, 0.1, status, "q1", "s", b"s" * 10)
    for name, value in changes.items():
        setattr(call, name, value)
    return call


def make_log(*runs):
    log = RunLog(None)
    for run, holders in runs:
        log.runs.append(run)
        log.holders.append(frozenset(holders))
    return log


def make_run(request_id="q1", server="s", target="/order/5", began_at=0.0):
    return Run(request_id, server, "POST", target, b"", began_at)


def test_a_correct_call_is_no_violation():
    assert find_violations([make_call()], make_log((make_run(), ()))) == []


def test_a_read_may_run_twice():
    log = make_log((make_run(), ()), (make_run(), ()))
    assert find_violations([make_call(read=True)], log) == []


@pytest.mark.parametrize(
    ("call", "runs", "said"),
    [
        (make_call(), 2, "ran 2 times"),
        (make_call(503), 1, "and was answered 503"),
        (make_call(421), 1, "and was answered 421"),
        (make_call(answered_id="q2"), 1, "got the answer of"),
        (make_call(body=b"sss"), 1, "got the body"),
        (make_call(), 0, "never ran"),
        (make_call(404), 0, "was answered 404"),
    ],
)
def test_a_violation_is_detected(call, runs, said):
    log = make_log(*((make_run(), ()) for _ in range(runs)))
    (line,) = find_violations([call], log)
    assert said in line


def test_a_run_of_an_unsent_request_is_detected():
    (line,) = find_violations([], make_log((make_run("odd"), ())))
    assert "no caller sent" in line


def test_two_holders_that_both_run_a_key_are_detected():
    holders_of_key = ("m0", "m1")
    log = make_log(
        (make_run("q1", "m0", "/read/5", 1.0), holders_of_key),
        (make_run("q1", "m1", "/read/5", 1.4), holders_of_key),
    )
    (line,) = find_violations([make_call(read=True)], log)
    assert "held it together" in line


def test_a_holder_that_runs_nothing_is_no_violation():
    holders_of_key = ("m0", "m1")
    log = make_log(
        (make_run("q1", "m0", "/read/5", 1.0), holders_of_key),
        (make_run("q1", "m0", "/read/5", 1.4), holders_of_key),
    )
    assert find_violations([make_call(read=True)], log) == []


def test_a_call_that_ran_and_was_cut_off_is_detected():
    log = make_log((make_run(), ()))
    assert find_cut_calls([make_call(0)], log)
    assert not find_cut_calls([make_call(0, ended_at=1.9)], log)
    assert not find_cut_calls([make_call(0, left=True)], log)
    assert not find_cut_calls([make_call(0)], make_log())
