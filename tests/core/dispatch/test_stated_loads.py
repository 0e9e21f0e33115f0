"""Dispatch decisions by the loads that servers state."""

from __future__ import annotations

from random import Random

import pytest

from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.key_owners import KeyOwner
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
