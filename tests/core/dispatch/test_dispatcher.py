"""Dispatch decisions under small loads."""

from __future__ import annotations

from random import Random

import pytest

from basilwick.core.dispatch.capacity import CapacityShare
from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.dispatch.messages import (
    Assigned,
    DispatchRequest,
    Refused,
    SendFinished,
    SendOutcome,
)
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.site import (
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)

ORDERS = ServiceSpec("orders", "/", 100, 3.0, 10.0)
MAPS = ServiceSpec("maps", "/", 100, 3.0, 10.0, partitioned=True)


class SingleOwner:
    def __init__(self):
        self.owner = KeyOwner("m0")

    def find_owner(self, service, key, now):
        return self.owner


def make_server(name, service="orders", slots=2, **changes):
    fields = {
        "data_centre": "a",
        "leaving": False,
        "warm_up_left_s": 0.0,
        "started_ms": 1,
        **changes,
    }
    return ServerEntry(name, service, f"{name}:1", slots=slots, **fields)


def make_request(number, service="orders", **changes):
    fields = {
        "key": -1,
        "priority": 1,
        "target_left_s": 0.3,
        "time_left_s": 1.0,
        **changes,
    }
    return DispatchRequest(number, service, **fields)


class DispatcherHarness:
    """A dispatcher with a site of servers and one owner for all keys."""

    def __init__(self, *servers, share=None, bounds=None):
        self.view = SiteView()
        services = {"orders": ORDERS, "maps": MAPS}
        self.view.apply_configuration(SiteConfiguration(1, (), services))
        for server in servers:
            self.view.apply_server(server, 0.0)
        self.owners = SingleOwner()
        self.dispatcher = Dispatcher(
            self.view,
            self.owners,
            bounds or RetryBudget(0.1, 2.0, 10.0),
            {"a": "r1", "b": "r2"},
            Random(1),
            share,
        )

    def submit(self, request, now=0.0):
        return self.dispatcher.submit(request.number, request, now)

    def finish(self, number, now, outcome=SendOutcome.OK, latency_s=0.05):
        return self.dispatcher.finish(
            number, SendFinished(number, outcome, latency_s), now
        )


@pytest.fixture
def harness():
    return DispatcherHarness(make_server("o0"), make_server("o1"))


def test_requests_are_spread_and_slots_are_never_exceeded(harness):
    assigned = [harness.submit(make_request(n)).server for n in range(4)]
    assert sorted(assigned) == ["o0", "o0", "o1", "o1"]
    assert harness.submit(make_request(4)) is None


def test_a_waiting_request_is_sent_when_a_slot_is_free(harness):
    for number in range(5):
        harness.submit(make_request(number))
    ((number, decision),) = harness.finish(0, 0.05)
    assert number == 4
    assert isinstance(decision, Assigned)


def test_the_request_of_higher_priority_is_sent_first(harness):
    for number in range(4):
        harness.submit(make_request(number))
    harness.submit(make_request(4, priority=2))
    harness.submit(make_request(5, priority=0))
    ((number, _),) = harness.finish(0, 0.05)
    assert number == 5


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once(harness):
    decisions = [harness.submit(make_request(n, time_left_s=0.12)) for n in range(40)]
    refused = [d for d in decisions if isinstance(d, Refused)]
    assert refused
    assert all(0.05 <= d.retry_after_s <= 2.0 for d in refused)


def test_a_retry_does_not_displace_a_first_attempt(harness):
    """Retries of refused callers filled the queue of a hot key."""
    for number in range(4):
        harness.submit(make_request(number))
    harness.submit(make_request(4, target_left_s=-0.2))
    harness.submit(make_request(5))
    ((number, _),) = harness.finish(0, 0.05)
    assert number == 5


def test_a_waiting_request_is_refused_before_its_deadline(harness):
    for number in range(4):
        harness.submit(make_request(number))
    harness.submit(make_request(4, time_left_s=0.5))
    assert harness.dispatcher.advance(0.2) == []
    decisions = harness.dispatcher.advance(0.48)
    assert [(n, type(d)) for n, d in decisions] == [(4, Refused)]


def test_a_cancelled_request_frees_its_slot(harness):
    for number in range(5):
        harness.submit(make_request(number))
    ((number, _),) = harness.dispatcher.cancel(0, 0.01)
    assert number == 4
    assert harness.dispatcher.cancel(4, 0.02) == []


