"""Plans which key ranges move to which servers.

Answers a load in which a few neighbouring keys take most of the requests and change
within seconds: spans are cut around the busy keys and moved from the busiest server to
the least busy one, the narrowest span first that evens out the two.
"""

from __future__ import annotations

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
_LEAST_SHARE = 0.25
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
    requests_per_s : float
        Requests per second at full use.
    data_centre : str
        Where the server is.
    """

    server: ServerName
    requests_per_s: float
    data_centre: str = ""


@define(eq=False)
class _Plan:
    capacities: dict[ServerName, float]
    spans: dict[ServerName, list[OwnedSpan]]
    rates: Sequence[tuple[int, float]]
    load: dict[ServerName, float] = field(factory=dict)
    moves: list[Move] = field(factory=list)
    moved: list[tuple[int, int]] = field(factory=list)

    def utilize(self, server: ServerName) -> float:
        return self.load[server] / self.capacities[server]

    def list_keys(self, span: OwnedSpan) -> list[tuple[int, float]]:
        return [
            (key, rate)
            for key, rate in self.rates
            if span.first <= key <= span.last
            and not any(first <= key <= last for first, last in self.moved)
        ]


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
    plan = _Plan({c.server: c.requests_per_s for c in capacities}, {}, rates)
    plan.load = dict.fromkeys(plan.capacities, 0.0)
    for span in spans:
        plan.spans.setdefault(span.owner, []).append(span)
        if span.owner in plan.load:
            plan.load[span.owner] += sum(rate for _, rate in plan.list_keys(span))
    mean = sum(plan.load.values()) / sum(plan.capacities.values())
    bound = max(_IDLE_UTILIZATION, _TOLERATED_EXCESS * mean)
    tired: set[ServerName] = set()
    while len(plan.moves) < most:
        donors = [
            name for name in plan.load if name not in tired and plan.spans.get(name)
        ]
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
    gap = plan.utilize(donor) - plan.utilize(receiver)
    wanted = gap / (1 / plan.capacities[donor] + 1 / plan.capacities[receiver])
    best = None
    for span in plan.spans[donor]:
        found = _find_window(plan.list_keys(span), wanted)
        if found is not None and (best is None or found[0] > best[0]):
            best = found
    if best is None:
        return False
    _, first, last, rate = best
    plan.load[donor] -= rate
    plan.load[receiver] += rate
    plan.moves.append(Move(first, last, receiver))
    plan.moved.append((first, last))
    return True


def _find_window(
    keys: Sequence[tuple[int, float]], wanted: float
) -> tuple[float, int, int, float] | None:
    """Return worth, first key, last key and rate of the best span to move.

    The span carries at most the wanted rate. Its worth is its rate, less a little for
    each key, because keys that change hands cost their new owner time.
    """
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
        worth = total - wanted * (last - first + 1) / KEYS
        if best is None or worth > best[0]:
            best = worth, first, last, total
    return best
