"""Admission of requests at a site with bulk routes."""

from __future__ import annotations

from random import Random

import pytest
from attrs import evolve
from overload_harness import (
    Overload,
    make_dispatcher,
    make_request,
)

from basilwick.core.dispatch.messages import (
    Assigned,
    Refused,
    SendFinished,
    SendOutcome,
)
from basilwick.core.dispatch.ranked_queue import RankedQueue
from basilwick.core.dispatch.return_times import ReturnTimes
from basilwick.core.dispatch.wait_queues import PendingRequest

LATENCY_S = 0.05


def fill(dispatcher, count, now=0.0, first=0, **changes):
    for number in range(first, first + count):
        dispatcher.submit(number, make_request(number, **changes), now)


def finish(dispatcher, number, now, latency_s=LATENCY_S):
    done = SendFinished(number, SendOutcome.OK, latency_s)
    return dispatcher.finish(number, done, now)


def test_no_caller_waits_for_its_deadline_in_vain():
    """Late requests waited for 1.06 s behind on-time arrivals and were refused."""
    waits = {}
    for bulk in (False, True):
        load = Overload(make_dispatcher(servers=4, bulk=bulk)[0])
        load.play(1.6 * 4 * 2 / LATENCY_S, 8.0)
        waits[bulk] = load.waits_in_vain
    assert max(waits[False]) > 1.0
    assert max(waits[True]) < 0.8
    assert sum(waits[True]) / len(waits[True]) < 0.4


def test_a_late_request_is_refused_at_once_while_on_time_arrivals_fill_the_servers():
    load = Overload(make_dispatcher(servers=4)[0])
    load.play(1.3 * 4 * 2 / LATENCY_S, 3.0, priorities=(1,))
    request = make_request(9_000, target_s=-0.1, left_s=0.4)
    decision = load.dispatcher.submit(9_000, request, load.now)
    assert isinstance(decision, Refused)
    assert decision.retry_after_s <= 0.4 / 3


def test_a_late_request_waits_while_it_will_be_reached():
    dispatcher, _ = make_dispatcher(servers=1)
    fill(dispatcher, 2)
    late = make_request(2, target_s=-0.1, left_s=0.5)
    assert dispatcher.submit(2, late, 0.0) is None
    ((number, decision),) = finish(dispatcher, 0, 0.05)
    assert (number, type(decision)) == (2, Assigned)


def test_a_short_slow_spell_does_not_refuse_what_can_be_answered_on_time():
    """The latency of a spell of 0.4 s was taken for that of all waiting requests."""
    refused = {}
    for bulk in (False, True):
        dispatcher, _ = make_dispatcher(servers=1, bulk=bulk)
        now = 0.0
        for number in range(400):
            latency_s = 3 * LATENCY_S if number >= 397 else LATENCY_S
            dispatcher.submit(number, make_request(number, key=0), now)
            now += latency_s
            finish(dispatcher, number, now, latency_s)
        decisions = [
            dispatcher.submit(number, make_request(number, key=0), now)
            for number in range(1000, 1018)
        ]
        refused[bulk] = sum(isinstance(decision, Refused) for decision in decisions)
    assert refused[False] > refused[True] == 0


def test_requests_in_flight_count_with_their_remaining_time():
    """A request was refused although its server was about to finish another."""
    for elapsed_s, accepted in ((0.01, False), (0.09, True)):
        dispatcher, _ = make_dispatcher(servers=1)
        for number in range(100):
            fill(dispatcher, 1, first=number, key=0)
            finish(dispatcher, number, 0.0, latency_s=0.1)
        fill(dispatcher, 2, first=200, key=0)
        request = make_request(300, key=0, target_s=0.15, left_s=0.16)
        decision = dispatcher.submit(300, request, elapsed_s)
        assert (decision is None) is accepted


def test_the_loss_of_an_instance_frees_the_places_of_its_waiting_requests():
    dispatcher, _ = make_dispatcher(servers=1)
    number = 0
    while dispatcher.submit(number, make_request(number), 0.0) is None or number < 2:
        number += 1
    lost = range(2, number)
    assert lost
    for waiting in lost:
        assert dispatcher.cancel(waiting, 0.01) == []
    assert dispatcher.submit(100, make_request(100), 0.02) is None
    ((served, _),) = finish(dispatcher, 0, 0.05)
    assert served == 100


