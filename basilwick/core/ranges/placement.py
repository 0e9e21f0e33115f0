"""Plans which key ranges move to which servers.

Answers a load in which a few neighbouring keys take most of the requests and change
within seconds, on servers of different speed. Spans are cut around the busy keys and
moved from the server that is used most, for its speed, to the one that is used least.
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

__all__ = ["ServerCapacity", "Move", "OwnedSpan", "plan_even_shares", "plan_moves"]

#: Utilization above the mean that is evened out.
_TOLERATED_EXCESS = 1.15
#: Time in seconds for which the load of a key was measured.
_MEASURED_S = 6.0
#: Standard deviations by which a utilization must exceed the tolerated one.
_SIGNIFICANCE = 0.7
#: Utilization below which a server is left alone.
_IDLE_UTILIZATION = 0.35
#: Share of the wanted load that a span to move must carry at least.
_LEAST_SHARE = 0.3
#: Requests that a move of all keys costs, and the time in seconds for which the load is
#: taken to last: together the rate that makes up for the move.
_COST_OF_ALL_KEYS = 95.0
_LASTS_S = 10.0
#: Share of the moved requests that are answered in time and would not have been, when
#: they leave a server that is busy, and one that gets more than it can do.
_GAIN_FROM_BUSY = 0.07
_GAIN_FROM_OVERLOADED = 0.5
#: Utilization, as estimated, from which a server surely gets more than it can do.
_OVERLOADED = 1.2
#: Utilization with its busiest key, relative to that of its present server, up to which
#: another server takes it over.
_TAKEOVER_RATIO = 0.9
#: Moves decided at a time, at least and in units of the servers.
_LEAST_MOVES_PER_PLAN = 6
_MOVES_PER_SERVER = 0.25


@frozen
class Move:
    """Span of keys that gets another owner."""

    first: int
    last: int
    target: ServerName


@frozen(order=True)
class OwnedSpan:
    """Span of keys that its owner serves and that may move."""

    first: int
    last: int
    owner: ServerName


@frozen
class ServerCapacity:
    """What a server can take.

    Attributes
    ----------
    slots : int
        Requests that it runs at once.
    work_s : float
        Time of a request in seconds.
    """

    server: ServerName
    slots: int
    work_s: float

    @property
    def requests_per_s(self) -> float:
        """Requests per second at full use."""
        return self.slots / self.work_s


@define(eq=False)
class _Plan:
    capacities: dict[ServerName, ServerCapacity]
    spans: dict[ServerName, list[OwnedSpan]]
    rates: Sequence[tuple[int, float]]
    load: dict[ServerName, float] = field(factory=dict)
    moves: list[Move] = field(factory=list)

    def utilize(self, server: ServerName) -> float:
        return self.load[server] / self.capacities[server].requests_per_s

    def get_room(self, server: ServerName, utilization: float) -> float:
        """Return the rate that brings a server to a utilization."""
        room = utilization - self.utilize(server)
        return room * self.capacities[server].requests_per_s

    def find_busiest_key(self, server: ServerName, most: float) -> float:
        """Return the highest rate of one of a server's keys that is below a bound."""
        rates = (r for span in self.spans[server] for _, r in self.list_keys(span))
        return max((rate for rate in rates if rate <= most), default=0.0)

    def estimate_error(self, server: ServerName) -> float:
        """Return the error of the utilization, for requests that come at random."""
        error = _SIGNIFICANCE * sqrt(self.load[server] / _MEASURED_S)
        return error / self.capacities[server].requests_per_s

    def list_keys(self, span: OwnedSpan) -> Sequence[tuple[int, float]]:
        """Return the keys of a span in order, with their rates."""
        start = bisect_left(self.rates, (span.first, 0.0))
        end = bisect_left(self.rates, (span.last + 1, 0.0))
        return self.rates[start:end]

    def move(
        self, span: OwnedSpan, first: int, last: int, rate: float, target: ServerName
    ) -> None:
        """Move a part of a span; the rest of the span may move as well."""
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
    most: int | None = None,
) -> list[Move]:
    """Return the moves that even out the utilization of servers.

    Parameters
    ----------
    spans : sequence of OwnedSpan
        Spans that may move.
    rates : sequence of (int, float)
        Keys in order with their requests per second.
    capacities : sequence of Capacity
        Servers that may get keys.
    most : int, optional
        Largest number of moves; by default it grows with the number of servers.
    """
    if len(capacities) < 2:
        return []
    if most is None:
        most = max(_LEAST_MOVES_PER_PLAN, int(_MOVES_PER_SERVER * len(capacities)))
    plan = _Plan({c.server: c for c in capacities}, {}, rates)
    plan.load = dict.fromkeys(plan.capacities, 0.0)
    for span in spans:
        if span.owner in plan.load:
            plan.spans.setdefault(span.owner, []).append(span)
            plan.load[span.owner] += sum(rate for _, rate in plan.list_keys(span))
    mean = _compute_level(plan)
    bound = max(_IDLE_UTILIZATION, _TOLERATED_EXCESS * mean)
    exhausted: set[ServerName] = set()
    while len(plan.moves) < most:
        donors = [
            name for name in plan.spans if name not in exhausted and plan.load[name]
        ]
        if not donors:
            break
        donor = max(donors, key=plan.utilize)
        if plan.utilize(donor) <= bound:
            break
        certain = plan.utilize(donor) - plan.estimate_error(donor) > bound
        if not certain or not _move_from(plan, donor, mean):
            exhausted.add(donor)
    return plan.moves


