"""Dispatch decisions under the rate limits that servers state."""

from __future__ import annotations

from random import Random

import pytest

from basilwick.core.dispatch.capacity import CapacityShare
from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.instance_window import InstanceWindow
from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.dispatch.messages import (
    UNLIMITED_RATE,
    Assigned,
    DispatchRequest,
    RateLimitReport,
    Refused,
    SendFinished,
    SendOutcome,
)
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.site import (
    Route,
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)
from basilwick.core.types import Operation

#: Window in seconds in which a limit binds.
WINDOW_S = 4.0
LATENCY_S = 0.05


class OwnerOfAll:
    def find_owner(self, service, key, now):
        return KeyOwner("s0")


class Load:
    """One dispatcher and the requests that it assigned; time is simulated."""

    def __init__(self, servers=1, share=None, seed=1, partitioned=False, bulk=False):
        self.view = SiteView()
        spec = ServiceSpec("maps", "/", 100, 3.0, 10.0, partitioned=partitioned)
        route = Route(
            "r", "h", "/", Operation.IDEMPOTENT, (), 1.0, 0.3, 0, 2, frozenset(), bulk
        )
        configuration = SiteConfiguration(1, (route,), {"maps": spec})
        self.view.apply_configuration(configuration)
        for index in range(servers):
            name = f"s{index}"
            entry = ServerEntry(name, "maps", f"{name}:1", "a", 4, False, 0.0, 1)
            self.view.apply_server(entry, 0.0)
        budget = RetryBudget(0.1, 2.0, 10.0)
        self.dispatcher = Dispatcher(
            self.view, OwnerOfAll(), budget, {}, Random(seed), share
        )
        self.now = 0.0
        self.sent = []
        self.refused = []
        self.running = {}
        self.number = 0
        self.stated = None

    def state_limit(self, rate_limit, server="s0"):
        self.dispatcher.record_rate_limit(RateLimitReport(server, rate_limit), self.now)

    def play(self, rate, duration_s, outcome=SendOutcome.OK):
        """Offer requests at a steady rate; each assigned one takes `LATENCY_S`."""
        end = self.now + duration_s
        next_arrival = self.now
        while self.now < end:
            self.now += 0.01
            if self.now >= next_arrival:
                next_arrival += 1.0 / rate
                self._submit()
            for number, done_at in list(self.running.items()):
                if done_at <= self.now:
                    del self.running[number]
                    done = SendFinished(number, outcome, LATENCY_S, self.stated)
                    self._note(self.dispatcher.finish(number, done, self.now))
            self._note(self.dispatcher.advance(self.now))

    def _submit(self):
        self.number += 1
        request = DispatchRequest(self.number, "maps", 7, 1, 0.2, 1.2)
        decision = self.dispatcher.submit(self.number, request, self.now)
        if decision is not None:
            self._note([(self.number, decision)])

    def _note(self, decisions):
        for number, decision in decisions:
            if isinstance(decision, Assigned):
                self.sent.append((self.now, decision.server))
                self.running[number] = self.now + LATENCY_S
            else:
                self.refused.append(decision)

    def count_sent(self, server="s0", since=0.0):
        return sum(name == server and at >= since for at, name in self.sent)


def count_in_worst_window(times):
    times = sorted(times)
    return max(sum(t <= u < t + WINDOW_S for u in times) for t in times)


@pytest.mark.parametrize("rate_limit", [0.5, 3.0, 13.5, 40.0])
def test_a_server_gets_no_more_than_the_limit_that_it_states(rate_limit):
    load = Load()
    load.state_limit(rate_limit)
    load.play(60.0, 20.0)
    worst = count_in_worst_window([at for at, _ in load.sent])
    assert 0.9 * rate_limit * WINDOW_S - 1 <= worst <= 1.1 * rate_limit * WINDOW_S + 2


def test_an_idle_time_adds_no_burst_to_a_limit():
    load = Load()
    load.state_limit(3.0)
    load.play(60.0, 2.0)
    load.now += 60.0
    before = len(load.sent)
    load.play(60.0, WINDOW_S)
    assert len(load.sent) - before <= 3.0 * WINDOW_S + 2


