"""Plans which key ranges move to which servers.

Answers a load in which a few neighbouring keys take most of the requests and change
within seconds, on servers of different speed. Spans are cut around the busy keys and
moved from the server that is used most, for its speed, to the one that is used least.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from basilwick.core.ranges.table import KEYS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.types import ServerName

__all__ = ["Capacity", "Move", "OwnedSpan", "plan_even_shares", "plan_moves"]

#: Utilization above the mean that is evened out.
_TOLERATED_EXCESS = 1.15
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
    mean = sum(plan.load.values()) / sum(c.requests_per_s for c in capacities)
    bound = max(_IDLE_UTILIZATION, _TOLERATED_EXCESS * mean)
    tired: set[ServerName] = set()
    while len(plan.moves) < most:
        donors = [name for name in plan.spans if name not in tired and plan.load[name]]
        if not donors:
            break
        donor = max(donors, key=plan.utilize)
        if plan.utilize(donor) <= bound:
            break
        receiver = min(plan.load, key=plan.utilize)
        if not _move_between(plan, donor, receiver):
            tired.add(donor)
    return plan.moves


def _move_between(plan: _Plan, donor: ServerName, receiver: ServerName) -> bool:
    wanted = _compute_wanted(plan, donor, receiver)
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


def _compute_wanted(plan: _Plan, donor: ServerName, receiver: ServerName) -> float:
    """Return the rate whose move makes the utilization of two servers equal."""
    gap = plan.utilize(donor) - plan.utilize(receiver)
    giving, taking = plan.capacities[donor], plan.capacities[receiver]
    return gap / (1 / giving.requests_per_s + 1 / taking.requests_per_s)


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
