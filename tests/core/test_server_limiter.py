"""Concurrency limit and queue of one server."""

from __future__ import annotations

from random import Random

import pytest

from basilwick.core.errors import ErrorKind, Refusal
from basilwick.core.server_limiter import (
    MAX_QUEUED_REQUESTS,
    RequestClass,
    RequestResult,
    ResultKind,
    ServerLimiter,
    Ticket,
)

IDEMPOTENT, AT_MOST_ONCE, UPLOAD = RequestClass
FAST = RequestResult(ResultKind.SUCCESS, 0.01)


def _run(limiter, count, now=0.0, latency_s=0.01, kind=ResultKind.SUCCESS):
    for _ in range(count):
        ticket = limiter.submit(IDEMPOTENT, now + 100.0, now)
        now += latency_s
        limiter.finish(ticket, RequestResult(kind, latency_s), now)
    return now


def _warm(slots=4):
    limiter = ServerLimiter(slots)
    limiter.peer_median_latency_s = 0.01
    now = _run(limiter, 20 * (slots - 1))
    assert (limiter.limit, limiter.cold) == (slots, False)
    return limiter, now


def test_fresh_server_gets_one_request_at_a_time():
    # Guards against overloading a cold server through a gateway that took over.
    limiter = ServerLimiter(4)
    first = limiter.submit(IDEMPOTENT, 1.0, 0.0)
    second = limiter.submit(IDEMPOTENT, 1.0, 0.0)
    assert first.started_at == 0.0 and second.started_at is None
    assert limiter.finish(first, FAST, 0.01) == [second]


def test_slow_answers_do_not_raise_a_cold_limit():
    # Guards against a ramp that counts successes while the server is still cold.
    limiter = ServerLimiter(4)
    limiter.peer_median_latency_s = 0.01
    now = 0.0
    for latency_ms in range(100, 20, -1):
        now = _run(limiter, 2, now, latency_s=latency_ms / 1000)
    assert limiter.limit == 1
    _run(limiter, 19, now)
    assert limiter.limit == 1
    _run(limiter, 1, now)
    assert limiter.limit == 2


def test_lastingly_slow_server_is_not_kept_at_one_slot():
    # Guards against a server slowed fivefold that gets a quarter of its slots for
    # ever, because it is taken for a cold one that never warms.
    limiter = ServerLimiter(4)
    limiter.peer_median_latency_s = 0.01
    now = _run(limiter, 60, latency_s=0.05)
    assert limiter.limit == 1
    _run(limiter, 8, now, latency_s=0.05)
    assert limiter.limit == 2


def _turn_by_incarnation(limiter, now):
    limiter.observe_incarnation("a")
    assert limiter.limit == 4
    limiter.observe_incarnation("b")


def _turn_by_refusals(limiter, now):
    _run(limiter, 3, now, kind=ResultKind.OVERLOADED)


def _turn_by_cold_refusal(limiter, now):
    _run(limiter, 1, now, kind=ResultKind.COLD)


def _turn_by_latency(limiter, now):
    _run(limiter, 8, now, latency_s=0.05)


@pytest.mark.parametrize(
    "turn",
    [_turn_by_incarnation, _turn_by_refusals, _turn_by_cold_refusal, _turn_by_latency],
)
def test_server_that_turned_cold_gets_one_slot_despite_its_load_report(turn):
    # Guards against load reports that say warm after a restart or cache loss.
    limiter, now = _warm()
    limiter.observe_load("warm")
    turn(limiter, now)
    limiter.observe_load("warm")
    assert (limiter.limit, limiter.cold) == (1, True)


def test_single_tail_latency_changes_nothing():
    # Guards against losing the ramp to one slow answer.
    limiter, now = _warm()
    now = _run(limiter, 12, now)
    _run(limiter, 1, now, latency_s=0.5)
    assert limiter.limit == 4


def test_server_slow_under_load_gets_less_of_it():
    # Guards against treating an overloaded server at full concurrency, or as cold.
    limiter, now = _warm()
    now = _run(limiter, 8, now, latency_s=0.035)
    assert 1 < limiter.limit < 4 and not limiter.cold
    _run(limiter, 8, now, latency_s=0.025)
    assert 1 <= limiter.limit < 3 and not limiter.cold


def test_decrease_that_does_not_help_is_taken_back():
    # Guards against a server slowed by something else that also loses its slots.
    limiter, now = _warm()
    now = _run(limiter, 8, now, latency_s=0.03)
    assert limiter.limit < 4
    now = _run(limiter, 8, now, latency_s=0.03)
    assert limiter.limit == 4
    _run(limiter, 100, now, latency_s=0.03)
    assert limiter.limit == 4


def _fill(limiter, count, request_class=IDEMPOTENT, deadline=1e9):
    return [limiter.submit(request_class, deadline, 0.0) for _ in range(count)]


def test_queue_is_bounded():
    # Guards against memory and waits that grow with the callers' demand.
    limiter = ServerLimiter(1)
    _fill(limiter, 1 + MAX_QUEUED_REQUESTS)
    refusal = limiter.submit(IDEMPOTENT, 1e9, 0.0)
    assert refusal.kind is ErrorKind.OVERLOADED and refusal.retry_after_s > 0


def test_request_that_cannot_meet_its_deadline_is_refused_early():
    # Guards against work that waits out its deadline in the queue.
    limiter = ServerLimiter(1)
    now = _run(limiter, 10, latency_s=0.1)
    _fill(limiter, 6, deadline=now + 0.6)
    urgent = limiter.submit(IDEMPOTENT, now + 0.3, now)
    assert isinstance(urgent, Ticket), "goes ahead of the others"
    refused = limiter.submit(IDEMPOTENT, now + 0.61, now)
    assert isinstance(refused, Refusal) and refused.kind is ErrorKind.OVERLOADED
    assert refused.retry_after_s > 0.61


def _drain(limiter, running, count):
    order = []
    for _ in range(count):
        (running,) = limiter.finish(running, FAST, 0.0)
        order.append(running)
    return order


def test_earliest_deadline_is_served_first():
    # Guards against first-in-first-out order, which misses near deadlines.
    limiter = ServerLimiter(1)
    (running,) = _fill(limiter, 1)
    rng = Random(7)
    for _ in range(20):
        limiter.submit(IDEMPOTENT, 100 + rng.random(), 0.0)
    deadlines = [ticket.deadline for ticket in _drain(limiter, running, 20)]
    assert deadlines == sorted(deadlines)


def test_no_class_starves_another():
    # Guards against lookups with near deadlines that shut out uploads.
    limiter = ServerLimiter(1)
    (running,) = _fill(limiter, 1)
    _fill(limiter, 30, IDEMPOTENT, deadline=10.0)
    _fill(limiter, 10, AT_MOST_ONCE, deadline=20.0)
    _fill(limiter, 10, UPLOAD, deadline=90.0)
    order = [ticket.request_class for ticket in _drain(limiter, running, 20)]
    assert (
        order.count(IDEMPOTENT),
        order.count(AT_MOST_ONCE),
        order.count(UPLOAD),
    ) == (8, 8, 4)


def test_withdrawn_requests_leave_no_slot_behind():
    # Guards against a slot that leaks when the caller leaves.
    limiter = ServerLimiter(1)
    running, queued, third = _fill(limiter, 3)
    assert limiter.cancel(queued, 0.0) == []
    assert limiter.cancel(running, 0.0) == [third]
    limiter.cancel(third, 0.0)
    assert (limiter.running, limiter.queued) == (0, 0)
