"""Dispatch decisions, played on small loads."""

from __future__ import annotations

from random import Random

import pytest

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
from basilwick.core.dispatch.server_selector import CapacityShare
from basilwick.core.dispatch.site import (
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)

ORDERS = ServiceSpec("orders", "/", 100, 3.0, 10.0)
MAPS = ServiceSpec("maps", "/", 100, 3.0, 10.0, partitioned=True)


class Owners:
    def __init__(self):
        self.owner = KeyOwner("m0")

    def find_owner(self, service, key, now):
        return self.owner


def make_server(name, service="orders", slots=2, **changes):
    values = {
        "data_centre": "a",
        "leaving": False,
        "warm_up_left_s": 0.0,
        "started_ms": 1,
        **changes,
    }
    return ServerEntry(name, service, f"{name}:1", slots=slots, **values)


def make_ask(number, service="orders", **changes):
    values = {
        "key": -1,
        "priority": 1,
        "target_left_s": 0.3,
        "time_left_s": 1.0,
        **changes,
    }
    return DispatchRequest(number, service, **values)


class Table:
    """A dispatcher with servers, and the decisions that it took."""

    def __init__(self, *servers, share=None, bounds=None):
        self.view = SiteView()
        services = {"orders": ORDERS, "maps": MAPS}
        self.view.apply_configuration(SiteConfiguration(1, (), services))
        for server in servers:
            self.view.apply_server(server, 0.0)
        self.owners = Owners()
        self.dispatcher = Dispatcher(
            self.view,
            self.owners,
            bounds or RetryBudget(0.1, 2.0, 10.0),
            {"a": "r1", "b": "r2"},
            Random(1),
            share,
        )

    def submit(self, ask, now=0.0):
        return self.dispatcher.submit(ask.number, ask, now)

    def finish(self, number, now, outcome=SendOutcome.OK, latency_s=0.05):
        return self.dispatcher.finish(
            number, SendFinished(number, outcome, latency_s), now
        )


@pytest.fixture
def table():
    return Table(make_server("o0"), make_server("o1"))


def test_requests_are_spread_and_slots_are_never_exceeded(table):
    sent = [table.submit(make_ask(n)).server for n in range(4)]
    assert sorted(sent) == ["o0", "o0", "o1", "o1"]
    assert table.submit(make_ask(4)) is None


def test_a_waiting_request_is_sent_when_a_slot_is_free(table):
    for number in range(5):
        table.submit(make_ask(number))
    ((number, decision),) = table.finish(0, 0.05)
    assert number == 4
    assert isinstance(decision, Assigned)


def test_the_more_urgent_request_is_sent_first(table):
    for number in range(4):
        table.submit(make_ask(number))
    table.submit(make_ask(4, priority=2))
    table.submit(make_ask(5, priority=0))
    ((number, _),) = table.finish(0, 0.05)
    assert number == 5


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once(table):
    decisions = [table.submit(make_ask(n, time_left_s=0.12)) for n in range(40)]
    refused = [d for d in decisions if isinstance(d, Refused)]
    assert refused
    assert all(0.05 <= d.retry_after_s <= 2.0 for d in refused)


def test_a_repeat_does_not_take_the_place_of_a_first_attempt(table):
    """Returning callers filled the queue of a hot key."""
    for number in range(4):
        table.submit(make_ask(number))
    table.submit(make_ask(4, target_left_s=-0.2))
    table.submit(make_ask(5))
    ((number, _),) = table.finish(0, 0.05)
    assert number == 5


def test_a_waiting_request_is_refused_before_its_deadline(table):
    for number in range(4):
        table.submit(make_ask(number))
    table.submit(make_ask(4, time_left_s=0.5))
    assert table.dispatcher.advance(0.2) == []
    decisions = table.dispatcher.advance(0.48)
    assert [(n, type(d)) for n, d in decisions] == [(4, Refused)]