def test_waiting_requests_follow_their_key_to_its_new_owner():
    dispatcher, owners = make_dispatcher(servers=2)
    fill(dispatcher, 3, key=0)
    owners.moved[0] = "s1"
    ((number, decision),) = dispatcher.advance(0.02)
    assert (number, decision.server) == (2, "s1")


@pytest.mark.parametrize("bulk", [False, True])
def test_requests_that_wait_are_kept_when_the_configuration_changes(bulk):
    """The last bulk route is removed, or the first is added, while requests wait."""
    dispatcher, _ = make_dispatcher(servers=1, bulk=not bulk)
    fill(dispatcher, 4)
    other, _ = make_dispatcher(servers=1, bulk=bulk)
    dispatcher._view.configuration = other._view.configuration
    dispatcher.advance(0.01)
    assert [finish(dispatcher, n, 0.05)[0][0] for n in (0, 1)] == [2, 3]


def test_overload_is_borne_by_the_least_urgent_but_none_starves():
    load = Overload(make_dispatcher(servers=6)[0])
    load.play(1.6 * 6 * 2 / LATENCY_S, 10.0)
    served = [
        load.get_share("on time", p) + load.get_share("late", p) for p in (0, 1, 2)
    ]
    assert served[0] > 0.95
    assert served[0] >= served[1] >= served[2]
    capacity = 6 * 2 / LATENCY_S * 10.0
    assert served[2] * load.counts[2, "offered"] > 0.08 * capacity


def test_requests_with_and_without_a_key_compete_by_the_same_order():
    """A slot freed by a keyed request served only requests for keys of its server."""
    load = Overload(make_dispatcher(servers=1)[0], keys=1)
    dispatcher = load.dispatcher
    fill(dispatcher, 2, key=0)
    dispatcher.submit(2, make_request(2, priority=1, key=0), 0.0)
    dispatcher.submit(3, make_request(3, priority=0), 0.001)
    dispatcher.submit(4, make_request(4, priority=0, key=0), 0.002)
    order = [finish(dispatcher, number, 0.05)[0][0] for number in (0, 1)]
    order += [n for n, _ in finish(dispatcher, order[0], 0.1)]
    assert order == [3, 4, 2]


@pytest.mark.parametrize(("deadline_s", "first"), [(0.6, 3), (0.12, 2)])
def test_an_urgent_late_request_goes_first_only_if_its_deadline_would_pass(
    deadline_s, first
):
    dispatcher, _ = make_dispatcher(servers=1)
    fill(dispatcher, 2)
    late = make_request(2, priority=0, target_s=-0.1, left_s=deadline_s)
    dispatcher.submit(2, late, 0.0)
    dispatcher.submit(3, make_request(3, priority=1), 0.0)
    ((number, _),) = finish(dispatcher, 0, 0.05)
    assert number == first


def test_a_less_urgent_waiting_request_gives_way_and_is_refused_at_once():
    dispatcher, _ = make_dispatcher(servers=1)
    fill(dispatcher, 2, priority=2)
    waiting = 2
    while dispatcher.submit(waiting, make_request(waiting, priority=2), 0.0) is None:
        waiting += 1
    for number in range(100, 110):
        urgent = make_request(number, priority=0)
        assert dispatcher.submit(number, urgent, 0.001) is None
    given_up = dispatcher.advance(0.02)
    assert given_up
    assert all(2 <= n < waiting and isinstance(d, Refused) for n, d in given_up)
    assert all("more urgent" in decision.reason for _, decision in given_up)


def test_retry_times_are_usable_and_spread():
    """Callers came back all at once, or were told times beyond their deadline."""
    load = Overload(make_dispatcher(servers=4)[0])
    load.play(1.6 * 4 * 2 / LATENCY_S, 4.0)
    usable = [(left, told) for left, told in load.retry_times if left > 0.2]
    assert len(usable) > 100
    assert all(0.05 <= told <= left / 3 + 0.001 for left, told in usable)
    assert len({round(told, 2) for _, told in usable}) > 15