def _compute_level(plan: _Plan) -> float:
    """Return the utilization that all servers would have if load were divisible.

    A key that fills a server by itself can't be divided: it is left out, together with
    its server, or it would make room for others seem to be short.
    """
    load = room = 0.0
    for server, capacity in plan.capacities.items():
        keys = [
            rate
            for span in plan.spans.get(server, ())
            for _, rate in plan.list_keys(span)
        ]
        if keys and max(keys) >= capacity.requests_per_s:
            load += sum(keys) - max(keys)
            continue
        load += sum(keys)
        room += capacity.requests_per_s
    return load / room if room else 1.0


def _move_from(plan: _Plan, donor: ServerName, mean: float) -> bool:
    """Move a span away from a server; returns whether one was found.

    At best the receiver is filled to the mean, so that a very busy server gives its
    keys to many others in one plan and none of them has to pass them on. A single key
    with more load than that may go where it does less harm.
    """
    receiver = min(plan.load, key=plan.utilize)
    excess = (plan.utilize(donor) - mean) * plan.capacities[donor].requests_per_s
    wanted = min(excess, plan.get_room(receiver, mean))
    if _move_window(plan, donor, receiver, wanted):
        return True
    limit = _TAKEOVER_RATIO * plan.utilize(donor)
    receiver = max(plan.load, key=lambda name: plan.get_room(name, limit))
    key_rate = plan.find_busiest_key(donor, plan.get_room(receiver, limit))
    return _move_window(plan, donor, receiver, key_rate)


def _move_window(
    plan: _Plan, donor: ServerName, receiver: ServerName, wanted: float
) -> bool:
    """Move the best span that carries at most the wanted rate."""
    overloaded = plan.utilize(donor) >= _OVERLOADED
    gain = _GAIN_FROM_OVERLOADED if overloaded else _GAIN_FROM_BUSY
    best = None
    for span in plan.spans[donor]:
        found = _find_window(plan.list_keys(span), wanted, gain)
        if found is not None and (best is None or found[0] > best[1][0]):
            best = span, found
    if best is None:
        return False
    span, (_, first, last, rate) = best
    plan.move(span, first, last, rate, receiver)
    return True


def _find_window(
    keys: Sequence[tuple[int, float]], wanted: float, gain: float
) -> tuple[float, int, int, float] | None:
    """Return worth, first key, last key and rate of the best span to move.

    The span carries at most the wanted rate. Its worth is what its requests gain, less
    the cost of its keys.
    """
    cost_per_key = _COST_OF_ALL_KEYS / _LASTS_S / KEY_COUNT
    best = None
    start = 0
    total = 0.0
    for end in range(len(keys)):
        total += keys[end][1]
        while total > wanted and start <= end:
            total -= keys[start][1]
            start += 1
        if start > end or total < _LEAST_SHARE * wanted:
            continue
        first, last = keys[start][0], keys[end][0]
        worth = gain * total - cost_per_key * (last - first + 1)
        if worth > 0.0 and (best is None or worth > best[0]):
            best = worth, first, last, total
    return best
