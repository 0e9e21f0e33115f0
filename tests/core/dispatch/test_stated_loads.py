"""Dispatch decisions by the loads that servers state."""

from __future__ import annotations

from random import Random

import pytest

from basilwick.core.dispatch.capacity import CapacityShare
from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.dispatch.load_report import LoadReport
from basilwick.core.dispatch.load_spread import measure_load_spread
from basilwick.core.dispatch.messages import DispatchRequest, SendFinished, SendOutcome
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.site import (
    Route,
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)
from basilwick.core.types import Operation
from benchmarks.stated_loads import play_deciders

SERVICES = {
    "blobs": ServiceSpec("blobs", "/", 100, 3.0, 10.0),
    "tags": ServiceSpec("tags", "/", 100, 3.0, 10.0, partitioned=True),
}


class SingleOwner:
    def find_owner(self, service, key, now):
        return KeyOwner("s0")


class Harness:
    """A dispatcher and servers that state their loads."""

    def __init__(self, *names, service="blobs", slots=2, bulk=True, share=None):
        route = Route(
            "r", "h", "/", Operation.IDEMPOTENT, (), 1.0, 0.3, 0, 2, frozenset(), bulk
        )
        self.view = SiteView()
        self.view.apply_configuration(SiteConfiguration(1, (route,), SERVICES))
        for name in names:
            entry = ServerEntry(name, service, f"{name}:1", "a", slots, False, 0.0, 1)
            self.view.apply_server(entry, 0.0)
        self.service = service
        self.dispatcher = Dispatcher(
            self.view, SingleOwner(), RetryBudget(), {"a": "r1"}, Random(1), share
        )
        self.count = 0

    def submit(self, now, key=-1, time_left_s=2.0):
        self.count += 1
        request = DispatchRequest(
            self.count, self.service, key, 1, 0.3, time_left_s, data_centre="a"
        )
        return self.dispatcher.submit(self.count, request, now)

    def finish(self, number, now, latency_s=0.1, load=(), outcome=SendOutcome.OK):
        done = SendFinished(number, outcome, latency_s, None, 0.0, False, *load)
        return self.dispatcher.finish(number, done, now)


@pytest.mark.parametrize(("bulk", "is_queued"), [(True, True), (False, False)])
def test_a_spell_that_has_ended_refuses_nothing(bulk, is_queued):
    """Owners of keys counted as slow for seconds after a spell of 0.4 s."""
    harness = Harness("s0", service="tags", bulk=bulk)
    for step in range(60):
        decision = harness.submit(step * 0.1, key=1)
        slowdown = 3 if step >= 52 else 1
        load = (0, 0, 2, 100 * slowdown)
        harness.finish(decision.number, step * 0.1, 0.1 * slowdown, load)
    running = [harness.submit(6.4, key=1) for _ in range(2)]
    assert all(running)
    assert (harness.submit(6.4, key=1, time_left_s=0.3) is None) == is_queued


def test_an_instance_by_itself_uses_the_room_that_a_server_stated():
    """Cut-off instances refused requests while servers had idle slots."""
    harness = Harness("s0", slots=4, share=CapacityShare(slots=1))
    decision = harness.submit(1.0)
    assert harness.submit(1.0) is None
    # One of the waiting requests is sent when the first one ends; two are running
    # elsewhere, and the answered one may be counted.
    harness.finish(decision.number, 1.1, load=(3, 0, 4, 100))
    sent = [harness.submit(1.1) for _ in range(4)]
    assert [bool(decision) for decision in sent] == [True, False, False, False]
    assert harness.dispatcher.get_load("s0").in_flight == 2


def test_an_instance_by_itself_never_exceeds_the_slots_of_a_server_that_lies():
    harness = Harness("s0", slots=2, share=CapacityShare(slots=1))
    harness.finish(harness.submit(1.0).number, 1.1, load=(0, 0, 1_000, 10))
    sent = [harness.submit(1.1) for _ in range(9)]
    assert sum(bool(decision) for decision in sent) == 2


def test_an_instance_by_itself_sends_one_request_by_an_old_report():
    """A server that once stated to be full was never tried again."""
    harness = Harness("s0", "s1", slots=4, share=CapacityShare(slots=1))
    for name in ("s0", "s1"):
        load = harness.dispatcher.get_load(name)
        load.record_report(LoadReport(4, 4, 4, 1.0), False, 1.0)
    assert harness.submit(1.05) is None
    assert len(harness.dispatcher.advance(2.0)) == 1
    assert [bool(harness.submit(2.0)) for _ in range(2)] == [True, False]


def test_the_leader_leaves_slots_to_requests_of_other_origin():
    """The leader filled servers that cut-off instances had filled already."""
    harness = Harness("s0", slots=4)
    for now in (1.0, 1.1):
        harness.finish(harness.submit(now).number, now, load=(3, 0, 4, 100))
    assert [bool(harness.submit(1.1)) for _ in range(3)] == [True, True, False]
    assert len(harness.dispatcher.advance(2.0)) == 1


def test_a_server_that_always_states_to_be_full_still_gets_requests_of_the_leader():
    harness = Harness("s0", slots=4)
    for step in range(20):
        decision = harness.submit(step * 0.1)
        assert decision is not None
        harness.finish(decision.number, step * 0.1, load=(4, 40, 4, 300))


LIARS = {"s0": "empty", "s1": "full", "s2": "empty", "s5": "full"}
SILENT = {f"s{index}": "none" for index in range(24)}


@pytest.mark.parametrize("states", [{}, LIARS, SILENT])
@pytest.mark.parametrize("seed", [1, 2])
def test_deciders_with_the_same_old_figures_do_not_choose_the_same_servers(
    states, seed
):
    """All cut-off instances sent to the server that had looked best.

    Callers need that no server is asked for more than its slots' worth while others
    could serve them: with servers used by seven tenths, the busiest one stays below
    1 / 0.7 of the mean. Requests wait at a server while slots are idle elsewhere for no
    longer than the figures are old and a spell lasts.
    """
    result = play_deciders(True, utilization=0.7, states=states, seed=seed)
    former = play_deciders(False, utilization=0.7, states=states, seed=seed)
    assert result.busiest_to_mean < 1 / 0.7 < former.busiest_to_mean
    assert result.longest_overload_s <= 0.8 + 0.4
    assert result.on_time_share > former.on_time_share
    assert result.rejected < former.rejected


def test_the_spread_leaves_out_servers_that_state_no_load():
    harness = Harness("s0", "s1", "s2")
    for name, held in (("s0", 1), ("s1", 3)):
        load = harness.dispatcher.get_load(name)
        for step in range(300):
            load.record_report(LoadReport(held, 0, 4), False, step * 0.1)
    spread = measure_load_spread(harness.view, harness.dispatcher, "blobs", 30.0)
    assert spread.report_ages_s == pytest.approx([0.1, 0.1])
    assert spread.busiest_to_mean == pytest.approx(1.5, rel=0.05)
