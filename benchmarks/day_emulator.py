"""Simulates a day of load with the product's own dispatch and ownership decisions.

Time is simulated, so half a minute of a site takes seconds. The simulation leaves out
processor time, lost messages, faults of the store, instances that can't reach the
leader, and all services but the partitioned one.

Run ``python -m benchmarks.day_emulator --help``.
"""

from __future__ import annotations

from bisect import bisect_left
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random

from attrs import define, evolve, field
from click import command, echo, option

from basilwick.core.dispatch.caller_waits import CallerWaitEstimator
from basilwick.core.dispatch.dispatcher import Dispatcher
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
from basilwick.core.ranges.controller import RangeController
from basilwick.core.ranges.orders import (
    FenceReservation,
    GrantOrder,
    OrderResult,
    OwnershipTimings,
)
from basilwick.core.ranges.owner_selector import OwnerSelector
from basilwick.core.ranges.table import KEY_COUNT, RangeTable

__all__ = ["DayLoad", "DaySimulation", "simulate_days"]

_SERVICE = "lookups"
_CALLER_DELAY_S = 0.008
_SERVER_DELAY_S = 0.0005
_TICK_INTERVAL_S = 0.05
_PLAN_INTERVAL_S = 0.4
_SLOWDOWN_PERIOD_S = 0.4


@define
class DayLoad:
    """Requests and servers of a day.

    Attributes
    ----------
    rate : float
        First attempts per second.
    slow_share, slow_factor : float
        Share of the servers that are slow in a period, and their latency factor.
    full_latency_factor : float
        Latency factor of a server with all slots in use.
    hot_keys : list of (float, float, float)
        Start and end in seconds and share of the requests, for each hot key.
    latency_factors : tuple of float
        Latency factors, assigned to the servers in turn.
    """

    rate: float = 322.0
    servers: int = 19
    slots: int = 4
    latency_s: float = 0.06
    target_s: float = 0.2
    deadline_s: float = 1.2
    retries: int = 2
    length_s: float = 24.0
    latency_factors: tuple[float, ...] = (0.7, 0.7, 1.6)
    slow_share: float = 0.2
    slow_factor: float = 3.0
    full_latency_factor: float = 1.3
    hot_keys: list[tuple[float, float, float]] = field(
        factory=lambda: [(1.3, 6.3, 0.31), (6.8, 10.8, 0.4)]
    )


@define
class DayOutcome:
    """Counts of the responses and refusals that callers got, and of moves of keys."""

    in_time: int = 0
    late: int = 0
    failed: int = 0
    refusals: int = 0
    moved_keys: int = 0
    grants: int = 0

    @property
    def value(self) -> float:
        """Share of the full value; a late response counts as three tenths."""
        total = self.in_time + self.late + self.failed
        return (self.in_time + 0.3 * self.late) / max(1, total)


@define(eq=False)
class _Request:
    key: int
    first_at: float
    deadline: float
    retries_left: int


