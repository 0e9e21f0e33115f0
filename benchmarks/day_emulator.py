"""Plays the load of a day on the product's own dispatch and ownership decisions.

Time is simulated, so half a minute of a site takes seconds. Left out: processor time,
lost messages, the store's troubles, instances that can't reach the leader, and all
services but the partitioned one.

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

__all__ = ["Day", "Load", "play"]

SERVICE = "lookups"
_CALLER_DELAY_S = 0.008
_SERVER_DELAY_S = 0.0005
_TICK_S = 0.05
_PLAN_S = 0.4
_NOISE_PERIOD_S = 0.4


@define
class Load:
    """Requests and servers of a day.

    Attributes
    ----------
    rate : float
        First attempts per second.
    full_factor : float
        Factor of the work time at a server with all slots in use.
    hot : list of (float, float, float)
        Begin and end in seconds and share of the requests for one key.
    speeds : tuple of float
        Work time factors, dealt to the servers in turn.
    """

    rate: float = 322.0
    servers: int = 19
    slots: int = 4
    work_s: float = 0.06
    target_s: float = 0.2
    deadline_s: float = 1.2
    retries: int = 2
    length_s: float = 24.0
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    noise_share: float = 0.2
    noise_factor: float = 3.0
    full_factor: float = 1.3
    hot: list[tuple[float, float, float]] = field(
        factory=lambda: [(1.3, 6.3, 0.31), (6.8, 10.8, 0.4)]
    )


@define
class Outcome:
    """What callers got."""

    in_time: int = 0
    late: int = 0
    failed: int = 0
    refusals: int = 0
    moved_keys: int = 0
    grants: int = 0

    @property
    def worth(self) -> float:
        """Share of the full value, with late answers at three tenths."""
        total = self.in_time + self.late + self.failed
        return (self.in_time + 0.3 * self.late) / max(1, total)


@define(eq=False)
class _Request:
    key: int
    first_at: float
    deadline: float
    tries_left: int


class Day:
    """One day with its servers, callers and decisions."""

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.rng = Random(seed)
        self.now = 0.0
        self.outcome = Outcome()
        self.by_second: dict[int, Outcome] = {}
        self._events: list = []
        self._order = count()
        self._numbers = count()
        self.first_attempts = CallerWaitEstimator()
        self._requests: dict[int, _Request] = {}
        self._slowness: dict[str, float] = {}
        self._base: dict[str, float] = {}
        self._running: dict[str, list[tuple[int, float]]] = {}
        self._build()

    def _build(self) -> None:
        load = self.load
        self.view = SiteView()
        spec = ServiceSpec(SERVICE, "/", 120, 3.0, 19.0, True, 5.0)
        self.view.apply_configuration(SiteConfiguration(1, (), {SERVICE: spec}))
        for index in range(load.servers):
            name = f"s{index:02d}"
            entry = ServerEntry(
                name, SERVICE, "", f"dc{index % 3}", load.slots, False, 0.0, 0
            )
            self.view.apply_server(entry, 0.0)
            self._base[name] = load.speeds[index % len(load.speeds)]
            self._slowness[name] = 1.0
            self._running[name] = []
        self.dispatcher = Dispatcher(
            self.view, self, RetryBudget(0.14, 24.0), {}, self.rng
        )
        self.selection = OwnerSelector(SERVICE, self.view, self.dispatcher)
        self.control = RangeController(
            SERVICE,
            RangeTable(),
            FenceReservation(1, 1_000_000),
            OwnershipTimings(),
            self.selection,
            0.0,
        )
        weights = list(accumulate((rank + 1) ** -0.667 for rank in range(60_000)))
        self._weights = weights
        self._offset = self.rng.randrange(KEY_COUNT)

    def find_owner(self, service, key, now):
        """Return the owner of a key."""
        return self.control.find_owner(service, key, now)

    def play(self) -> Outcome:
        """Play the whole day."""
        self._at(0.0, self._tick)
        self._at(1.0, self._plan)
        self._at(0.0, self._change_noise)
        self._at(0.0, self._advance)
        self._at(1.0, self._arrive)
        while self._events:
            self.now, _, action, arguments = heappop(self._events)
            if self.now > self.load.length_s + 2.0:
                break
            action(*arguments)
        return self.outcome

    def _at(self, time, action, *arguments) -> None:
        heappush(self._events, (time, next(self._order), action, arguments))

    # Callers

    def _arrive(self) -> None:
        if self.now > self.load.length_s:
            return
        self._at(self.now + self.rng.expovariate(self.load.rate), self._arrive)
        patience_s = self.load.deadline_s * self.rng.uniform(0.83, 1.0)
        request = _Request(
            self._draw_key(), self.now, self.now + patience_s, self.load.retries
        )
        self._ask(request)

    def _draw_key(self) -> int:
        for index, (begin, end, share) in enumerate(self.load.hot):
            if begin <= self.now < end and self.rng.random() < share:
                return (self._offset + 50 + 7 * index) % KEY_COUNT
        rank = bisect_left(self._weights, self.rng.random() * self._weights[-1])
        return (self._offset + rank) % KEY_COUNT

    def _ask(self, request: _Request) -> None:
        number = next(self._numbers)
        self._requests[number] = request
        left = request.deadline - self.now
        elapsed_s = self.first_attempts.estimate_elapsed(SERVICE, left, self.now)
        target_left = self.load.target_s - 2 * _CALLER_DELAY_S - elapsed_s
        ask = DispatchRequest(number, SERVICE, request.key, 2, target_left, left)
        self.selection.load.record(request.key, self.now)
        decision = self.dispatcher.submit(number, ask, self.now)
        if decision is not None:
            self._take([(number, decision)])

    def _take(self, decisions) -> None:
        for number, decision in decisions:
            if isinstance(decision, Refused):
                self._refuse(number, decision.retry_after_s)
            elif isinstance(decision, Assigned):
                self._run(number, decision.server)

    def _refuse(self, number: int, retry_after_s: float) -> None:
        request = self._requests.pop(number)
        self.outcome.refusals += 1
        left = request.deadline - self.now
        if request.tries_left and left > 0.1:
            request.tries_left -= 1
            pause_s = min(retry_after_s, left / 3) + 2 * _CALLER_DELAY_S
            self._at(self.now + pause_s, self._ask, request)
        else:
            self._count(request, None)

    def _run(self, number: int, server: str) -> None:
        work_s = self.rng.lognormvariate(-0.32, 0.8) * self.load.work_s
        work_s *= self._base[server] * self._slowness[server]
        if len(self._running[server]) >= self.load.slots - 1:
            work_s *= self.load.full_factor
        end = self.now + work_s + 2 * _SERVER_DELAY_S
        request = self._requests[number]
        self._running[server].append((request.key, end))
        self._at(end, self._end, number, server, self.now)

    def _end(self, number: int, server: str, sent_at: float) -> None:
        request = self._requests.pop(number)
        self._running[server].remove((request.key, self.now))
        done = SendFinished(number, SendOutcome.OK, self.now - sent_at)
        self._count(request, self.now + 2 * _CALLER_DELAY_S - request.first_at)
        self._take(self.dispatcher.finish(number, done, self.now))

    def _count(self, request: _Request, elapsed_s: float | None) -> None:
        second = self.by_second.setdefault(int(request.first_at), Outcome())
        for outcome in (self.outcome, second):
            if elapsed_s is None or request.first_at + elapsed_s > request.deadline:
                outcome.failed += 1
            elif elapsed_s <= self.load.target_s:
                outcome.in_time += 1
            else:
                outcome.late += 1

    # Servers and ownership

    def _change_noise(self) -> None:
        for server in self._slowness:
            noisy = self.rng.random() < self.load.noise_share
            self._slowness[server] = self.load.noise_factor if noisy else 1.0
        self._at(self.now + _NOISE_PERIOD_S, self._change_noise)

    def _advance(self) -> None:
        self._take(self.dispatcher.advance(self.now))
        self._at(self.now + 0.02, self._advance)

    def _tick(self) -> None:
        self.control.assign_unowned(
            self.selection.list_eligible_owners(self.now), self.now
        )
        self._order_due()
        if self.control.begin_store() is not None:
            self._at(self.now + 0.004, self._note_stored)
        self._at(self.now + _TICK_S, self._tick)

    def _note_stored(self) -> None:
        self.control.finish_store(True, self.now)
        self._order_due()

    def _order_due(self) -> None:
        for order in self.control.tick(self.now):
            if isinstance(order, GrantOrder):
                self.outcome.grants += 1
                self._at(self.now + 0.001, self._note_granted, order)
                continue
            ends = [
                end
                for key, end in self._running[order.server]
                if order.first <= key <= order.last
            ]
            end = max([self.now, *ends])
            self._at(end + 0.001, self._note_released, order)

    def _note_granted(self, order) -> None:
        if self.control.handle_grant_result(order, OrderResult.OK, self.now):
            self._order_due()
        self._take(self.dispatcher.advance(self.now))

    def _note_released(self, order) -> None:
        self.outcome.moved_keys += order.last - order.first + 1
        self.control.handle_release_result(order, OrderResult.OK, "token", self.now)
        self._order_due()

    def _plan(self) -> None:
        moves = self.selection.plan(self.control.table, self.now)
        self.control.move(moves, self.now)
        self._at(self.now + _PLAN_S, self._plan)


def play(load: Load, seeds: int) -> list[Outcome]:
    """Play a load with several seeds."""
    return [Day(evolve(load), seed).play() for seed in range(seeds)]


@command()
@option("--rate", default=322.0, help="First attempts per second.")
@option("--seeds", default=4, help="Number of days played.")
@option("--seconds", is_flag=True, help="Print the worth of each second.")
def main(rate: float, seeds: int, seconds: bool) -> None:
    """Print what callers get on a day with hot keys."""
    for seed in range(seeds):
        day = Day(Load(rate=rate), seed)
        outcome = day.play()
        echo(
            f"seed {seed}: worth {outcome.worth:.3f}, in time {outcome.in_time}, "
            f"late {outcome.late}, failed {outcome.failed}, "
            f"refusals {outcome.refusals}, grants {outcome.grants}, "
            f"ranges {len(day.control.table.ranges)}, "
            f"moved {outcome.moved_keys / KEY_COUNT:.2f} times all keys"
        )
        if seconds:
            worths = [f"{o.worth:.2f}" for _, o in sorted(day.by_second.items())]
            echo(" ".join(worths))


if __name__ == "__main__":
    main()
