"""What a leader assumes of ranges before their servers have answered it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.ranges.table import Phase

if TYPE_CHECKING:
    from basilwick.core.ranges.orders import OwnershipTimings
    from basilwick.core.ranges.table import KeyRange, RangeTable
    from basilwick.core.types import MonotonicSeconds

__all__ = ["reset_restarted_owner", "initialize_takeover"]


def initialize_takeover(
    table: RangeTable, times: OwnershipTimings, taken_over_at: MonotonicSeconds
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
            item.enter_phase(Phase.OWNED, taken_over_at)
        item.latest_grant_end = taken_over_at + times.unreached_owner_wait_s


def _take_up_move(
    item: KeyRange, times: OwnershipTimings, taken_over_at: MonotonicSeconds
) -> None:
    """Wait for both servers of an unfinished move; either one may hold the range."""
    item.target, item.owner = item.owner, item.former
    item.former = None
    item.enter_phase(Phase.EXPIRING, taken_over_at)
    # Without its lease the leader that stored the move renews only the next owner, if
    # the move got that far. Leaders before it may renew a former owner that it never
    # reached.
    reached = item.former_reached
    grant_ttl_s = (
        times.reached_owner_wait_s if reached else times.unreached_owner_wait_s
    )
    item.latest_grant_end = taken_over_at + grant_ttl_s
    item.target_latest_grant_end = taken_over_at + times.unreached_owner_wait_s


def reset_restarted_owner(
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
    item.latest_grant_end = max(item.latest_grant_end, unreached_until)
    item.serving_until = float("-inf")
    item.owner_reached = item.former_reached = False
    item.fence = 0
    if item.phase is Phase.STORING:
        item.pending_order_number = item.failures = 0
        item.next_order_at = now
    elif item.target is None:
        item.enter_phase(Phase.OWNED, now)
    elif now >= item.target_latest_grant_end:
        item.enter_phase(Phase.FENCING, now)