def test_a_cancelled_waiting_request_is_not_sent(harness):
    for number in range(6):
        harness.submit(make_request(number))
    harness.dispatcher.cancel(4, 0.01)
    ((number, _),) = harness.finish(0, 0.05)
    assert number == 5


def test_a_slow_server_gets_fewer_requests():
    harness = DispatcherHarness(
        make_server("quick", slots=8), make_server("slow", slots=8)
    )
    counts = {"quick": 0, "slow": 0}
    for number in range(200):
        now = number * 0.02
        decision = harness.submit(make_request(number), now)
        counts[decision.server] += 1
        slow = decision.server == "slow"
        harness.finish(number, now + 0.01, latency_s=0.3 if slow else 0.03)
    assert counts["slow"] < 0.2 * counts["quick"]


def test_an_unreachable_server_gets_no_requests_for_a_while(harness):
    decision = harness.submit(make_request(0))
    harness.finish(0, 0.1, SendOutcome.UNREACHABLE)
    others = {harness.submit(make_request(n), 0.1).server for n in (1, 2)}
    assert decision.server not in others


def test_a_request_with_little_time_left_does_not_block_its_server():
    """A short timeout at a busy server made the server count as unreachable."""
    harness = DispatcherHarness(make_server("o0"))
    harness.submit(make_request(0))
    harness.finish(0, 0.1, SendOutcome.TIMEOUT, latency_s=0.04)
    assert isinstance(harness.submit(make_request(1), 0.1), Assigned)
    harness.finish(1, 0.9, SendOutcome.TIMEOUT, latency_s=0.8)
    assert isinstance(harness.submit(make_request(2), 0.9), Refused)


def test_a_timeout_does_not_block_a_server_that_answers_others():
    """One slow request blocked all keys of a server that answered other requests."""
    harness = DispatcherHarness(make_server("s0", slots=2))
    harness.submit(make_request(1), 0.0)
    harness.submit(make_request(2), 0.5)
    harness.finish(2, 0.6, SendOutcome.OK, latency_s=0.1)
    harness.finish(1, 0.9, SendOutcome.TIMEOUT, latency_s=0.9)
    assert isinstance(harness.submit(make_request(3), 0.95), Assigned)


def test_an_unresponsive_server_gets_no_requests_for_a_while():
    harness = DispatcherHarness(make_server("s0", slots=2))
    harness.submit(make_request(1), 0.0)
    harness.finish(1, 0.9, SendOutcome.TIMEOUT, latency_s=0.9)
    assert isinstance(harness.submit(make_request(2), 0.95), Refused)


def count_assigned_in_a_second(harness):
    """Submit 500 requests in one second; assigned ones finish at once."""
    assigned = 0
    for number in range(500):
        now = number * 0.002
        decisions = [
            (number, harness.submit(make_request(number, time_left_s=0.3), now))
        ]
        decisions += harness.dispatcher.advance(now)
        for request_id, decision in decisions:
            if isinstance(decision, Assigned):
                assigned += 1
                harness.finish(request_id, now)
    return assigned


def test_a_cold_server_gets_no_more_than_its_warm_up_rate():
    """A restarted server fails under full load."""
    harness = DispatcherHarness(make_server("cold", slots=50, warm_up_left_s=3.0))
    assert 5 <= count_assigned_in_a_second(harness) <= ORDERS.warm_up_rate + 2


def test_a_warm_up_that_a_response_states_reaches_the_dispatcher():
    """Only the instance that read the response kept the warm-up rate, no leader did."""
    harness = DispatcherHarness(make_server("o0", slots=50))
    harness.submit(make_request(9_000))
    done = SendFinished(9_000, SendOutcome.OK, 0.05, warm_up_left_s=3.0)
    harness.dispatcher.finish(9_000, done, 0.0)
    assert 5 <= count_assigned_in_a_second(harness) <= ORDERS.warm_up_rate + 2


def test_instances_without_a_leader_share_the_warm_up_rate():
    share = CapacityShare(slots=1, rate_fraction=0.1)
    harness = DispatcherHarness(
        make_server("cold", slots=50, warm_up_left_s=3.0), share=share
    )
    assert 1 <= count_assigned_in_a_second(harness) <= 0.1 * ORDERS.warm_up_rate + 2


