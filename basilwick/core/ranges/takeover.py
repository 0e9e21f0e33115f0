"""What a leader assumes of the ranges that an earlier one stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.ranges.table import Phase

if TYPE_CHECKING:
    from basilwick.core.ranges.orders import OwnerTimes
    from basilwick.core.ranges.table import KeyRange, RangeTable
    from basilwick.core.types import MonotonicSeconds

__all__ = ["begin_takeover"]


def begin_takeover(
    table: RangeTable, times: OwnerTimes, taken_over_at: MonotonicSeconds
) -> None:
    """Set phases and ends of holds as the grants of earlier leaders require.

    Parameters
    ----------
    table : RangeTable
        Ranges as they were stored.
    taken_over_at : float
        Local time before the stored ranges were read.
    """
    for item in table.ranges:
        if item.former is not None:
            _take_up_move(item, times, taken_over_at)
            continue
        if item.owner is not None:
            item.enter(Phase.OWNED, taken_over_at)
        item.held_until = taken_over_at + times.unreached_hold_s


def _take_up_move(
    item: KeyRange, times: OwnerTimes, taken_over_at: MonotonicSeconds
) -> None:
    """Wait for both servers of an unfinished move; either one may hold the range."""
    item.target, item.owner = item.owner, item.former
    item.former = None
    item.enter(Phase.EXPIRING, taken_over_at)
    # Without its lease the leader that stored the move renews only the next owner, if
    # the move got that far. Leaders before it may renew a former owner that it never
    # reached.
    reached = item.former_reached
    hold_s = times.unfinished_hold_s if reached else times.unreached_hold_s
    item.held_until = taken_over_at + hold_s
    item.target_held_until = taken_over_at + times.unreached_hold_s
