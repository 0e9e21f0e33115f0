"""Plays callers and servers against a dispatcher, without a network or a clock."""

from __future__ import annotations

from bisect import insort
from collections import Counter
from random import Random

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
    Route,
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)
from basilwick.core.types import Operation

BULK_ROUTE = Route(
    "l", "h", "/", Operation.IDEMPOTENT, (), 1.0, 0.3, 0, 2, frozenset(), True
)
TARGET_S = 0.7
TIMEOUT_S = 1.2


class OwnerByKey:
    """Key N belongs to server N, or to the server that a test names."""

    def __init__(self):
        self.moved = {}

    def find_owner(self, service, key, now):
        return KeyOwner(self.moved.get(key, f"s{key}"))


def make_dispatcher(servers=4, slots=2, bulk=True, seed=1):
    view = SiteView()
    spec = ServiceSpec("tags", "/", 100, 3.0, 10.0, partitioned=True)
    routes = (BULK_ROUTE,) if bulk else ()
    view.apply_configuration(SiteConfiguration(1, routes, {"tags": spec}))
    for index in range(servers):
        name = f"s{index}"
        entry = ServerEntry(name, "tags", f"{name}:1", "a", slots, False, 0.0, 1)
        view.apply_server(entry, 0.0)
    owners = OwnerByKey()
    budget = RetryBudget(0.2, 60.0, 10.0)
    return Dispatcher(view, owners, budget, {}, Random(seed)), owners


def make_request(number, priority=1, key=-1, target_s=TARGET_S, left_s=TIMEOUT_S):
    return DispatchRequest(number, "tags", key, priority, target_s, left_s)


class Overload:
    """Callers at a steady rate; a refused caller returns once, as it was told.

    Attributes
    ----------
    counts : Counter
        Results by priority and kind: ``offered``, ``on time``, ``late``, ``refused``
        for each refusal, and ``lost`` for callers without a response.
    waits_in_vain : list of float
        Seconds for which refused requests had waited.
    retry_times : list of tuple
        Time left and retry-after time of each refusal, in seconds.
    """

    def __init__(self, dispatcher, latency_s=0.05, seed=1, keys=0):
        self.dispatcher = dispatcher
        self.latency_s = latency_s
        self.keys = keys
        self.rng = Random(seed)
        self.now = 0.0
        self.counts = Counter()
        self.waits_in_vain = []
        self.retry_times = []
        self._callers = {}
        self._events = []
        self._number = 0

    def play(self, rate, duration_s, priorities=(0, 1, 2)):
        until = self.now + duration_s
        next_at = self.now
        while self.now < until:
            self.now += 0.002
            while next_at <= self.now:
                next_at += self.rng.expovariate(rate)
                self._arrive(self.rng.choice(priorities))
            while self._events and self._events[0][0] <= self.now:
                self._handle(*self._events.pop(0)[1:])
            if round(self.now / 0.002) % 10 == 0:
                self._note(self.dispatcher.advance(self.now))

    def get_share(self, kind, priority):
        return self.counts[priority, kind] / self.counts[priority, "offered"]

    def _arrive(self, priority):
        key = self.rng.randrange(self.keys) if self.keys else -1
        self.counts[priority, "offered"] += 1
        self._submit(priority, key, self.now, returned=False)

    def _submit(self, priority, key, first_at, returned):
        self._number += 1
        number = self._number
        elapsed_s = self.now - first_at
        self._callers[number] = (priority, key, first_at, self.now, returned)
        request = make_request(
            number, priority, key, TARGET_S - elapsed_s, TIMEOUT_S - elapsed_s
        )
        decision = self.dispatcher.submit(number, request, self.now)
        if decision is not None:
            self._note([(number, decision)])

    def _handle(self, kind, *details):
        if kind == "return":
            priority, key, first_at = details
            self._submit(priority, key, first_at, returned=True)
            return
        number, sent_at = details
        priority, _, first_at, _, _ = self._callers.pop(number)
        elapsed_s = self.now - first_at
        on_time = elapsed_s <= TARGET_S + 0.01
        answered = elapsed_s <= TIMEOUT_S
        result = "on time" if on_time else "late" if answered else "lost"
        self.counts[priority, result] += 1
        done = SendFinished(number, SendOutcome.OK, self.now - sent_at)
        self._note(self.dispatcher.finish(number, done, self.now))

    def _note(self, decisions):
        for number, decision in decisions:
            priority, key, first_at, arrived_at, returned = self._callers[number]
            if isinstance(decision, Assigned):
                latency_s = self.latency_s * self.rng.uniform(0.6, 1.4)
                insort(self._events, (self.now + latency_s, "end", number, self.now))
                continue
            assert isinstance(decision, Refused)
            del self._callers[number]
            self.counts[priority, "refused"] += 1
            if self.now > arrived_at:
                self.waits_in_vain.append(self.now - arrived_at)
            left_s = first_at + TIMEOUT_S - self.now
            self.retry_times.append((left_s, decision.retry_after_s))
            if returned:
                self.counts[priority, "lost"] += 1
                continue
            return_at = self.now + min(decision.retry_after_s, left_s / 3)
            insort(self._events, (return_at, "return", priority, key, first_at))
