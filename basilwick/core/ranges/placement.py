"""Plans moves of key ranges that balance the utilization of servers.

The planner is made for loads in which a few neighbouring keys get most of the requests
and which keys these are changes within seconds, on servers of different speeds. It cuts
spans around the busy keys and moves them from the server with the highest utilization
to the one with the lowest.
"""

from __future__ import annotations

from bisect import bisect_left
from math import sqrt
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from basilwick.core.ranges.table import KEY_COUNT

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.types import ServerName

__all__ = ["Move", "OwnedSpan", "ServerCapacity", "plan_even_shares", "plan_moves"]

#: Utilization, relative to the mean, above which a server gives keys away.
_REBALANCE_RATIO = 1.15
#: Time in seconds over which the rates of keys are measured.
_MEASUREMENT_WINDOW_S = 6.0
#: Standard deviations by which a utilization must exceed the bound, so that random
#: fluctuation moves no keys.
_SIGNIFICANCE_SIGMAS = 0.7
#: Utilization up to which a server gives no keys away.
_MIN_REBALANCE_UTILIZATION = 0.35
#: Least rate of a span that moves, as a share of the largest rate allowed for it.
_MIN_SHARE_OF_MAX_RATE = 0.3
#: Number of requests that a move of all keys costs, and the time in seconds for which
#: the load is assumed to last. Their quotient is the rate of gained requests that makes
#: up for such a move.
_FULL_MOVE_COST_REQUESTS = 95.0
_LOAD_DURATION_S = 10.0
#: Share of the moved requests that are answered in time only because of the move, when
#: they leave a busy server and when they leave an overloaded one.
_BUSY_SERVER_GAIN = 0.07
_OVERLOADED_SERVER_GAIN = 0.5
#: Estimated utilization from which a server is certainly overloaded.
_OVERLOADED_UTILIZATION = 1.2
#: Largest utilization that a server may reach by receiving a single busy key, relative
#: to the utilization of the key's present server.
_MAX_RECEIVER_RATIO = 0.9
#: A plan has at most this many moves, or this many per server if that is more.
_MIN_MOVE_LIMIT = 6
_MOVES_PER_SERVER = 0.25


@frozen
class Move:
    """Move of a span of keys to another owner."""

    first: int
    last: int
    target: ServerName


@frozen(order=True)
class OwnedSpan:
    """Span of keys that may move, with its present owner."""

    first: int
    last: int
    owner: ServerName


@frozen
class ServerCapacity:
    """Capacity of a server.

    Attributes
    ----------
    slots : int
        Number of requests that the server runs concurrently.
    latency_s : float
        Time in seconds that the server takes for a request.
    max_rate : float
        Highest number of requests per second that the server may get.
    """

    server: ServerName
    slots: int
    latency_s: float
    max_rate: float = float("inf")

    @property
    def requests_per_s(self) -> float:
        """Requests per second at full utilization."""
        return min(self.slots / self.latency_s, self.max_rate)


@define(eq=False)
class _Plan:
    """Planned moves, with the spans and the load of each server after them."""

    capacities: dict[ServerName, ServerCapacity]
    spans: dict[ServerName, list[OwnedSpan]]
    rates: Sequence[tuple[int, float]]
    load: dict[ServerName, float] = field(factory=dict)
    moves: list[Move] = field(factory=list)

    def get_utilization(self, server: ServerName) -> float:
        return self.load[server] / self.capacities[server].requests_per_s

    def get_spare_rate(self, server: ServerName, utilization: float) -> float:
        """Return the additional rate that brings a server to a utilization."""
        spare = utilization - self.get_utilization(server)
        return spare * self.capacities[server].requests_per_s

    def find_busiest_key_rate(self, server: ServerName, max_rate: float) -> float:
        """Return the highest rate of a server's keys that doesn't exceed a bound."""
        rates = (r for span in self.spans[server] for _, r in self.list_key_rates(span))
        return max((rate for rate in rates if rate <= max_rate), default=0.0)

    def estimate_utilization_error(self, server: ServerName) -> float:
        """Return the error of the measured utilization for random request arrivals."""
        error = _SIGNIFICANCE_SIGMAS * sqrt(self.load[server] / _MEASUREMENT_WINDOW_S)
        return error / self.capacities[server].requests_per_s

    def list_key_rates(self, span: OwnedSpan) -> Sequence[tuple[int, float]]:
        """Return the keys of a span in order, with their rates."""
        start = bisect_left(self.rates, (span.first, 0.0))
        end = bisect_left(self.rates, (span.last + 1, 0.0))
        return self.rates[start:end]

    def move(
        self, span: OwnedSpan, first: int, last: int, rate: float, target: ServerName
    ) -> None:
        """Plan the move of a part of a span; the remaining keys may still move."""
        self.load[span.owner] -= rate
        self.load[target] += rate
        self.moves.append(Move(first, last, target))
        rest = [s for s in self.spans[span.owner] if s is not span]
        if span.first < first:
            rest.append(OwnedSpan(span.first, first - 1, span.owner))
        if last < span.last:
            rest.append(OwnedSpan(last + 1, span.last, span.owner))
        self.spans[span.owner] = rest


