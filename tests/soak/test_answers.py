"""Tests that a soak detects answers that no server gave first, in fake records."""

from __future__ import annotations

import pytest

from basilwick.fakes.key_server import KeyServer
from benchmarks.soak.answers import find_answer_violations
from benchmarks.soak.callers import Call


def make_server(name, *first_answers):
    server = KeyServer(name, "desk", "a", None, [])
    server.first_answers.extend(first_answers)
    return server


def make_call(status, signature="s", body=b"", answered_id="q1"):
    return Call("q1", False, 5, "i0", 0.0, 0.1, status, answered_id, signature, body)


def check(call, *servers):
    return list(find_answer_violations([call], servers))


def test_the_first_answer_of_any_attempt_is_no_violation():
    rejecting = make_server("r", ("q1", 503))
    failing = make_server("s", ("q0", 200), ("q1", 500))
    serving = make_server("t", ("q1", 200))
    servers = (rejecting, failing, serving)
    assert check(make_call(500), *servers) == []
    assert check(make_call(200, "t", b"t" * 10), *servers) == []


@pytest.mark.parametrize("status", [0, 502, 503, 504])
def test_an_answer_that_an_instance_gives_itself_is_no_violation(status):
    assert check(make_call(status, ""), make_server("s", ("q1", 200))) == []


@pytest.mark.parametrize(
    ("call", "first_answers", "said"),
    [
        (make_call(200, body=b"s" * 10), [("q1", 500)], "answered 200 by s"),
        (make_call(500), [("q1", 200)], "answered 500 by s"),
        (make_call(503), [("q1", 200)], "answered 503 by s"),
        (make_call(500), [("q2", 500)], "answered 500 by s"),
        (make_call(500, "t"), [("q1", 500)], "answered 500 by t"),
        (make_call(200, ""), [("q1", 200)], "by no server"),
        (make_call(500, ""), [("q1", 500)], "by no server"),
        (make_call(500, body=b"s" * 10), [("q1", 500)], "got the body"),
        (make_call(500, answered_id="q2"), [("q1", 500)], "got the answer of"),
    ],
)
def test_an_answer_that_no_server_gave_first_is_detected(call, first_answers, said):
    """A success reached the caller of a request that the server had answered 500."""
    (line,) = check(call, make_server("s", *first_answers))
    assert said in line


def test_the_answer_of_another_server_with_the_same_request_is_detected():
    servers = (make_server("s", ("q1", 500)), make_server("t", ("q1", 200)))
    (line,) = check(make_call(200, "s", b"s" * 10), *servers)
    assert "[('s', 500), ('t', 200)]" in line