def test_a_cancelled_request_frees_its_slot(table):
    for number in range(5):
        table.submit(make_ask(number))
    ((number, _),) = table.dispatcher.cancel(0, 0.01)
    assert number == 4
    assert table.dispatcher.cancel(4, 0.02) == []


def test_a_cancelled_waiting_request_is_not_sent(table):
    for number in range(6):
        table.submit(make_ask(number))
    table.dispatcher.cancel(4, 0.01)
    ((number, _),) = table.finish(0, 0.05)
    assert number == 5


def test_a_slow_server_gets_less():
    table = Table(make_server("quick", slots=8), make_server("slow", slots=8))
    counts = {"quick": 0, "slow": 0}
    for number in range(200):
        now = number * 0.02
        decision = table.submit(make_ask(number), now)
        counts[decision.server] += 1
        slow = decision.server == "slow"
        table.finish(number, now + 0.01, latency_s=0.3 if slow else 0.03)
    assert counts["slow"] < 0.2 * counts["quick"]


def test_a_server_that_cannot_be_reached_is_left_out_for_a_while(table):
    decision = table.submit(make_ask(0))
    table.finish(0, 0.1, SendOutcome.UNREACHABLE)
    others = {table.submit(make_ask(n), 0.1).server for n in (1, 2)}
    assert decision.server not in others


def test_a_request_with_little_time_left_does_not_block_its_server():
    """A short timeout at a busy server made it count as unreachable."""
    table = Table(make_server("o0"))
    table.submit(make_ask(0))
    table.finish(0, 0.1, SendOutcome.TIMEOUT, latency_s=0.04)
    assert isinstance(table.submit(make_ask(1), 0.1), Assigned)
    table.finish(1, 0.9, SendOutcome.TIMEOUT, latency_s=0.8)
    assert isinstance(table.submit(make_ask(2), 0.9), Refused)


def test_a_request_that_times_out_beside_answers_does_not_block_its_server():
    """One long request stopped all keys of a server that answered others."""
    table = Table(make_server("s0", slots=2))
    table.submit(make_ask(1), 0.0)
    table.submit(make_ask(2), 0.5)
    table.finish(2, 0.6, SendOutcome.OK, latency_s=0.1)
    table.finish(1, 0.9, SendOutcome.TIMEOUT, latency_s=0.9)
    assert isinstance(table.submit(make_ask(3), 0.95), Assigned)


def test_a_server_that_answers_nothing_is_left_out_for_a_while():
    table = Table(make_server("s0", slots=2))
    table.submit(make_ask(1), 0.0)
    table.finish(1, 0.9, SendOutcome.TIMEOUT, latency_s=0.9)
    assert isinstance(table.submit(make_ask(2), 0.95), Refused)


def count_sends_in_a_second(table):
    """Offer 500 requests in one second; sent ones end at once."""
    sent = 0
    for number in range(500):
        now = number * 0.002
        decisions = [(number, table.submit(make_ask(number, time_left_s=0.3), now))]
        decisions += table.dispatcher.advance(now)
        for ticket, decision in decisions:
            if isinstance(decision, Assigned):
                sent += 1
                table.finish(ticket, now)
    return sent


def test_a_cold_server_gets_no_more_than_its_rate():
    """A restarted server falls over under full load."""
    table = Table(make_server("cold", slots=50, warm_up_left_s=3.0))
    assert 5 <= count_sends_in_a_second(table) <= ORDERS.warm_up_rate + 2


def test_instances_that_decide_alone_share_the_rate_of_a_cold_server():
    share = CapacityShare(slots=1, warm_up_fraction=0.1)
    table = Table(make_server("cold", slots=50, warm_up_left_s=3.0), share=share)
    assert 1 <= count_sends_in_a_second(table) <= 0.1 * ORDERS.warm_up_rate + 2


def test_leaving_servers_and_data_centres_out_get_nothing():
    table = Table(
        make_server("o0", leaving=True),
        make_server("o1", data_centre="b"),
        make_server("o2"),
    )
    table.view.set_data_centre_out("b", True, 0.0)
    assert {table.submit(make_ask(n)).server for n in (0, 1)} == {"o2"}


