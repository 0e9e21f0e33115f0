"""Joins ranges with little load to their neighbours.

The leader renews the grant of each range, and cutting busy keys out of ranges makes
more of them. What was cut out is joined again when its keys are no longer busy.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from attrs import frozen

from basilwick.core.ranges.key_load import list_between
from basilwick.core.ranges.placement import Move, OwnedSpan
from basilwick.core.ranges.table import KEY_COUNT

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.ranges.demand_plan import DemandPlan

__all__ = ["join_ranges"]

#: Number of quiet keys that are joined at the cost of one request per second: requests
#: wait while their keys are handed over.
_JOIN_COST_PER_RATE = 200.0
#: Largest size of a range that is joined, relative to the mean size at the wanted
#: number of ranges. The first shares of the servers are larger.
_MAX_JOINED_SIZE = 0.5


@frozen
class _Join:
    """Possible move of a range to the owner of a neighbour.

    Attributes
    ----------
    index, neighbour : int
        Indexes of the range and of its neighbour.
    rate : float
        Requests per second of the range.
    saved_ranges : int
        Number of ranges that the join saves.
    """

    cost: float
    index: int
    neighbour: int
    rate: float
    saved_ranges: int


def join_ranges(
    plan: DemandPlan,
    spans: Sequence[OwnedSpan],
    rates: Sequence[tuple[int, float]],
    max_utilization: float,
) -> None:
    """Move ranges with few keys and little load to the owner of a neighbour.

    An owner that would then be busy enough to give keys away gets none.
    """
    # A range of which a part moves may not stay one range with its neighbours.
    touched = {_find_index(spans, move.first) for move in plan.moves}
    limit = len(plan.moves) + plan.max_moves
    for join in _list_joins(plan, spans, rates):
        if len(plan.moves) >= limit or plan.range_count <= plan.wanted_ranges:
            break
        span = spans[join.index]
        source = plan.servers[span.owner]
        target = plan.servers.get(spans[join.neighbour].owner)
        if target is None or target.dominant_key is not None:
            continue
        after = (target.load + join.rate) / target.capacity
        if touched & {join.index, join.neighbour} or after > max_utilization:
            continue
        source.load -= join.rate
        target.load += join.rate
        touched |= {join.index, join.neighbour}
        plan.range_count -= join.saved_ranges
        plan.moves.append(Move(span.first, span.last, target.name))


def _list_joins(
    plan: DemandPlan, spans: Sequence[OwnedSpan], rates: Sequence[tuple[int, float]]
) -> list[_Join]:
    """Return the possible joins of small ranges, the ones that cost least first."""
    max_size = _MAX_JOINED_SIZE * KEY_COUNT / plan.wanted_ranges
    joins = []
    for index, span in enumerate(spans):
        size = span.last - span.first + 1
        if size >= max_size or span.owner not in plan.servers:
            continue
        neighbours = []
        if index and spans[index - 1].last + 1 == span.first:
            neighbours.append(index - 1)
        if index + 1 < len(spans) and spans[index + 1].first == span.last + 1:
            neighbours.append(index + 1)
        owners = [spans[neighbour].owner for neighbour in neighbours]
        if span.owner in owners:
            continue
        saved_ranges = 2 if len(owners) == 2 and owners[0] == owners[1] else 1
        rate = sum(rate for _, rate in list_between(rates, span.first, span.last))
        cost = (size + _JOIN_COST_PER_RATE * rate) / saved_ranges
        joins += [_Join(cost, index, n, rate, saved_ranges) for n in neighbours]
    return sorted(joins, key=lambda join: (join.cost, join.index))


def _find_index(spans: Sequence[OwnedSpan], key: int) -> int:
    """Return the index of the span that contains a key."""
    return bisect_right(spans, key, key=lambda span: span.first) - 1