def plan_even_shares(
    first: int, last: int, servers: Sequence[ServerName]
) -> list[Move]:
    """Divide a span of keys evenly among servers."""
    size = last - first + 1
    if not servers:
        return []
    bounds = [first + size * index // len(servers) for index in range(len(servers))]
    bounds.append(last + 1)
    return [
        Move(start, end - 1, server)
        for start, end, server in zip(bounds, bounds[1:], servers, strict=False)
        if end > start
    ]


def plan_moves(
    spans: Sequence[OwnedSpan],
    rates: Sequence[tuple[int, float]],
    capacities: Sequence[ServerCapacity],
    max_moves: int | None = None,
) -> list[Move]:
    """Return the moves that balance the utilization of servers.

    Parameters
    ----------
    spans : sequence of OwnedSpan
        Spans that may move.
    rates : sequence of (int, float)
        Keys in order with their requests per second.
    capacities : sequence of ServerCapacity
        Servers that may receive keys.
    max_moves : int, optional
        Largest number of moves; by default it grows with the number of servers.
    """
    if len(capacities) < 2:
        return []
    if max_moves is None:
        max_moves = max(_MIN_MOVE_LIMIT, int(_MOVES_PER_SERVER * len(capacities)))
    plan = _Plan({c.server: c for c in capacities}, {}, rates)
    plan.load = dict.fromkeys(plan.capacities, 0.0)
    for span in spans:
        if span.owner in plan.load:
            plan.spans.setdefault(span.owner, []).append(span)
            plan.load[span.owner] += sum(rate for _, rate in plan.list_key_rates(span))
    mean = _compute_mean_utilization(plan)
    bound = max(_MIN_REBALANCE_UTILIZATION, _REBALANCE_RATIO * mean)
    exhausted: set[ServerName] = set()
    while len(plan.moves) < max_moves:
        donors = [
            name for name in plan.spans if name not in exhausted and plan.load[name]
        ]
        if not donors:
            break
        donor = max(donors, key=plan.get_utilization)
        if plan.get_utilization(donor) <= bound:
            break
        certain = (
            plan.get_utilization(donor) - plan.estimate_utilization_error(donor) > bound
        )
        if not certain or not _relieve_server(plan, donor, mean):
            exhausted.add(donor)
    return plan.moves


def _compute_mean_utilization(plan: _Plan) -> float:
    """Return the mean utilization, which all servers have at a perfect balance.

    A key that fills a server by itself can't be divided. It is left out together with
    its server; it would otherwise raise the result and hide the load of other servers.
    """
    load = capacity_rate = 0.0
    for server, capacity in plan.capacities.items():
        keys = [
            rate
            for span in plan.spans.get(server, ())
            for _, rate in plan.list_key_rates(span)
        ]
        if keys and max(keys) >= capacity.requests_per_s:
            load += sum(keys) - max(keys)
            continue
        load += sum(keys)
        capacity_rate += capacity.requests_per_s
    return load / capacity_rate if capacity_rate else 1.0


def _relieve_server(plan: _Plan, donor: ServerName, mean: float) -> bool:
    """Move a span away from a server; returns whether one was found.

    The receiver is filled to the mean at most. A very busy server thus spreads its keys
    over many others in one plan, and none of them has to move the keys again. A single
    key with more load than that may move to a server where the utilization stays lower
    than at its present one.
    """
    receiver = min(plan.load, key=plan.get_utilization)
    extra = (plan.get_utilization(donor) - mean) * plan.capacities[donor].requests_per_s
    max_rate = min(extra, plan.get_spare_rate(receiver, mean))
    if _move_best_span(plan, donor, receiver, max_rate):
        return True
    limit = _MAX_RECEIVER_RATIO * plan.get_utilization(donor)
    receiver = max(plan.load, key=lambda name: plan.get_spare_rate(name, limit))
    key_rate = plan.find_busiest_key_rate(donor, plan.get_spare_rate(receiver, limit))
    return _move_best_span(plan, donor, receiver, key_rate)


def _move_best_span(
    plan: _Plan, donor: ServerName, receiver: ServerName, max_rate: float
) -> bool:
    """Move the donor's best span of at most a rate; returns whether there is one."""
    overloaded = plan.get_utilization(donor) >= _OVERLOADED_UTILIZATION
    gain = _OVERLOADED_SERVER_GAIN if overloaded else _BUSY_SERVER_GAIN
    best = None
    for span in plan.spans[donor]:
        found = _find_best_span(plan.list_key_rates(span), max_rate, gain)
        if found is not None and (best is None or found[0] > best[1][0]):
            best = span, found
    if best is None:
        return False
    span, (_, first, last, rate) = best
    plan.move(span, first, last, rate, receiver)
    return True


def _find_best_span(
    keys: Sequence[tuple[int, float]], max_rate: float, gain: float
) -> tuple[float, int, int, float] | None:
    """Return benefit, first key, last key and rate of the best span to move.

    The span has at most the maximum rate. Its benefit is the rate of requests that the
    move gains, less the cost of moving its keys.
    """
    cost_per_key = _FULL_MOVE_COST_REQUESTS / _LOAD_DURATION_S / KEY_COUNT
    best = None
    start = 0
    total = 0.0
    for end in range(len(keys)):
        total += keys[end][1]
        while total > max_rate and start <= end:
            total -= keys[start][1]
            start += 1
        if start > end or total < _MIN_SHARE_OF_MAX_RATE * max_rate:
            continue
        first, last = keys[start][0], keys[end][0]
        benefit = gain * total - cost_per_key * (last - first + 1)
        if benefit > 0.0 and (best is None or benefit > best[0]):
            best = benefit, first, last, total
    return best