def make_pending(number, arrived_at, target_at):
    pending = PendingRequest(number, make_request(number), arrived_at, target_at, 1.2)
    return pending


def test_only_a_caller_that_returns_as_told_goes_before_a_new_one():
    """Callers that repeated at once took the places of those that waited."""
    returns = ReturnTimes(Random(1))
    queue = RankedQueue("tags", "s0")
    line = queue.get_line(1)
    told_s = returns.choose(make_pending(0, 0.0, 0.7), line, 0.3, 40.0, 0.0)
    early = make_pending(1, 0.15, 0.7)
    assert not returns.claim_return(early, 0.15)
    returns.choose(early, line, 0.3, 40.0, 0.15)
    returned, other = (make_pending(n, told_s, 0.7) for n in (2, 3))
    assert returns.claim_return(returned, told_s)
    assert not returns.claim_return(other, told_s)
    returned.returned = True
    other.target_at = 0.6
    for pending in (other, returned):
        queue.insert(pending, late=False)
    assert [pending for _, pending in line.on_time] == [returned, other]


def test_requests_bound_to_a_full_region_do_not_block_those_behind_them():
    dispatcher, _ = make_dispatcher(servers=2)
    fill(dispatcher, 4)
    bound = evolve(make_request(4, priority=0), home_regions=("elsewhere",))
    dispatcher.submit(4, bound, 0.0)
    dispatcher.submit(5, make_request(5), 0.001)
    ((number, _),) = finish(dispatcher, 0, 0.05)
    assert number == 5
    assert dispatcher.cancel(4, 0.06) == []


def test_delays_on_links_count_toward_the_time_of_a_slot():
    """Requests were accepted for the target that their link made them miss."""
    accepted = {}
    for delay_s in (0.0, 0.05):
        dispatcher, _ = make_dispatcher(servers=1)
        now = 0.0
        for number in range(200):
            dispatcher.submit(number, make_request(number, key=0), now)
            now += LATENCY_S + delay_s
            finish(dispatcher, number, now)
        fill(dispatcher, 60, now, first=1000, key=0)
        (line,) = dispatcher._priority_admission._queues["tags", "s0"].lines
        accepted[delay_s] = len(line.on_time)
    assert accepted[0.05] < 0.7 * accepted[0.0]


@pytest.mark.parametrize("seed", range(4))
def test_each_request_gets_one_decision_and_leaves_nothing_behind(seed):
    """Random arrivals, ends, withdrawals and moves of keys."""
    rng = Random(seed)
    dispatcher, owners = make_dispatcher(servers=3, seed=seed)
    waiting, running = set(), set()

    def note(decisions):
        for number, decision in decisions:
            waiting.remove(number)
            if isinstance(decision, Assigned):
                running.add(number)

    now = 0.0
    for number in range(2000):
        now += rng.expovariate(150.0)
        target_s = rng.uniform(-0.3, 0.8)
        request = make_request(
            number, rng.randrange(3), rng.randrange(-1, 3), target_s, target_s + 0.5
        )
        waiting.add(number)
        decision = dispatcher.submit(number, request, now)
        if decision is not None:
            note([(number, decision)])
        action = rng.random()
        if action < 0.6 and running:
            ended = rng.choice(sorted(running))
            running.remove(ended)
            note(finish(dispatcher, ended, now))
        elif action < 0.7 and waiting:
            ended = rng.choice(sorted(waiting))
            waiting.remove(ended)
            note(dispatcher.cancel(ended, now))
        elif action < 0.75:
            owners.moved[rng.randrange(3)] = f"s{rng.randrange(3)}"
        else:
            note(dispatcher.advance(now))
        assert set(dispatcher._pending) == waiting | running
        loads = [dispatcher.get_load(f"s{index}").in_flight for index in range(3)]
        assert sum(loads) == len(running)
        assert max(loads) <= 2
    note(dispatcher.advance(now + 2.0))
    assert len(waiting) <= 0
