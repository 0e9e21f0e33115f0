"""Assumptions about grants of other leaders.

They are made at a takeover, at a restart of a server, and when the platform's service
was restored from a copy.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.ranges.table import Phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilwick.core.ranges.orders import OwnershipTimings
    from basilwick.core.ranges.pending import PendingOrder
    from basilwick.core.ranges.table import KeyRange, RangeTable
    from basilwick.core.types import MonotonicSeconds, ServerName

__all__ = [
    "bound_grants",
    "confirm",
    "end_answered_range",
    "end_server_process",
    "initialize_takeover",
    "may_lack_changes",
    "reset_restarted_owner",
    "suspect_other_leader",
]


def may_lack_changes(stored_era: int | None, era: int, may_be_restored: bool) -> bool:
    """Return whether changes of the ranges that a new leader reads may be lost.

    Ranges that the service lacks, and ranges without an era, can be from before any of
    its returns from a copy. That there are none shows a first start, after which no
    other leader's grants are in force, only if the service was never restored.

    Parameters
    ----------
    stored_era : int or None
        Era in which the ranges were certainly complete; None if there are none, or if
        they were stored without an era.
    era : int
        Present era of the service.
    may_be_restored : bool
        Whether the service may ever have been restored, also before this process
        started.
    """
    if stored_era is None:
        return may_be_restored
    return stored_era < era


def initialize_takeover(
    table: RangeTable, times: OwnershipTimings, taken_over_at: MonotonicSeconds
) -> None:
    """Set phases and latest grant ends to allow for the grants of earlier leaders.

    Parameters
    ----------
    table : RangeTable
        Ranges as read from the store.
    times : OwnershipTimings
        Time limits of the protocol.
    taken_over_at : float
        Local time at or before which reading the stored ranges began.
    """
    for key_range in table.ranges:
        if key_range.former is not None:
            _resume_move(key_range, times, taken_over_at)
            continue
        if key_range.owner is not None:
            key_range.enter_phase(Phase.OWNED, taken_over_at)
        key_range.latest_grant_end = taken_over_at + times.unreached_owner_wait_s


def _resume_move(
    key_range: KeyRange, times: OwnershipTimings, taken_over_at: MonotonicSeconds
) -> None:
    """Continue an unfinished move, of which both servers may hold grants."""
    key_range.target, key_range.owner = key_range.owner, key_range.former
    key_range.former = None
    key_range.enter_phase(Phase.EXPIRING, taken_over_at)
    # After its lease has expired, the leader that stored the move renews at most the
    # next owner's grant, if the move was completed. Leaders before it may still renew
    # the grant of a former owner that it never reached.
    reached = key_range.former_reached
    wait_s = times.reached_owner_wait_s if reached else times.unreached_owner_wait_s
    key_range.latest_grant_end = taken_over_at + wait_s
    key_range.target_latest_grant_end = taken_over_at + times.unreached_owner_wait_s


def bound_grants(
    table: RangeTable, pending: Iterable[PendingOrder], end: MonotonicSeconds
) -> None:
    """Lower the latest grant ends to a time at which all grants sent by now have ended.

    This includes grants of this leader that were sent by now.
    """
    for key_range in table.ranges:
        key_range.latest_grant_end = min(key_range.latest_grant_end, end)
        key_range.target_latest_grant_end = min(key_range.target_latest_grant_end, end)
    for order in pending:
        order.previous_grant_end = min(order.previous_grant_end, end)


def end_server_process(
    table: RangeTable, server: ServerName, asked_at: MonotonicSeconds
) -> None:
    """End the waits for the grants of a server process that has ended.

    Another process answered an order at the server's address. A later process of the
    server can hold only grants that this leader has sent since then, because
    connections end with the process that they reach.

    Parameters
    ----------
    asked_at : float
        Local time at or before which the order was sent. No grant was sent since then
        for ranges that were waiting already.
    """
    for key_range in table.ranges:
        waits = key_range.phase is Phase.EXPIRING and key_range.owner == server
        if waits and key_range.phase_since <= asked_at:
            key_range.latest_grant_end = float("-inf")


def end_answered_range(key_range: KeyRange, now: MonotonicSeconds) -> None:
    """End the wait for the grants of a range whose order another process answered."""
    key_range.latest_grant_end = key_range.serving_until = float("-inf")
    key_range.fence = 0
    if key_range.phase is Phase.STORING:
        # No grant may be sent until the next owner is stored.
        key_range.next_order_at = float("inf")
    else:
        key_range.enter_phase(Phase.EXPIRING, now)


def confirm(
    key_range: KeyRange, times: OwnershipTimings, now: MonotonicSeconds
) -> None:
    """Trust a range whose owner knows no other leader; its next fence is new."""
    key_range.confirmed = True
    key_range.fence = 0
    # Renewals without an answer had the same fence and may be carried out late.
    key_range.latest_grant_end = now + times.max_ttl_after_send_s


def reset_restarted_owner(
    key_range: KeyRange, unreached_until: MonotonicSeconds, now: MonotonicSeconds
) -> None:
    """Reset the state of a range whose owner's process was restarted.

    The new process knows no fences, so since its start it may have accepted any grant,
    including one of an earlier leader or of a leader of an earlier version. Only its
    answer to a grant of this leader bounds what it may hold.

    Parameters
    ----------
    key_range : KeyRange
        Range of the restarted server.
    unreached_until : float
        Local time until which grants of earlier leaders can be in force.
    now : float
        Local time.
    """
    key_range.latest_grant_end = max(key_range.latest_grant_end, unreached_until)
    key_range.serving_until = float("-inf")
    key_range.owner_reached = key_range.former_reached = False
    key_range.fence = 0
    if key_range.phase is Phase.STORING:
        key_range.pending_order_number = key_range.failures = 0
        key_range.next_order_at = now
    elif key_range.target is None:
        key_range.enter_phase(Phase.OWNED, now)
    elif now >= key_range.target_latest_grant_end:
        key_range.enter_phase(Phase.FENCING, now)


def suspect_other_leader(
    table: RangeTable, until: MonotonicSeconds, now: MonotonicSeconds
) -> None:
    """Allow for a leader whose stored ranges the platform's service has lost.

    It may have moved each range. Moves are cancelled, or wait until all of its grants
    have ended; grants of ranges that don't move can be renewed, because a server that
    has accepted a grant of the other leader refuses that.

    Parameters
    ----------
    until : float
        Local time until which grants of the other leader can be in force.
    now : float
        Local time.
    """
    for key_range in table.ranges:
        key_range.confirmed = False
        key_range.latest_grant_end = max(key_range.latest_grant_end, until)
        if key_range.phase in (Phase.STORING, Phase.FENCING):
            key_range.target = None
            owned = key_range.owner is not None
            key_range.enter_phase(Phase.OWNED if owned else Phase.UNOWNED, now)
        elif key_range.phase is Phase.RELEASING:
            key_range.enter_phase(Phase.EXPIRING, now)
        if key_range.target is not None:
            key_range.target_latest_grant_end = max(
                key_range.target_latest_grant_end, until
            )