def test_a_large_body_stays_in_its_data_centre():
    """Bytes between data centres are paid for."""
    servers = [make_server(f"a{n}", slots=4) for n in range(2)]
    servers += [make_server(f"b{n}", slots=4, data_centre="b") for n in range(4)]
    table = Table(*servers)
    asks = [make_ask(n, data_centre="a", size_bytes=60_000) for n in range(10)]
    sent = [table.submit(ask).server[0] for ask in asks]
    assert sent == ["a"] * 8 + ["b"] * 2


def test_requests_with_homes_stay_in_their_region():
    table = Table(make_server("o0"), make_server("o1", data_centre="b"))
    asks = [make_ask(n, home_regions=("r2",)) for n in range(3)]
    decisions = [table.submit(ask) for ask in asks]
    assert [d and d.server for d in decisions] == ["o1", "o1", None]


def test_additional_sends_stay_within_the_bounds(table):
    for number in range(20):
        table.submit(make_ask(number))
        table.finish(number, 0.0)
    allowed = 0
    for number in range(100, 120):
        decision = table.submit(make_ask(number, attempt=2))
        if isinstance(decision, Assigned):
            allowed += 1
            table.finish(number, 0.0)
    assert allowed == 4


def test_a_repeat_prefers_a_server_that_was_not_tried(table):
    assert table.submit(make_ask(0, tried_servers=("o0",))).server == "o1"
    assert table.submit(make_ask(1, tried_servers=("o1",))).server == "o0"


def test_requests_for_a_key_go_to_its_owner_only():
    table = Table(make_server("m0", "maps"), make_server("m1", "maps"))
    decisions = [table.submit(make_ask(n, "maps", key=1)) for n in range(3)]
    assert [d and d.server for d in decisions] == ["m0", "m0", None]


def test_requests_wait_while_their_key_is_handed_over():
    table = Table(make_server("m0", "maps"), make_server("m1", "maps"))
    table.owners.owner = KeyOwner(None, moving=True)
    assert table.submit(make_ask(0, "maps", key=1)) is None
    table.owners.owner = KeyOwner("m1")
    ((_, decision),) = table.dispatcher.advance(0.1)
    assert decision.server == "m1"


def test_a_long_hand_over_ends_in_a_refusal():
    table = Table(make_server("m0", "maps"))
    table.owners.owner = KeyOwner(None, moving=True)
    table.submit(make_ask(0, "maps", key=1))
    ((_, decision),) = table.dispatcher.advance(0.45)
    assert isinstance(decision, Refused)


def test_a_hand_over_is_awaited_while_the_target_can_be_met():
    """Requests with a second to spare were refused after 0.4 s of a hand-over."""
    table = Table(make_server("m0", "maps"))
    table.owners.owner = KeyOwner(None, moving=True)
    ask = make_ask(1, "maps", key=5, target_left_s=1.0, time_left_s=6.0)
    assert table.submit(ask) is None
    assert table.dispatcher.advance(0.8) == []
    table.owners.owner = KeyOwner("m0")
    ((_, decision),) = table.dispatcher.advance(0.85)
    assert isinstance(decision, Assigned)


def test_waiting_requests_follow_their_key_to_its_new_owner():
    table = Table(make_server("m0", "maps"), make_server("m1", "maps"))
    for number in range(3):
        table.submit(make_ask(number, "maps", key=1))
    table.owners.owner = KeyOwner("m1")
    ((number, decision),) = table.dispatcher.advance(0.02)
    assert (number, decision.server) == (2, "m1")


def test_a_key_without_owner_is_refused_at_once():
    table = Table(make_server("m0", "maps"))
    table.owners.owner = KeyOwner(None, available_in_s=1.0)
    decision = table.submit(make_ask(0, "maps", key=1))
    assert isinstance(decision, Refused)
    assert decision.retry_after_s >= 0.7


def test_an_unknown_service_is_refused(table):
    assert isinstance(table.submit(make_ask(0, "none")), Refused)
