"""What a leader assumes of ranges before their servers have answered it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.ranges.table import Phase

if TYPE_CHECKING:
    from basilwick.core.ranges.orders import OwnerTimes
    from basilwick.core.ranges.table import KeyRange, RangeTable
    from basilwick.core.types import MonotonicSeconds

__all__ = ["begin_anew", "begin_takeover"]


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


def begin_anew(
    item: KeyRange, unreached_until: MonotonicSeconds, now: MonotonicSeconds
) -> None:
    """Begin anew with an owner whose process is another one.

    The new process knows no fences, so it may have accepted grants since its start,
    also those of a leader of an earlier version. Only its answer ends what it may hold.

    Parameters
    ----------
    unreached_until : float
        Local time until which earlier leaders' grants can be in force.
    """
    item.held_until = max(item.held_until, unreached_until)
    item.serving_until = float("-inf")
    item.confirmed = item.former_reached = False
    item.fence = 0
    if item.phase is Phase.STORING:
        item.pending = item.failures = 0
        item.next_order_at = now
    elif item.target is None:
        item.enter(Phase.OWNED, now)
    elif now >= item.target_held_until:
        item.enter(Phase.RAISING, now)
