"""State of a plan of moves for uneven demand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.ranges.key_load import list_between
from basilwick.core.ranges.placement import Move

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.types import ServerName

__all__ = ["DemandPlan", "PlannedServer", "PlannedSpan"]

#: Ranges per server above which those with little load are joined to a neighbour.
_RANGES_PER_SERVER = 5.0
#: Upper bound of that number for a service, as the leader renews each range.
_MAX_RANGES = 500
#: Ranges per server that are allowed even beyond the upper bound.
_MIN_RANGES_PER_SERVER = 2.5
#: Moves of one plan per server.
_MOVES_PER_SERVER = 0.5
#: Moves that a plan may have in any case.
_MIN_MOVES = 6


@define(eq=False)
class PlannedServer:
    """Server during planning, with the spans that may move.

    Attributes
    ----------
    capacity : float
        Requests per second at full utilization.
    load : float
        Requests per second of its keys after the planned moves.
    dominant_key : int or None
        Key for which the server is kept free.
    """

    name: ServerName
    capacity: float
    load: float = 0.0
    dominant_key: int | None = None
    spans: list[PlannedSpan] = field(factory=list)

    @property
    def utilization(self) -> float:
        """Load relative to the capacity."""
        return self.load / self.capacity


@define(eq=False)
class PlannedSpan:
    """Span that may move, with the rates of its keys in order."""

    first: int
    last: int
    keys: Sequence[tuple[int, float]]


@define(eq=False)
class DemandPlan:
    """Planned moves, with the state of the servers after them.

    Attributes
    ----------
    range_count : int
        Number of ranges of the service after the moves.
    """

    servers: dict[ServerName, PlannedServer]
    range_count: int
    moves: list[Move] = field(factory=list)

    @property
    def wanted_ranges(self) -> float:
        """Number of ranges from which ranges are joined."""
        count = len(self.servers)
        most = max(_MAX_RANGES, _MIN_RANGES_PER_SERVER * count)
        return min(most, _RANGES_PER_SERVER * count)

    @property
    def max_moves(self) -> int:
        """Largest number of moves, not counting joins, and of joins."""
        return max(_MIN_MOVES, int(_MOVES_PER_SERVER * len(self.servers)))

    @property
    def full(self) -> bool:
        """Whether the plan has all the moves that one plan may have."""
        return len(self.moves) >= self.max_moves

    def move(
        self,
        source: PlannedServer,
        span: PlannedSpan,
        first: int,
        last: int,
        target: PlannedServer,
    ) -> None:
        """Plan the move of a part of a span; the remaining keys may still move."""
        rate = sum(rate for _, rate in list_between(span.keys, first, last))
        source.load -= rate
        target.load += rate
        self.moves.append(Move(first, last, target.name))
        source.spans.remove(span)
        if span.first < first:
            keys = list_between(span.keys, span.first, first - 1)
            source.spans.append(PlannedSpan(span.first, first - 1, keys))
            self.range_count += 1
        if last < span.last:
            keys = list_between(span.keys, last + 1, span.last)
            source.spans.append(PlannedSpan(last + 1, span.last, keys))
            self.range_count += 1
