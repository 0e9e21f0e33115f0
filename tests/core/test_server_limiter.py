"""Tests of the concurrency limit and the queue of one server."""

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


def _finish_requests(limiter, count, now=0.0, latency_s=0.01, kind=ResultKind.SUCCESS):
    for _ in range(count):
        ticket = limiter.submit(IDEMPOTENT, now + 100.0, now)
        now += latency_s
        limiter.finish(ticket, RequestResult(kind, latency_s), now)
    return now


def _build_warm_limiter(slots=4):
    limiter = ServerLimiter(slots)
    limiter.peer_median_latency_s = 0.01
    now = _finish_requests(limiter, 20 * (slots - 1))
    assert (limiter.limit, limiter.cold) == (slots, False)
    return limiter, now


def test_fresh_server_gets_one_request_at_a_time():
    # A gateway that takes over a cold server must not overload it.
    limiter = ServerLimiter(4)
    first = limiter.submit(IDEMPOTENT, 1.0, 0.0)
    second = limiter.submit(IDEMPOTENT, 1.0, 0.0)
    assert first.started_at == 0.0 and second.started_at is None
    assert limiter.finish(first, FAST, 0.01) == [second]


def test_slow_responses_do_not_raise_the_limit_of_a_cold_server():
    # Successes while the server is still cold must not count towards the ramp-up.
    limiter = ServerLimiter(4)
    limiter.peer_median_latency_s = 0.01
    now = 0.0
    for latency_ms in range(100, 20, -1):
        now = _finish_requests(limiter, 2, now, latency_s=latency_ms / 1000)
    assert limiter.limit == 1
    _finish_requests(limiter, 19, now)
    assert limiter.limit == 1
    _finish_requests(limiter, 1, now)
    assert limiter.limit == 2


def test_permanently_slow_server_is_not_limited_to_one_slot():
    # A server that is five times slower than its peers must not be taken for a cold one
    # that never warms up, which would leave it a quarter of its slots forever.
    limiter = ServerLimiter(4)
    limiter.peer_median_latency_s = 0.01
    now = _finish_requests(limiter, 60, latency_s=0.05)
    assert limiter.limit == 1
    _finish_requests(limiter, 8, now, latency_s=0.05)
    assert limiter.limit == 2


def _turn_cold_by_incarnation(limiter, now):
    limiter.observe_incarnation("a")
    assert limiter.limit == 4
    limiter.observe_incarnation("b")


def _turn_cold_by_refusals(limiter, now):
    _finish_requests(limiter, 3, now, kind=ResultKind.OVERLOADED)


def _turn_cold_by_cold_refusal(limiter, now):
    _finish_requests(limiter, 1, now, kind=ResultKind.COLD)


def _turn_cold_by_latency(limiter, now):
    _finish_requests(limiter, 8, now, latency_s=0.05)


@pytest.mark.parametrize(
    "turn",
    [
        _turn_cold_by_incarnation,
        _turn_cold_by_refusals,
        _turn_cold_by_cold_refusal,
        _turn_cold_by_latency,
    ],
)
def test_server_that_became_cold_gets_one_slot_despite_its_load_report(turn):
    # Load reports may say "warm" even after a restart or a cache loss.
    limiter, now = _build_warm_limiter()
    limiter.observe_load("warm")
    turn(limiter, now)
    limiter.observe_load("warm")
    assert (limiter.limit, limiter.cold) == (1, True)


def test_single_tail_latency_does_not_change_the_limit():
    # One slow response must not reset the ramp-up.
    limiter, now = _build_warm_limiter()
    now = _finish_requests(limiter, 12, now)
    _finish_requests(limiter, 1, now, latency_s=0.5)
    assert limiter.limit == 4


def test_limit_decreases_for_a_server_slow_under_load():
    # An overloaded server must neither keep its full concurrency nor be taken for cold.
    limiter, now = _build_warm_limiter()
    now = _finish_requests(limiter, 8, now, latency_s=0.035)
    assert 1 < limiter.limit < 4 and not limiter.cold
    _finish_requests(limiter, 8, now, latency_s=0.025)
    assert 1 <= limiter.limit < 3 and not limiter.cold


def test_decrease_without_effect_is_reverted():
    # A server that is slow for a reason other than its load must keep its slots.
    limiter, now = _build_warm_limiter()
    now = _finish_requests(limiter, 8, now, latency_s=0.03)
    assert limiter.limit < 4
    now = _finish_requests(limiter, 8, now, latency_s=0.03)
    assert limiter.limit == 4
    _finish_requests(limiter, 100, now, latency_s=0.03)
    assert limiter.limit == 4


def _submit_requests(limiter, count, request_class=IDEMPOTENT, deadline=1e9):
    return [limiter.submit(request_class, deadline, 0.0) for _ in range(count)]


def test_queue_is_bounded():
    # Memory and waiting times must not grow with the demand of the callers.
    limiter = ServerLimiter(1)
    _submit_requests(limiter, 1 + MAX_QUEUED_REQUESTS)
    refusal = limiter.submit(IDEMPOTENT, 1e9, 0.0)
    assert refusal.kind is ErrorKind.OVERLOADED and refusal.retry_after_s > 0


def test_request_that_cannot_meet_its_deadline_is_refused_early():
    # A request must not wait in the queue until its deadline has passed.
    limiter = ServerLimiter(1)
    now = _finish_requests(limiter, 10, latency_s=0.1)
    _submit_requests(limiter, 6, deadline=now + 0.6)
    urgent = limiter.submit(IDEMPOTENT, now + 0.3, now)
    assert isinstance(urgent, Ticket), "an earlier deadline goes first"
    refused = limiter.submit(IDEMPOTENT, now + 0.61, now)
    assert isinstance(refused, Refusal) and refused.kind is ErrorKind.OVERLOADED
    assert refused.retry_after_s > 0.61


def _finish_in_turn(limiter, running, count):
    order = []
    for _ in range(count):
        (running,) = limiter.finish(running, FAST, 0.0)
        order.append(running)
    return order


def test_earliest_deadline_is_served_first():
    # First-in-first-out order would miss near deadlines.
    limiter = ServerLimiter(1)
    (running,) = _submit_requests(limiter, 1)
    rng = Random(7)
    for _ in range(20):
        limiter.submit(IDEMPOTENT, 100 + rng.random(), 0.0)
    deadlines = [ticket.deadline for ticket in _finish_in_turn(limiter, running, 20)]
    assert deadlines == sorted(deadlines)


def test_no_request_class_starves_another():
    # Idempotent requests with near deadlines must not shut out uploads.
    limiter = ServerLimiter(1)
    (running,) = _submit_requests(limiter, 1)
    _submit_requests(limiter, 30, IDEMPOTENT, deadline=10.0)
    _submit_requests(limiter, 10, AT_MOST_ONCE, deadline=20.0)
    _submit_requests(limiter, 10, UPLOAD, deadline=90.0)
    order = [ticket.request_class for ticket in _finish_in_turn(limiter, running, 20)]
    assert (
        order.count(IDEMPOTENT),
        order.count(AT_MOST_ONCE),
        order.count(UPLOAD),
    ) == (8, 8, 4)


def test_cancelled_requests_release_their_slots():
    # The slot must not leak when the caller disconnects.
    limiter = ServerLimiter(1)
    running, queued, third = _submit_requests(limiter, 3)
    assert limiter.cancel(queued, 0.0) == []
    assert limiter.cancel(running, 0.0) == [third]
    limiter.cancel(third, 0.0)
    assert (limiter.running, limiter.queued) == (0, 0)