def test_leaving_servers_and_data_centres_out_get_no_requests():
    harness = DispatcherHarness(
        make_server("o0", leaving=True),
        make_server("o1", data_centre="b"),
        make_server("o2"),
    )
    harness.view.set_data_centre_out("b", True, 0.0)
    assert {harness.submit(make_request(n)).server for n in (0, 1)} == {"o2"}


def test_a_large_body_stays_in_its_data_centre():
    """Traffic between data centres is paid for."""
    servers = [make_server(f"a{n}", slots=4) for n in range(2)]
    servers += [make_server(f"b{n}", slots=4, data_centre="b") for n in range(4)]
    harness = DispatcherHarness(*servers)
    requests = [make_request(n, data_centre="a", size_bytes=60_000) for n in range(10)]
    assigned = [harness.submit(request).server[0] for request in requests]
    assert assigned == ["a"] * 8 + ["b"] * 2


def test_requests_with_home_regions_stay_there():
    harness = DispatcherHarness(make_server("o0"), make_server("o1", data_centre="b"))
    requests = [make_request(n, home_regions=("r2",)) for n in range(3)]
    decisions = [harness.submit(request) for request in requests]
    assert [d and d.server for d in decisions] == ["o1", "o1", None]


def test_retries_stay_within_the_budget(harness):
    for number in range(20):
        harness.submit(make_request(number))
        harness.finish(number, 0.0)
    allowed = 0
    for number in range(100, 120):
        decision = harness.submit(make_request(number, attempt=2))
        if isinstance(decision, Assigned):
            allowed += 1
            harness.finish(number, 0.0)
    assert allowed == 4


def test_a_retry_prefers_a_server_that_was_not_tried(harness):
    assert harness.submit(make_request(0, tried_servers=("o0",))).server == "o1"
    assert harness.submit(make_request(1, tried_servers=("o1",))).server == "o0"


def test_requests_for_a_key_go_to_its_owner_only():
    harness = DispatcherHarness(make_server("m0", "maps"), make_server("m1", "maps"))
    decisions = [harness.submit(make_request(n, "maps", key=1)) for n in range(3)]
    assert [d and d.server for d in decisions] == ["m0", "m0", None]


def test_requests_wait_while_their_key_is_handed_over():
    harness = DispatcherHarness(make_server("m0", "maps"), make_server("m1", "maps"))
    harness.owners.owner = KeyOwner(None, moving=True)
    assert harness.submit(make_request(0, "maps", key=1)) is None
    harness.owners.owner = KeyOwner("m1")
    ((_, decision),) = harness.dispatcher.advance(0.1)
    assert decision.server == "m1"


def test_a_long_handover_ends_in_a_refusal():
    harness = DispatcherHarness(make_server("m0", "maps"))
    harness.owners.owner = KeyOwner(None, moving=True)
    harness.submit(make_request(0, "maps", key=1))
    ((_, decision),) = harness.dispatcher.advance(0.45)
    assert isinstance(decision, Refused)


def test_a_handover_is_awaited_while_the_target_can_be_met():
    """Requests with a second to spare were refused after 0.4 s of a handover."""
    harness = DispatcherHarness(make_server("m0", "maps"))
    harness.owners.owner = KeyOwner(None, moving=True)
    request = make_request(1, "maps", key=5, target_left_s=1.0, time_left_s=6.0)
    assert harness.submit(request) is None
    assert harness.dispatcher.advance(0.8) == []
    harness.owners.owner = KeyOwner("m0")
    ((_, decision),) = harness.dispatcher.advance(0.85)
    assert isinstance(decision, Assigned)


def test_waiting_requests_follow_their_key_to_its_new_owner():
    harness = DispatcherHarness(make_server("m0", "maps"), make_server("m1", "maps"))
    for number in range(3):
        harness.submit(make_request(number, "maps", key=1))
    harness.owners.owner = KeyOwner("m1")
    ((number, decision),) = harness.dispatcher.advance(0.02)
    assert (number, decision.server) == (2, "m1")


def test_a_key_without_owner_is_refused_at_once():
    harness = DispatcherHarness(make_server("m0", "maps"))
    harness.owners.owner = KeyOwner(None, available_in_s=1.0)
    decision = harness.submit(make_request(0, "maps", key=1))
    assert isinstance(decision, Refused)
    assert decision.retry_after_s >= 0.7


def test_an_unknown_service_is_refused(harness):
    assert isinstance(harness.submit(make_request(0, "none")), Refused)
