"""Decides the grants, releases and moves of the key ranges of one service.

A server runs a request only while it holds the key, refuses a grant with a lower fence
than it has seen on any of the keys, and loses a grant that isn't renewed. One leader
orders all grants. Correctness doesn't rest on there being one leader:

- A new owner is stored by compare-and-swap before any order of its move is sent, so of
  two leaders only one can move keys.
- A leader takes its fences from a block that it reserved by compare-and-swap, above all
  earlier ones. A server that has answered it refuses the grants of earlier leaders.
- The former owner is first granted the range with a higher fence and must answer, which
  shuts out earlier grants still under way; then it releases the range and must answer,
  or all grants that it may have are waited out.
- A leader whose lease may have ended sends only renewals of settled ranges, only to
  processes of servers that it reached with its lease, and for a bounded time. A later
  leader waits for the end of the lease before it goes on with a stored move, and for
  that bounded time before it gives away the keys of a server that it never reached.
  That includes the new owner of a stored move, because the earlier leader may have
  completed the move without storing its end, and a former owner that the leader which
  stored the move had not reached.
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
from basilwick.core.ranges.pending import PendingOrder
from basilwick.core.ranges.placement import plan_even_shares
from basilwick.core.ranges.serving import describe_owner
from basilwick.core.ranges.table import KeyRange, Phase, RangeTable, StoredRange
from basilwick.core.ranges.takeover import initialize_takeover, reset_restarted_owner

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.dispatch.key_owners import KeyOwner
    from basilwick.core.ranges.owner_policy import OwnerPolicy
    from basilwick.core.ranges.placement import Move
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["RangeController"]

#: Time in seconds after a completed move within which its end is stored, together with
#: other changes.
_STORE_END_AFTER_S = 0.3
#: Interval in seconds between an order without an answer and the next one.
_REPEAT_AFTER_S = 0.2
#: Orders without an answer after which a server counts as unreachable.
_FAILURES_TO_GIVE_UP = 2
_NEVER = float("-inf")


@define(eq=False)
class RangeController:
    """Ownership of the ranges of one service, as its leader decides it.

    Attributes
    ----------
    taken_over_at : float
        Local time at which the leadership began.
    unstored : bool
        Whether ownership changed since it was last stored.
    deposed : bool
        Whether a server has seen the fences of a later leader; nothing is sent then.
    """

    service: ServiceName
    table: RangeTable
    fences: FenceReservation
    times: OwnershipTimings
    servers: OwnerPolicy
    taken_over_at: MonotonicSeconds
    dirty: bool = False
    deposed: bool = False
    _holds_lease: bool = True
    _handovers: list[RangeHandover] = field(factory=list)
    _numbers: count = field(factory=lambda: count(1))
    _pending: dict[int, PendingOrder] = field(factory=dict)
    _storing: list[KeyRange] | None = None
    _store_end_at: MonotonicSeconds = float("inf")

    def __attrs_post_init__(self) -> None:
        initialize_takeover(self.table, self.times, self.taken_over_at)

    def find_owner(
        self, service: ServiceName, key: int, now: MonotonicSeconds
    ) -> KeyOwner:
        """Return the owner of a key."""
        return describe_owner(self.table.find(key), self.servers, now)

    def move(self, moves: Sequence[Move], now: MonotonicSeconds) -> list[Move]:
        """Begin moves; returns those that were begun."""
        begun = []
        for move in moves:
            found = self.table.find(move.first)
            if found.last < move.last or not found.settled:
                continue
            if found.owner == move.target:
                continue
            item = self.table.split_out(move.first, move.last)
            self._begin_move(item, move.target, now)
            begun.append(move)
        return begun

    def assign_unowned(
        self, servers: Sequence[ServerName], now: MonotonicSeconds
    ) -> None:
        """Give the ranges that nobody owns to servers, in even shares."""
        free = [item for item in self.table.ranges if item.phase is Phase.UNOWNED]
        for item in free:
            for move in plan_even_shares(item.first, item.last, servers):
                part = self.table.split_out(move.first, move.last)
                self._begin_move(part, move.target, now)

    def tick(self, now: MonotonicSeconds, holds_lease: bool = True) -> list[Order]:
        """Return the orders that are due.

        Parameters
        ----------
        leased : bool
            Whether the leader's lease is surely in force; without it only settled
            ranges are renewed.
        """
        self._holds_lease = holds_lease
        if self.deposed:
            return []
        if holds_lease:
            self.table.merge_settled()
        if now >= self._store_end_at:
            self._store_end_at = float("inf")
            self.dirty = True
        orders = []
        for item in self.table.ranges:
            if holds_lease and item.phase is Phase.OWNED:
                self._replace_leaving_owner(item, now)
            if item.pending_order_number or now < item.next_order_at:
                continue
            if not holds_lease and not (
                item.phase is Phase.OWNED and item.owner_reached
            ):
                continue
            previous_grant_end = item.latest_grant_end
            order = self._decide(item, now)
            if order is not None:
                item.pending_order_number = order.number
                pending_order_number = PendingOrder(
                    item, order, now, previous_grant_end
                )
                self._pending[order.number] = pending_order_number
                orders.append(order)
        return orders

    def is_pending(self, order: Order) -> bool:
        """Return whether an order is still wanted: its range has not moved on."""
        pending_order_number = self._pending.get(order.number)
        return (
            pending_order_number is not None
            and pending_order_number.item.pending_order_number == order.number
        )

    def begin_store(self) -> list[StoredRange] | None:
        """Return the ownership to store, None if it is stored or being stored."""
        if not self.dirty or self._storing is not None:
            return None
        self.dirty = False
        self._storing = [r for r in self.table.ranges if r.phase is Phase.STORING]
        return self.table.to_stored_ranges()

    def drain_handovers(self) -> list[RangeHandover]:
        """Return the ranges that changed hands since the last call."""
        taken, self._handovers = self._handovers, []
        return taken

    # Answers

    def finish_store(self, stored: bool, now: MonotonicSeconds) -> None:
        """Take the result of storing the ownership; a failure is stored again."""
        waiting, self._storing = self._storing or [], None
        if not stored:
            self.dirty = True
            return
        for item in waiting:
            if item.phase is not Phase.STORING:
                continue
            if item.owner is None:
                self._hand_to_target(item, HandoverReason.UNOWNED, now)
            elif now >= item.latest_grant_end:
                self._hand_to_target(item, HandoverReason.GRANT_EXPIRED, now)
            elif item.failures >= _FAILURES_TO_GIVE_UP:
                item.enter_phase(Phase.EXPIRING, now)
            else:
                item.enter_phase(Phase.FENCING, now)

    def handle_grant_result(
        self, order: GrantOrder, result: OrderResult, now: MonotonicSeconds
    ) -> bool:
        """Take the answer to a grant; returns whether another order is due at once."""
        pending_order_number = self._take_pending(order)
        if pending_order_number is None:
            return False
        item = pending_order_number.item
        if result is OrderResult.OK:
            self._note_accepted(pending_order_number, order.grant_ttl_s, now)
        elif result is OrderResult.CONFLICT:
            self._note_conflict(item, now)
        else:
            if result is OrderResult.UNKNOWN:
                # A higher fence keeps the server from taking this order late.
                item.fence = 0
            else:
                item.latest_grant_end = pending_order_number.previous_grant_end
            # Without the lease the server may be well though no connection is kept.
            unsent = result is OrderResult.UNSENT and order.requires_same_process
            self._note_without_effect(
                item, OrderResult.EXPIRED if unsent else result, now
            )
        return item.next_order_at <= now

    def handle_release_result(
        self,
        order: ReleaseOrder,
        result: OrderResult,
        handover_token: str | None,
        now: MonotonicSeconds,
    ) -> None:
        """Take the answer to a release."""
        pending_order_number = self._take_pending(order)
        if pending_order_number is None:
            return
        item = pending_order_number.item
        if result is not OrderResult.OK:
            self._note_without_effect(item, result, now)
            return
        item.handover_token = handover_token
        self._hand_to_target(item, HandoverReason.RELEASED, now)

    def handle_server_restart(self, server: ServerName, now: MonotonicSeconds) -> None:
        """Note that a server's process is another one."""
        unreached_until = self.taken_over_at + self.times.unreached_owner_wait_s
        for item in self.table.ranges:
            if item.owner == server:
                reset_restarted_owner(item, unreached_until, now)
                # The stored move may tell that the former owner was reached.
                self.dirty |= item.target is not None

    # Parts of a decision

    def _decide(self, item: KeyRange, now: MonotonicSeconds) -> Order | None:
        if item.phase is Phase.UNOWNED:
            return None
        if item.phase is Phase.EXPIRING:
            self._wait_out(item, now)
            return None
        if item.phase is Phase.RELEASING:
            return self._order_release(item, now)
        if item.phase is Phase.FENCING or not item.fence:
            if not self.fences.remaining:
                return None
            item.fence = self.fences.take()
        return self._order_grant(item, self.times.grant_ttl_s, now)

    def _replace_leaving_owner(self, item: KeyRange, now: MonotonicSeconds) -> None:
        if self.servers.may_own(item.owner):
            return
        target = self.servers.choose_owner(item.owner)
        if target is not None:
            self._begin_move(item, target, now)

    def _begin_move(
        self, item: KeyRange, target: ServerName, now: MonotonicSeconds
    ) -> None:
        item.target = target
        # Orders to the present owner go on while the move is being stored.
        item.phase = Phase.STORING
        item.phase_since = now
        if item.owner is None:
            item.next_order_at = float("inf")
        self.dirty = True

    def _order_grant(
        self, item: KeyRange, grant_ttl_s: float, now: MonotonicSeconds
    ) -> GrantOrder:
        item.latest_grant_end = max(
            item.latest_grant_end, now + self.times.max_ttl_after_send_s
        )
        return GrantOrder(
            next(self._numbers),
            item.owner,
            item.first,
            item.last,
            item.fence,
            grant_ttl_s,
            item.handover_token if item.phase is Phase.OWNED else None,
            to_former_owner=item.phase is Phase.FENCING,
            requires_same_process=not self._holds_lease,
        )

    def _order_release(self, item: KeyRange, now: MonotonicSeconds) -> Order | None:
        if now >= item.latest_grant_end:
            self._hand_to_target(item, HandoverReason.GRANT_EXPIRED, now)
            return None
        return ReleaseOrder(
            next(self._numbers), item.owner, item.first, item.last, item.fence
        )

    def _wait_out(self, item: KeyRange, now: MonotonicSeconds) -> None:
        if item.target is None:
            target = self.servers.choose_owner(item.owner)
            if target is None:
                item.enter_phase(Phase.OWNED, now)
            else:
                item.target = target
                item.phase = Phase.STORING
                item.failures = _FAILURES_TO_GIVE_UP
                item.next_order_at = float("inf")
                self.dirty = True
        elif now >= item.latest_grant_end:
            self._hand_to_target(item, HandoverReason.GRANT_EXPIRED, now)

    def _hand_to_target(
        self, item: KeyRange, reason: HandoverReason, now: MonotonicSeconds
    ) -> None:
        self._handovers.append(
            RangeHandover(
                item.first,
                item.last,
                item.owner,
                item.target,
                reason,
                self.fences.next_fence,
            )
        )
        item.owner, item.target = item.target, None
        self._store_end_at = min(self._store_end_at, now + _STORE_END_AFTER_S)
        item.fence = 0
        item.owner_reached = item.former_reached = False
        item.serving_until = _NEVER
        item.latest_grant_end, item.target_latest_grant_end = (
            item.target_latest_grant_end,
            _NEVER,
        )
        item.enter_phase(Phase.OWNED, now)

    def _note_accepted(
        self,
        pending_order_number: PendingOrder,
        grant_ttl_s: float,
        now: MonotonicSeconds,
    ) -> None:
        item = pending_order_number.item
        item.failures = 0
        # Earlier orders without an answer have arrived by now or are refused, so only
        # the accepted grant can still be in force.
        item.owner_reached = True
        item.latest_grant_end = now + self.times.max_ttl_after_answer_s
        if item.phase is Phase.FENCING:
            item.enter_phase(Phase.RELEASING, now)
            return
        item.handover_token = None
        item.serving_until = pending_order_number.sent_at + grant_ttl_s
        item.next_order_at = now + self.times.renewal_interval_s

    def _note_conflict(self, item: KeyRange, now: MonotonicSeconds) -> None:
        item.failures += 1
        item.serving_until = _NEVER
        item.next_order_at = now
        item.fence = 0
        if not self._holds_lease or item.failures > _FAILURES_TO_GIVE_UP:
            self.deposed = True
            item.next_order_at = now + _REPEAT_AFTER_S

    def _note_without_effect(
        self, item: KeyRange, result: OrderResult, now: MonotonicSeconds
    ) -> None:
        item.next_order_at = now + _REPEAT_AFTER_S
        if result is OrderResult.EXPIRED:
            # The delay was this instance's, and tells nothing of the server.
            return
        item.failures += 1
        if item.failures < _FAILURES_TO_GIVE_UP:
            return
        if item.phase in (Phase.OWNED, Phase.FENCING):
            item.enter_phase(Phase.EXPIRING, now)
        elif item.phase is Phase.STORING:
            # No more renewals, so that the grant runs out while the move is stored.
            item.next_order_at = float("inf")

    def _take_pending(self, order: Order) -> PendingOrder | None:
        """Return what an answer belongs to, None if the range has moved on."""
        pending_order_number = self._pending.pop(order.number, None)
        if (
            pending_order_number is None
            or pending_order_number.item.pending_order_number != order.number
        ):
            return None
        pending_order_number.item.pending_order_number = 0
        return pending_order_number
