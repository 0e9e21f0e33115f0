"""Plans which key ranges move to which servers.

Answers a load in which a few neighbouring keys take most of the requests and change
within seconds, on servers of different speed. Spans are cut around the busy keys and
moved from the server with the longest expected time to an answer to the one with the
shortest, so that slow servers get few keys while the fast ones have room. A single key
that is too busy for its server goes to the server that can take most of it.
"""

from __future__ import annotations

from bisect import bisect_left
from operator import itemgetter
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from basilwick.core.ranges.table import KEYS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.types import ServerName

__all__ = ["Capacity", "Move", "OwnedSpan", "plan_even_shares", "plan_moves"]

#: Ratio of the longest to the shortest expected time that is evened out.
_TOLERATED_RATIO = 1.4
#: Share of the wanted load that a span to move must carry at least.
_LEAST_SHARE = 0.3
#: Requests that a move of all keys costs, and the time in seconds for which the load is
#: taken to last: together the rate that makes up for the move.
_COST_OF_ALL_KEYS = 95.0
_LASTS_S = 10.0
#: Value of a request that leaves an overloaded server, and one that is not, in units of
#: a request that is answered in time.
_GAIN_FROM_FULL = 1.0
_GAIN_FROM_BUSY = 0.07
#: Free share of a server below which its expected time grows no further.
_LEAST_FREE = 0.05
#: Utilization from which a server counts as full.
_FULL = 0.9
#: Ratio of capacities from which a busy key goes to a larger server.
_LARGER = 1.2
#: Moves decided at a time.
_MOVES_PER_PLAN = 6


@frozen
class Move:
    """Span of keys that gets another owner."""

    first: int
    last: int
    target: ServerName


@frozen
class OwnedSpan:
    """Span of keys that its owner serves and that may move."""

    first: int
    last: int
    owner: ServerName


@frozen
class Capacity:
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
    capacities: dict[ServerName, Capacity]
    spans: dict[ServerName, list[OwnedSpan]]
    rates: Sequence[tuple[int, float]]
    load: dict[ServerName, float] = field(factory=dict)
    moves: list[Move] = field(factory=list)

    def utilize(self, server: ServerName) -> float:
        return self.load[server] / self.capacities[server].requests_per_s

    def estimate_time(self, server: ServerName) -> float:
        """Return the expected time to an answer in seconds."""
        free = 1.0 - self.utilize(server)
        if free >= _LEAST_FREE:
            return self.capacities[server].work_s / free
        # Grows with the excess, so that the fullest of several full servers is known.
        return self.capacities[server].work_s * (1.0 + _LEAST_FREE - free) / _LEAST_FREE

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
    capacities: Sequence[Capacity],
    most: int = _MOVES_PER_PLAN,
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
    most : int
        Largest number of moves.
    """
    if len(capacities) < 2:
        return []
    plan = _Plan({c.server: c for c in capacities}, {}, rates)
    plan.load = dict.fromkeys(plan.capacities, 0.0)
    for span in spans:
        if span.owner in plan.load:
            plan.spans.setdefault(span.owner, []).append(span)
            plan.load[span.owner] += sum(rate for _, rate in plan.list_keys(span))
    _move_busiest_key(plan)
    tired: set[ServerName] = set()
    while len(plan.moves) < most:
        donors = [name for name in plan.spans if name not in tired and plan.load[name]]
        if not donors:
            break
        donor = max(donors, key=plan.estimate_time)
        receiver = min(plan.load, key=plan.estimate_time)
        longest, shortest = plan.estimate_time(donor), plan.estimate_time(receiver)
        if longest <= _TOLERATED_RATIO * shortest:
            break
        if not _move_between(plan, donor, receiver):
            tired.add(donor)
    return plan.moves


def _move_busiest_key(plan: _Plan) -> None:
    """Give a key that fills its server to the server with most capacity."""
    keys = [
        (rate, key, span)
        for spans in plan.spans.values()
        for span in spans
        for key, rate in plan.list_keys(span)
    ]
    if not keys:
        return
    rate, key, span = max(keys, key=itemgetter(0))
    capacity = plan.capacities[span.owner].requests_per_s
    if rate < _FULL * capacity:
        return
    largest = max(plan.capacities.values(), key=lambda c: c.requests_per_s)
    if largest.requests_per_s >= _LARGER * capacity:
        plan.move(span, key, key, rate, largest.server)


def _move_between(plan: _Plan, donor: ServerName, receiver: ServerName) -> bool:
    wanted = _compute_wanted(plan, donor, receiver)
    full = plan.utilize(donor) >= _FULL
    gain = _GAIN_FROM_FULL if full else _GAIN_FROM_BUSY
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


def _compute_wanted(plan: _Plan, donor: ServerName, receiver: ServerName) -> float:
    """Return the rate whose move makes the expected times of two servers equal."""
    giving, taking = plan.capacities[donor], plan.capacities[receiver]
    free_giving = 1.0 - plan.utilize(donor)
    free_taking = 1.0 - plan.utilize(receiver)
    gap = giving.work_s * free_taking - taking.work_s * free_giving
    slope = taking.work_s / giving.requests_per_s
    slope += giving.work_s / taking.requests_per_s
    return min(gap / slope, plan.load[donor])


def _find_window(
    keys: Sequence[tuple[int, float]], wanted: float, gain: float
) -> tuple[float, int, int, float] | None:
    """Return worth, first key, last key and rate of the best span to move.

    The span carries at most the wanted rate. Its worth is what its requests gain, less
    the cost of its keys.
    """
    cost_per_key = _COST_OF_ALL_KEYS / _LASTS_S / KEYS
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