def test_what_a_limited_owner_cannot_serve_is_refused_at_once_with_its_reason():
    """Requests waited for a server that was known to have no room in time."""
    load = Load(partitioned=True)
    load.state_limit(5.0)
    load.play(40.0, 1.0)
    number = load.number + 1
    request = DispatchRequest(number, "maps", 7, 1, 0.2, 0.3)
    decision = load.dispatcher.submit(number, request, load.now)
    assert isinstance(decision, Refused)
    assert "rates of cold or limited servers" in decision.reason
    assert 0.05 < decision.retry_after_s <= 2.0


def test_other_servers_get_what_a_limited_one_cannot_take():
    load = Load(servers=2)
    load.state_limit(4.0)
    load.play(40.0, 5.0)
    assert load.count_sent("s0") <= 4.0 * 5 + 2
    assert load.count_sent("s1") >= 40.0 * 5 - load.count_sent("s0") - 5
    assert not load.refused


def test_a_limit_of_zero_ends_although_the_server_gets_few_requests():
    """A server without requests could never state that its limit has ended."""
    load = Load()
    load.state_limit(0.0)
    load.stated = 0.0
    load.play(30.0, 20.0)
    assert count_in_worst_window([at for at, _ in load.sent]) <= 5
    assert len(load.sent) >= 4
    load.stated = UNLIMITED_RATE
    load.play(30.0, 10.0)
    assert load.count_sent(since=25.0) > 100


def test_a_changed_limit_is_applied_at_once():
    load = Load()
    load.state_limit(40.0)
    load.stated = 40.0
    load.play(60.0, 3.0)
    load.stated = 5.0
    load.play(60.0, 0.2)
    changed_at = load.now
    load.play(60.0, 5.0)
    assert load.count_sent(since=changed_at) <= 5.0 * 5 + 2


def test_requests_that_were_not_sent_do_not_use_up_the_limit():
    load = Load()
    load.state_limit(1.0)
    load.play(20.0, 0.2, outcome=SendOutcome.UNREACHABLE)
    sent = len(load.sent)
    assert sent
    load.now += 0.3
    load.play(20.0, 0.1)
    assert len(load.sent) == sent + 1


@pytest.mark.parametrize("bulk", [False, True])
@pytest.mark.parametrize(("instances", "rate_limit"), [(10, 13.0), (80, 13.0), (40, 4)])
def test_instances_that_decide_by_themselves_keep_the_limit_together(
    instances, rate_limit, bulk
):
    """Each instance without a leader sent its first request at once."""
    sent = []
    for index in range(instances):
        share = CapacityShare(slots=1, rate_fraction=1.0 / instances)
        load = Load(share=share, seed=index, bulk=bulk)
        load.state_limit(rate_limit)
        load.play(20.0, 12.0)
        sent += [at for at, _ in load.sent]
    worst = count_in_worst_window(sent)
    assert 0.5 * rate_limit * WINDOW_S <= worst <= 1.5 * rate_limit * WINDOW_S + 5


def test_two_leaders_keep_the_limit_together():
    """Each of two leaders at a time sent as many requests as the limit allows."""
    sent = []
    for linked in (4, 6):
        window = InstanceWindow()
        window.record(10, 0.0)
        window.record(linked, 0.1)
        load = Load(share=CapacityShare(rate_fraction=linked / window.largest))
        load.state_limit(13.0)
        load.play(60.0, 9.0)
        sent += [at for at, _ in load.sent]
    assert count_in_worst_window(sent) <= 13.0 * WINDOW_S + 4


def test_instances_that_are_gone_for_long_no_longer_count():
    window = InstanceWindow()
    window.record(10, 9.9)
    window.record(6, 19.9)
    assert window.largest == 10
    window.record(6, 20.1)
    assert window.largest == 6
    window.record(3, 60.0)
    assert window.largest == 3