class DaySimulation:
    """Discrete-event simulation of one day of servers, callers and decisions."""

    def __init__(self, load: DayLoad, seed: int):
        self.load = load
        self.rng = Random(seed)
        self.now = 0.0
        self.outcome = DayOutcome()
        self.outcomes_by_second: dict[int, DayOutcome] = {}
        self._events: list = []
        self._sequence = count()
        self._request_numbers = count()
        self.caller_waits = CallerWaitEstimator()
        self._requests: dict[int, _Request] = {}
        self._slowdowns: dict[str, float] = {}
        self._latency_factors: dict[str, float] = {}
        self._running: dict[str, list[tuple[int, float]]] = {}
        self._build()

    def _build(self) -> None:
        load = self.load
        self.view = SiteView()
        spec = ServiceSpec(_SERVICE, "/", 120, 3.0, 19.0, True, 5.0)
        self.view.apply_configuration(SiteConfiguration(1, (), {_SERVICE: spec}))
        for index in range(load.servers):
            name = f"s{index:02d}"
            entry = ServerEntry(
                name, _SERVICE, "", f"dc{index % 3}", load.slots, False, 0.0, 0
            )
            self.view.apply_server(entry, 0.0)
            self._latency_factors[name] = load.latency_factors[
                index % len(load.latency_factors)
            ]
            self._slowdowns[name] = 1.0
            self._running[name] = []
        self.dispatcher = Dispatcher(
            self.view, self, RetryBudget(0.14, 24.0), {}, self.rng
        )
        self.selector = OwnerSelector(_SERVICE, self.view, self.dispatcher)
        self.controller = RangeController(
            _SERVICE,
            RangeTable(),
            FenceReservation(1, 1_000_000),
            OwnershipTimings(),
            self.selector,
            0.0,
        )
        weights = list(accumulate((rank + 1) ** -0.667 for rank in range(60_000)))
        self._cumulative_weights = weights
        self._offset = self.rng.randrange(KEY_COUNT)

    def find_owner(self, service, key, now):
        """Return the owner of a key."""
        return self.controller.find_owner(service, key, now)

    def run(self) -> DayOutcome:
        """Simulate the whole day."""
        self._schedule(0.0, self._tick)
        self._schedule(1.0, self._plan)
        self._schedule(0.0, self._change_slowdowns)
        self._schedule(0.0, self._advance)
        self._schedule(1.0, self._arrive)
        while self._events:
            self.now, _, action, arguments = heappop(self._events)
            if self.now > self.load.length_s + 2.0:
                break
            action(*arguments)
        return self.outcome

    def _schedule(self, time, action, *arguments) -> None:
        heappush(self._events, (time, next(self._sequence), action, arguments))

    # Callers

    def _arrive(self) -> None:
        if self.now > self.load.length_s:
            return
        self._schedule(self.now + self.rng.expovariate(self.load.rate), self._arrive)
        timeout_s = self.load.deadline_s * self.rng.uniform(0.83, 1.0)
        request = _Request(
            self._draw_key(), self.now, self.now + timeout_s, self.load.retries
        )
        self._submit(request)

    def _draw_key(self) -> int:
        for index, (begin, end, share) in enumerate(self.load.hot_keys):
            if begin <= self.now < end and self.rng.random() < share:
                return (self._offset + 50 + 7 * index) % KEY_COUNT
        rank = bisect_left(
            self._cumulative_weights, self.rng.random() * self._cumulative_weights[-1]
        )
        return (self._offset + rank) % KEY_COUNT

    def _submit(self, request: _Request) -> None:
        number = next(self._request_numbers)
        self._requests[number] = request
        time_left_s = request.deadline - self.now
        elapsed_s = self.caller_waits.estimate_elapsed(_SERVICE, time_left_s, self.now)
        target_left_s = self.load.target_s - 2 * _CALLER_DELAY_S - elapsed_s
        dispatch_request = DispatchRequest(
            number, _SERVICE, request.key, 2, target_left_s, time_left_s
        )
        self.selector.load.record(request.key, self.now)
        decision = self.dispatcher.submit(number, dispatch_request, self.now)
        if decision is not None:
            self._handle_decisions([(number, decision)])

    def _handle_decisions(self, decisions) -> None:
        for number, decision in decisions:
            if isinstance(decision, Refused):
                self._refuse(number, decision.retry_after_s)
            elif isinstance(decision, Assigned):
                self._start(number, decision.server)

    def _refuse(self, number: int, retry_after_s: float) -> None:
        request = self._requests.pop(number)
        self.outcome.refusals += 1
        time_left_s = request.deadline - self.now
        if request.retries_left and time_left_s > 0.1:
            request.retries_left -= 1
            retry_delay_s = min(retry_after_s, time_left_s / 3) + 2 * _CALLER_DELAY_S
            self._schedule(self.now + retry_delay_s, self._submit, request)
        else:
            self._record_outcome(request, None)

    def _start(self, number: int, server: str) -> None:
        latency_s = self.rng.lognormvariate(-0.32, 0.8) * self.load.latency_s
        latency_s *= self._latency_factors[server] * self._slowdowns[server]
        if len(self._running[server]) >= self.load.slots - 1:
            latency_s *= self.load.full_latency_factor
        end = self.now + latency_s + 2 * _SERVER_DELAY_S
        request = self._requests[number]
        self._running[server].append((request.key, end))
        self._schedule(end, self._finish, number, server, self.now)

    def _finish(self, number: int, server: str, sent_at: float) -> None:
        request = self._requests.pop(number)
        self._running[server].remove((request.key, self.now))
        done = SendFinished(number, SendOutcome.OK, self.now - sent_at)
        self._record_outcome(request, self.now + 2 * _CALLER_DELAY_S - request.first_at)
        self._handle_decisions(self.dispatcher.finish(number, done, self.now))

    def _record_outcome(self, request: _Request, elapsed_s: float | None) -> None:
        second = self.outcomes_by_second.setdefault(int(request.first_at), DayOutcome())
        for outcome in (self.outcome, second):
            if elapsed_s is None or request.first_at + elapsed_s > request.deadline:
                outcome.failed += 1
            elif elapsed_s <= self.load.target_s:
                outcome.in_time += 1
            else:
                outcome.late += 1

    # Servers and ownership

    def _change_slowdowns(self) -> None:
        for server in self._slowdowns:
            slow = self.rng.random() < self.load.slow_share
            self._slowdowns[server] = self.load.slow_factor if slow else 1.0
        self._schedule(self.now + _SLOWDOWN_PERIOD_S, self._change_slowdowns)

    def _advance(self) -> None:
        self._handle_decisions(self.dispatcher.advance(self.now))
        self._schedule(self.now + 0.02, self._advance)

    def _tick(self) -> None:
        self.controller.assign_unowned(
            self.selector.list_eligible_owners(self.now), self.now
        )
        self._send_due_orders()
        if self.controller.begin_store() is not None:
            self._schedule(self.now + 0.004, self._finish_store)
        self._schedule(self.now + _TICK_INTERVAL_S, self._tick)

    def _finish_store(self) -> None:
        self.controller.finish_store(True, self.now)
        self._send_due_orders()

    def _send_due_orders(self) -> None:
        for order in self.controller.tick(self.now):
            if isinstance(order, GrantOrder):
                self.outcome.grants += 1
                self._schedule(self.now + 0.001, self._handle_grant_result, order)
                continue
            ends = [
                end
                for key, end in self._running[order.server]
                if order.first <= key <= order.last
            ]
            end = max([self.now, *ends])
            self._schedule(end + 0.001, self._handle_release_result, order)

    def _handle_grant_result(self, order) -> None:
        if self.controller.handle_grant_result(order, OrderResult.OK, self.now):
            self._send_due_orders()
        self._handle_decisions(self.dispatcher.advance(self.now))

    def _handle_release_result(self, order) -> None:
        self.outcome.moved_keys += order.last - order.first + 1
        self.controller.handle_release_result(order, OrderResult.OK, "token", self.now)
        self._send_due_orders()

    def _plan(self) -> None:
        moves = self.selector.plan(self.controller.table, self.now)
        self.controller.move(moves, self.now)
        self._schedule(self.now + _PLAN_INTERVAL_S, self._plan)


def simulate_days(load: DayLoad, seeds: int) -> list[DayOutcome]:
    """Simulate a load with several seeds."""
    return [DaySimulation(evolve(load), seed).run() for seed in range(seeds)]


@command()
@option("--rate", default=322.0, help="First attempts per second.")
@option("--seeds", default=4, help="Number of days played.")
@option("--seconds", is_flag=True, help="Print the worth of each second.")
def main(rate: float, seeds: int, seconds: bool) -> None:
    """Print what callers get on a day with hot keys."""
    for seed in range(seeds):
        day = DaySimulation(DayLoad(rate=rate), seed)
        outcome = day.run()
        echo(
            f"seed {seed}: worth {outcome.value:.3f}, in time {outcome.in_time}, "
            f"late {outcome.late}, failed {outcome.failed}, "
            f"refusals {outcome.refusals}, grants {outcome.grants}, "
            f"ranges {len(day.controller.table.ranges)}, "
            f"moved {outcome.moved_keys / KEY_COUNT:.2f} times all keys"
        )
        if seconds:
            values = [
                f"{o.value:.2f}" for _, o in sorted(day.outcomes_by_second.items())
            ]
            echo(" ".join(values))


if __name__ == "__main__":
    main()
