"""Large answers stay in their data centre while a server there has room."""

from __future__ import annotations

from bisect import insort
from random import Random

from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.messages import (
    Assigned,
    DispatchRequest,
    SendFinished,
    SendOutcome,
)
from basilwick.core.dispatch.response_sizes import ResponseSizeEstimator
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.site import (
    Route,
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)
from basilwick.core.types import Operation

ROUTE = Route("r", "h", "/", Operation.IDEMPOTENT, (), 1.0, 0.3, 0, 2)
LARGE = Route(
    "l", "h", "/", Operation.IDEMPOTENT, (), 1.0, 0.3, 0, 2, frozenset(), True
)
SLOTS = 3


def test_the_kind_of_a_route_tells_until_its_answers_do():
    sizes = ResponseSizeEstimator()
    assert sizes.estimate(LARGE) > 10 * sizes.estimate(ROUTE)
    sizes.record(LARGE, 1_000)
    assert sizes.estimate(LARGE) == 1_000
    for _ in range(100):
        sizes.record(ROUTE, 90_000)
    assert sizes.estimate(ROUTE) > 80_000


def test_routes_that_are_gone_are_forgotten():
    sizes = ResponseSizeEstimator()
    sizes.record(LARGE, 1_000)
    sizes.retain_routes((ROUTE,))
    assert sizes.estimate(LARGE) > 1_000


def play_load(size_bytes, requests_per_s):
    """Return the share of requests that cross, and that are refused, in ten seconds.

    Two data centres have three servers each. All requests come from the first one. The
    servers of the second one are a little quicker.
    """
    view = SiteView()
    spec = ServiceSpec("s", "/health", 100, 1.0, 10.0)
    view.apply_configuration(SiteConfiguration(1, (), {"s": spec}))
    for index in range(6):
        data_centre = "ab"[index % 2]
        entry = ServerEntry(
            f"s{index}", "s", f"10.0.0.{index}:1", data_centre, SLOTS, False, 0.0, 1
        )
        view.apply_server(entry, 0.0)
    regions = {"a": "r", "b": "r"}
    dispatcher = Dispatcher(view, None, RetryBudget(), regions, Random(1))
    rng = Random(2)
    ends: list[tuple[float, int, float]] = []
    crossed = refused = count = 0
    now = 0.0

    def take(number, decision):
        nonlocal crossed, refused
        if isinstance(decision, Assigned):
            far = int(decision.server[1:]) % 2
            crossed += far
            work_s = 0.04 if far else 0.05
            insort(ends, (now + work_s, number, work_s))
        elif decision is not None:
            refused += 1

    while now < 10.0:
        arrival = now + rng.expovariate(requests_per_s)
        while ends and ends[0][0] <= arrival:
            now, number, work_s = ends.pop(0)
            done = SendFinished(number, SendOutcome.OK, work_s)
            for waiting, decision in dispatcher.finish(number, done, now):
                take(waiting, decision)
        now = arrival
        count += 1
        ask = DispatchRequest(
            count, "s", -1, 0, 0.3, 1.0, data_centre="a", size_bytes=size_bytes
        )
        take(count, dispatcher.submit(count, ask, now))
    return crossed / count, refused / count


def test_large_answers_stay_in_their_data_centre_at_moderate_load():
    """At 60 of 180 requests a second, half of the answers crossed for 10 ms."""
    crossed, refused = play_load(200_000, 60.0)
    assert (crossed < 0.05, refused) == (True, 0.0)


def test_small_answers_take_the_quickest_server():
    crossed, _ = play_load(2_000, 60.0)
    assert crossed > 0.5


def test_large_answers_cross_when_the_own_data_centre_has_no_room():
    crossed, refused = play_load(200_000, 260.0)
    assert crossed > 0.3
    assert refused < 0.02
