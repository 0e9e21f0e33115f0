"""Ownership protocol for the key ranges of one service: grants, releases and moves.

A server runs a request only while it holds a grant for the key. It refuses a grant
whose fence (fencing token) is lower than one it has seen on any of the keys, and a
grant that isn't renewed expires. The leader sends all grants, but correctness doesn't
depend on there being only one leader:

- The new owner of a range is stored by compare-and-swap before any order of the move is
  sent, so only one of two leaders can move keys.
- A leader reserves its fences by compare-and-swap, above all earlier ones. A server
  that has accepted a grant of this leader refuses the grants of earlier leaders.
- The former owner is first granted the range with a higher fence and must acknowledge
  it, so that it refuses earlier grants that are still in transit. Then it must
  acknowledge the release of the range, or every grant that it may hold must expire.
- A leader whose lease may have expired only renews grants of settled ranges, only at
  server processes that it reached while it had the lease, and for a bounded time.
- If the platform's service was restored from a copy, another leader may have led in the
  time that is lost. Until all of its grants have ended, a leader only renews grants,
  with the fences that they have; a server that knows the other leader refuses that. A
  range whose owner accepts a renewal after the other leader's lease is confirmed.
- A later leader waits for the end of that lease before it continues a stored move, and
  for that bounded time before it reassigns the keys of a server that it never reached.
  This wait also applies to the new owner of a stored move, because the earlier leader
  may have completed the move without storing its completion, and to a former owner that
  had not been reached by the leader that stored the move.
"""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.ranges.orders import (
    FenceReservation,
    GrantOrder,
    HandoverReason,
    Order,
    OrderResult,
    OwnershipTimings,
    RangeHandover,
    ReleaseOrder,
)
from basilwick.core.ranges.owner_policy import divide_unowned, plan_next_owners
from basilwick.core.ranges.pending import PendingOrder
from basilwick.core.ranges.serving import describe_owner
from basilwick.core.ranges.table import KeyRange, Phase, RangeTable, StoredRange
from basilwick.core.ranges.takeover import (
    bound_grants,
    confirm,
    end_answered_range,
    end_server_process,
    initialize_takeover,
    reset_restarted_owner,
    suspect_other_leader,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.dispatch.key_owners import KeyOwner
    from basilwick.core.ranges.owner_policy import OwnerPolicy, RangeDivider
    from basilwick.core.ranges.placement import Move
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["RangeController"]

#: Longest time in seconds from the completion of a move until its write is due; changes
#: within this time share one write.
_COMPLETION_STORE_DELAY_S = 0.3
#: Pause in seconds after a failed order before the next one for the range.
_RETRY_INTERVAL_S = 0.2
#: Consecutive failed orders after which a server counts as unreachable.
_UNREACHABLE_AFTER_FAILURES = 2
_NEVER = float("-inf")


@define(eq=False)
class RangeController:
    """State machine with which a leader decides the ownership of a service's ranges.

    It does no I/O: callers send the orders that `tick` returns, store the ranges that
    `begin_store` returns, and report the results.

    Attributes
    ----------
    taken_over_at : float
        Local time at which the leader's term began.
    dirty : bool
        Whether ownership has changed since it was last stored.
    deposed : bool
        Whether a server has seen fences of a later leader; then no order is sent.
    uses_evidence : bool
        Whether evidence of the end of terms and server processes shortens waits.
    divider : RangeDivider or None
        Divides ranges without an owner, and ranges that their owner loses.
    """

    service: ServiceName
    table: RangeTable
    fences: FenceReservation
    times: OwnershipTimings
    owner_policy: OwnerPolicy
    taken_over_at: MonotonicSeconds
    dirty: bool = False
    deposed: bool = False
    uses_evidence: bool = False
    divider: RangeDivider | None = None
    _holds_lease: bool = True
    _handovers: list[RangeHandover] = field(factory=list)
    _order_numbers: count = field(factory=lambda: count(1))
    _pending: dict[int, PendingOrder] = field(factory=dict)
    _ranges_being_stored: list[KeyRange] | None = None
    _store_completion_at: MonotonicSeconds = float("inf")
    #: Local time until which another leader's grants can be in force, and from which
    #: it no longer has a lease; see `suspect_other_leader`.
    _uncertain_until: MonotonicSeconds = _NEVER
    _confirm_from: MonotonicSeconds = _NEVER
    #: Local time until which grants of earlier leaders can be in force.
    _earlier_grants_end: MonotonicSeconds = _NEVER

    def __attrs_post_init__(self) -> None:
        self._earlier_grants_end = (
            self.taken_over_at + self.times.unreached_owner_wait_s
        )
        initialize_takeover(self.table, self.times, self.taken_over_at)

    def find_owner(
        self, service: ServiceName, key: int, now: MonotonicSeconds
    ) -> KeyOwner:
        """Return the owner of a key, and whether it can be sent requests now.

        At sites that use evidence, a key whose move needs the lease counts as moving
        only while the leader has it.
        """
        can_move = self._holds_lease or not self.uses_evidence
        return describe_owner(self.table.find(key), self.owner_policy, now, can_move)

    def move(self, moves: Sequence[Move], now: MonotonicSeconds) -> list[Move]:
        """Start moves of settled ranges; returns the moves that were started."""
        started = []
        for move in moves:
            found = self.table.find(move.first)
            if found.last < move.last or not found.settled:
                continue
            if found.owner == move.target:
                continue
            key_range = self.table.split_out(move.first, move.last)
            self._begin_move(key_range, move.target, now)
            started.append(move)
        return started

    def assign_unowned(
        self, servers: Sequence[ServerName], now: MonotonicSeconds
    ) -> None:
        """Divide each range without an owner among servers."""
        unowned = [
            key_range
            for key_range in self.table.ranges
            if key_range.phase is Phase.UNOWNED and key_range.confirmed
        ]
        for key_range in unowned:
            for move in divide_unowned(key_range, servers, self.divider, now):
                part = self.table.split_out(move.first, move.last)
                self._begin_move(part, move.target, now)

    def tick(self, now: MonotonicSeconds, holds_lease: bool = True) -> list[Order]:
        """Advance all ranges and return the orders that are due.

        Parameters
        ----------
        holds_lease : bool
            Whether the leader's lease is certainly valid; without it only grants of
            ranges that aren't moving (phase OWNED), and whose owner accepted one of
            this leader's grants, are renewed.
        """
        self._holds_lease = holds_lease
        if self.deposed:
            return []
        if holds_lease:
            self.table.merge_settled()
        if _NEVER < self._uncertain_until <= now:
            self._end_uncertainty()
        if now >= self._store_completion_at:
            self._store_completion_at = float("inf")
            self.dirty = True
        orders = []
        for key_range in list(self.table.ranges):
            may_move = holds_lease and key_range.confirmed
            if may_move and key_range.phase is Phase.OWNED:
                self._replace_leaving_owner(key_range, now)
            if key_range.pending_order_number or now < key_range.next_order_at:
                continue
            if not may_move and not _may_only_renew(key_range):
                continue
            previous_grant_end = key_range.latest_grant_end
            order = self._decide_order(key_range, now)
            if order is not None:
                key_range.pending_order_number = order.number
                pending = PendingOrder(key_range, order, now, previous_grant_end)
                self._pending[order.number] = pending
                orders.append(order)
        return orders

    def suspect_other_leader(self, now: MonotonicSeconds) -> None:
        """Allow for a leader whose stored ranges the platform's service has lost.

        Parameters
        ----------
        now : float
            Local time at or after which the service was restored.
        """
        self._uncertain_until = now + self.times.unreached_owner_wait_s
        self._confirm_from = now + self.times.lease_s + self.times.order_timeout_s
        suspect_other_leader(self.table, self._uncertain_until, now)

    def end_earlier_terms(self, now: MonotonicSeconds) -> bool:
        """Shorten waits, because no grant of an earlier leader will be sent any more.

        Returns whether they were shortened; while a leader may be unknown they aren't.
        """
        if not self._trusts_evidence:
            return False
        end = now + self.times.max_ttl_after_send_s
        self._earlier_grants_end = min(self._earlier_grants_end, end)
        bound_grants(self.table, self._pending.values(), end)
        return True

    def end_server_process(self, server: ServerName, asked_at: float) -> bool:
        """End waits for a server, in whose place another process answered an order.

        Returns whether they ended; `asked_at` is before the order was sent.
        """
        shown = self._shows_end(asked_at)
        if shown:
            end_server_process(self.table, server, asked_at)
        return shown

    @property
    def _trusts_evidence(self) -> bool:
        return self.uses_evidence and self._uncertain_until == _NEVER

    def _shows_end(self, asked_at: MonotonicSeconds) -> bool:
        """Return whether an answer of another process shows the end of a server's.

        An earlier leader that still counts on its lease could grant keys to a process
        of the server that started after the answer.
        """
        lease_end = self.taken_over_at + self.times.lease_s + self.times.delay_margin_s
        return self._trusts_evidence and asked_at >= lease_end

    @property
    def certain(self) -> bool:
        """Whether no unknown leader can have moved any of the ranges."""
        return self._uncertain_until == _NEVER or all(
            key_range.confirmed for key_range in self.table.ranges
        )

    def is_pending(self, order: Order) -> bool:
        """Return whether an order's range still waits for the result of this order."""
        pending = self._pending.get(order.number)
        return (
            pending is not None
            and pending.key_range.pending_order_number == order.number
        )

    def begin_store(self) -> list[StoredRange] | None:
        """Return the ranges to store; None if unchanged or while a write is pending."""
        if not self.dirty or self._ranges_being_stored is not None:
            return None
        self.dirty = False
        self._ranges_being_stored = [
            r for r in self.table.ranges if r.phase is Phase.STORING
        ]
        return self.table.to_stored_ranges()

    def drain_handovers(self) -> list[RangeHandover]:
        """Return the handovers completed since the last call."""
        handovers, self._handovers = self._handovers, []
        return handovers

    # Results of writes and orders

    def finish_store(self, succeeded: bool, now: MonotonicSeconds) -> None:
        """Handle the result of storing the ranges; a failed write is repeated."""
        waiting, self._ranges_being_stored = self._ranges_being_stored or [], None
        if not succeeded:
            self.dirty = True
            return
        for key_range in waiting:
            if key_range.phase is not Phase.STORING:
                continue
            if key_range.owner is None:
                self._complete_move(key_range, HandoverReason.UNOWNED, now)
            elif now >= key_range.latest_grant_end:
                self._complete_move(key_range, HandoverReason.GRANT_EXPIRED, now)
            elif key_range.failures >= _UNREACHABLE_AFTER_FAILURES:
                key_range.enter_phase(Phase.EXPIRING, now)
            else:
                key_range.enter_phase(Phase.FENCING, now)

    def handle_grant_result(
        self, order: GrantOrder, result: OrderResult, now: MonotonicSeconds
    ) -> bool:
        """Handle the result of a grant; returns whether the next order is due now."""
        pending = self._pop_pending(order)
        if pending is None:
            return False
        key_range = pending.key_range
        if result is OrderResult.OK:
            self._handle_accepted(pending, order.grant_ttl_s, now)
        elif result is OrderResult.CONFLICT:
            self._handle_conflict(key_range, now)
        elif result is OrderResult.ENDED and self._shows_end(pending.sent_at):
            end_answered_range(key_range, now)
            self.end_server_process(key_range.owner, pending.sent_at)
        else:
            if result is OrderResult.ENDED:
                result = OrderResult.UNKNOWN
            if result is OrderResult.UNKNOWN and key_range.confirmed:
                # The server may still receive this grant. The next one carries a
                # higher fence, after which the server refuses this one.
                key_range.fence = 0
            elif result is not OrderResult.UNKNOWN:
                key_range.latest_grant_end = pending.previous_grant_end
            # Without the lease, only connections opened earlier may be used. That none
            # is left doesn't show that the server is unreachable.
            unsent = result is OrderResult.UNSENT and order.requires_same_process
            self._handle_failed_order(
                key_range, OrderResult.EXPIRED if unsent else result, now
            )
        return key_range.next_order_at <= now

    def handle_release_result(
        self,
        order: ReleaseOrder,
        result: OrderResult,
        handover_token: str | None,
        now: MonotonicSeconds,
    ) -> None:
        """Handle the result of a release."""
        pending = self._pop_pending(order)
        if pending is None:
            return
        key_range = pending.key_range
        if result is OrderResult.ENDED and self._shows_end(pending.sent_at):
            end_answered_range(key_range, now)
            self.end_server_process(key_range.owner, pending.sent_at)
            return
        if result is not OrderResult.OK:
            self._handle_failed_order(key_range, result, now)
            return
        key_range.handover_token = handover_token
        self._complete_move(key_range, HandoverReason.RELEASED, now)

    def handle_server_restart(self, server: ServerName, now: MonotonicSeconds) -> None:
        """Handle a restart of a server's process, which loses all fences."""
        for key_range in self.table.ranges:
            if key_range.owner == server:
                reset_restarted_owner(key_range, self._earlier_grants_end, now)
                # A stored move may say that its former owner was reached, which isn't
                # true of the new process.
                self.dirty |= key_range.target is not None

    # State transitions

    def _decide_order(self, key_range: KeyRange, now: MonotonicSeconds) -> Order | None:
        if key_range.phase is Phase.UNOWNED:
            return None
        if key_range.phase is Phase.EXPIRING:
            self._wait_for_grants_to_expire(key_range, now)
            return None
        if key_range.phase is Phase.RELEASING:
            return self._order_release(key_range, now)
        if key_range.phase is Phase.FENCING or not key_range.fence:
            if not self.fences.remaining:
                return None
            key_range.fence = self.fences.take()
        return self._order_grant(key_range, self.times.grant_ttl_s, now)

    def _replace_leaving_owner(
        self, key_range: KeyRange, now: MonotonicSeconds
    ) -> None:
        if self.owner_policy.may_own(key_range.owner):
            return
        for move in plan_next_owners(key_range, self.owner_policy, self.divider, now):
            part = self.table.split_out(move.first, move.last)
            self._begin_move(part, move.target, now)

    def _begin_move(
        self, key_range: KeyRange, target: ServerName, now: MonotonicSeconds
    ) -> None:
        key_range.target = target
        # The present owner's grants are still renewed while the move is being stored.
        key_range.phase = Phase.STORING
        key_range.phase_since = now
        if key_range.owner is None:
            key_range.next_order_at = float("inf")
        self.dirty = True

    def _order_grant(
        self, key_range: KeyRange, grant_ttl_s: float, now: MonotonicSeconds
    ) -> GrantOrder:
        key_range.latest_grant_end = max(
            key_range.latest_grant_end, now + self.times.max_ttl_after_send_s
        )
        return GrantOrder(
            next(self._order_numbers),
            key_range.owner,
            key_range.first,
            key_range.last,
            key_range.fence,
            grant_ttl_s,
            key_range.handover_token if key_range.phase is Phase.OWNED else None,
            to_former_owner=key_range.phase is Phase.FENCING,
            requires_same_process=not (self._holds_lease and key_range.confirmed),
        )

    def _order_release(
        self, key_range: KeyRange, now: MonotonicSeconds
    ) -> Order | None:
        if now >= key_range.latest_grant_end:
            self._complete_move(key_range, HandoverReason.GRANT_EXPIRED, now)
            return None
        return ReleaseOrder(
            next(self._order_numbers),
            key_range.owner,
            key_range.first,
            key_range.last,
            key_range.fence,
        )

    def _wait_for_grants_to_expire(
        self, key_range: KeyRange, now: MonotonicSeconds
    ) -> None:
        if key_range.target is None:
            moves = plan_next_owners(key_range, self.owner_policy, self.divider, now)
            if not moves:
                key_range.enter_phase(Phase.OWNED, now)
            for move in moves:
                part = self.table.split_out(move.first, move.last)
                part.target = move.target
                part.phase = Phase.STORING
                # The wait for expiry continues after the move has been stored.
                part.failures = _UNREACHABLE_AFTER_FAILURES
                part.next_order_at = float("inf")
                self.dirty = True
        elif now >= key_range.latest_grant_end:
            self._complete_move(key_range, HandoverReason.GRANT_EXPIRED, now)

    def _complete_move(
        self, key_range: KeyRange, reason: HandoverReason, now: MonotonicSeconds
    ) -> None:
        self._handovers.append(key_range.hand_over(reason, self.fences.next_fence, now))
        self._store_completion_at = min(
            self._store_completion_at, now + _COMPLETION_STORE_DELAY_S
        )

    def _handle_accepted(
        self, pending: PendingOrder, grant_ttl_s: float, now: MonotonicSeconds
    ) -> None:
        key_range = pending.key_range
        key_range.failures = 0
        # Earlier grants without an answer have either arrived by now or will be refused
        # for their lower fence, so none of them can outlast the accepted grant.
        key_range.owner_reached = True
        if key_range.confirmed:
            key_range.latest_grant_end = now + self.times.max_ttl_after_answer_s
        elif pending.sent_at >= self._confirm_from:
            confirm(key_range, self.times, now)
        if key_range.phase is Phase.FENCING:
            key_range.enter_phase(Phase.RELEASING, now)
            return
        key_range.handover_token = None
        key_range.serving_until = pending.sent_at + grant_ttl_s
        key_range.next_order_at = now + self.times.renewal_interval_s

    def _end_uncertainty(self) -> None:
        """Trust all ranges, because the grants of any other leader have ended."""
        self._uncertain_until = _NEVER
        for key_range in self.table.ranges:
            if not key_range.confirmed:
                key_range.confirmed = True
                key_range.fence = 0

    def _handle_conflict(self, key_range: KeyRange, now: MonotonicSeconds) -> None:
        key_range.failures += 1
        key_range.serving_until = _NEVER
        key_range.next_order_at = now
        key_range.fence = 0
        may_move = self._holds_lease and key_range.confirmed
        if not may_move or key_range.failures > _UNREACHABLE_AFTER_FAILURES:
            self.deposed = True
            key_range.next_order_at = now + _RETRY_INTERVAL_S

    def _handle_failed_order(
        self, key_range: KeyRange, result: OrderResult, now: MonotonicSeconds
    ) -> None:
        key_range.next_order_at = now + _RETRY_INTERVAL_S
        if result is OrderResult.EXPIRED:
            # The delay was in this instance and says nothing about the server.
            return
        key_range.failures += 1
        if key_range.failures < _UNREACHABLE_AFTER_FAILURES:
            return
        if key_range.phase in (Phase.OWNED, Phase.FENCING):
            key_range.enter_phase(Phase.EXPIRING, now)
        elif key_range.phase is Phase.STORING:
            # Stop renewing, so that the grant expires while the move is being stored.
            key_range.next_order_at = float("inf")

    def _pop_pending(self, order: Order) -> PendingOrder | None:
        """Remove an order's entry; returns None if its range no longer waits for it."""
        pending = self._pending.pop(order.number, None)
        if pending is None or pending.key_range.pending_order_number != order.number:
            return None
        pending.key_range.pending_order_number = 0
        return pending


def _may_only_renew(key_range: KeyRange) -> bool:
    """Return whether a grant can be renewed by a leader that may not move the range."""
    can_renew = key_range.phase is Phase.OWNED and key_range.owner_reached
    return can_renew and (key_range.confirmed or key_range.fence > 0)
