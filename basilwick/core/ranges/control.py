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
    FenceBlock,
    GrantOrder,
    HandOver,
    HandOverReason,
    Order,
    OrderResult,
    OwnerTimes,
    ReleaseOrder,
)
from basilwick.core.ranges.pending import PendingOrder
from basilwick.core.ranges.placement import plan_even_shares
from basilwick.core.ranges.serving import describe_owner
from basilwick.core.ranges.table import KeyRange, Phase, RangeTable, StoredRange
from basilwick.core.ranges.takeover import begin_anew, begin_takeover

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.dispatch.owners import KeyOwner
    from basilwick.core.ranges.placement import Move
    from basilwick.core.ranges.servers import Servers
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["RangeControl"]

#: Time in seconds after a completed move within which its end is stored, together with
#: other changes.
_STORE_END_AFTER_S = 0.3
#: Interval in seconds between an order without an answer and the next one.
_REPEAT_AFTER_S = 0.2
#: Orders without an answer after which a server counts as unreachable.
_FAILURES_TO_GIVE_UP = 2
_NEVER = float("-inf")


@define(eq=False)
class RangeControl:
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
    fences: FenceBlock
    times: OwnerTimes
    servers: Servers
    taken_over_at: MonotonicSeconds
    unstored: bool = False
    deposed: bool = False
    _leased: bool = True
    _hand_overs: list[HandOver] = field(factory=list)
    _numbers: count = field(factory=lambda: count(1))
    _pending: dict[int, PendingOrder] = field(factory=dict)
    _storing: list[KeyRange] | None = None
    _store_end_at: MonotonicSeconds = float("inf")

    def __attrs_post_init__(self) -> None:
        begin_takeover(self.table, self.times, self.taken_over_at)

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
            item = self.table.carve(move.first, move.last)
            self._begin_move(item, move.target, now)
            begun.append(move)
        return begun

    def assign_free(self, servers: Sequence[ServerName], now: MonotonicSeconds) -> None:
        """Give the ranges that nobody owns to servers, in even shares."""
        free = [item for item in self.table.ranges if item.phase is Phase.FREE]
        for item in free:
            for move in plan_even_shares(item.first, item.last, servers):
                part = self.table.carve(move.first, move.last)
                self._begin_move(part, move.target, now)

    def tick(self, now: MonotonicSeconds, leased: bool = True) -> list[Order]:
        """Return the orders that are due.

        Parameters
        ----------
        leased : bool
            Whether the leader's lease is surely in force; without it only settled
            ranges are renewed.
        """
        self._leased = leased
        if self.deposed:
            return []
        if leased:
            self.table.join_settled()
        if now >= self._store_end_at:
            self._store_end_at = float("inf")
            self.unstored = True
        orders = []
        for item in self.table.ranges:
            if leased and item.phase is Phase.OWNED:
                self._replace_leaving_owner(item, now)
            if item.pending or now < item.next_order_at:
                continue
            if not leased and not (item.phase is Phase.OWNED and item.confirmed):
                continue
            held_before = item.held_until
            order = self._decide(item, now)
            if order is not None:
                item.pending = order.number
                pending = PendingOrder(item, order, now, held_before)
                self._pending[order.number] = pending
                orders.append(order)
        return orders

    def is_pending(self, order: Order) -> bool:
        """Return whether an order is still wanted: its range has not moved on."""
        pending = self._pending.get(order.number)
        return pending is not None and pending.item.pending == order.number

    def take_unstored(self) -> list[StoredRange] | None:
        """Return the ownership to store, None if it is stored or being stored."""
        if not self.unstored or self._storing is not None:
            return None
        self.unstored = False
        self._storing = [r for r in self.table.ranges if r.phase is Phase.STORING]
        return self.table.list_stored()

    def take_hand_overs(self) -> list[HandOver]:
        """Return the ranges that changed hands since the last call."""
        taken, self._hand_overs = self._hand_overs, []
        return taken

    # Answers

    def note_stored(self, stored: bool, now: MonotonicSeconds) -> None:
        """Take the result of storing the ownership; a failure is stored again."""
        waiting, self._storing = self._storing or [], None
        if not stored:
            self.unstored = True
            return
        for item in waiting:
            if item.phase is not Phase.STORING:
                continue
            if item.owner is None:
                self._hand_to_target(item, HandOverReason.FREE, now)
            elif now >= item.held_until:
                self._hand_to_target(item, HandOverReason.HOLD_ENDED, now)
            elif item.failures >= _FAILURES_TO_GIVE_UP:
                item.enter(Phase.EXPIRING, now)
            else:
                item.enter(Phase.RAISING, now)

    def note_granted(
        self, order: GrantOrder, result: OrderResult, now: MonotonicSeconds
    ) -> bool:
        """Take the answer to a grant; returns whether another order is due at once."""
        pending = self._take_pending(order)
        if pending is None:
            return False
        item = pending.item
        if result is OrderResult.OK:
            self._note_accepted(pending, order.hold_s, now)
        elif result is OrderResult.CONFLICT:
            self._note_conflict(item, now)
        else:
            if result is OrderResult.LOST:
                # A higher fence keeps the server from taking this order late.
                item.fence = 0
            else:
                item.held_until = pending.held_before
            # Without the lease the server may be well though no connection is kept.
            unsent = result is OrderResult.UNSENT and order.same_process
            self._note_without_effect(
                item, OrderResult.EXPIRED if unsent else result, now
            )
        return item.next_order_at <= now

    def note_released(
        self,
        order: ReleaseOrder,
        result: OrderResult,
        hand_over: str | None,
        now: MonotonicSeconds,
    ) -> None:
        """Take the answer to a release."""
        pending = self._take_pending(order)
        if pending is None:
            return
        item = pending.item
        if result is not OrderResult.OK:
            self._note_without_effect(item, result, now)
            return
        item.hand_over = hand_over
        self._hand_to_target(item, HandOverReason.RELEASED, now)

    def note_restarted(self, server: ServerName, now: MonotonicSeconds) -> None:
        """Note that a server's process is another one."""
        unreached_until = self.taken_over_at + self.times.unreached_hold_s
        for item in self.table.ranges:
            if item.owner == server:
                begin_anew(item, unreached_until, now)
                # The stored move may tell that the former owner was reached.
                self.unstored |= item.target is not None

    # Parts of a decision

    def _decide(self, item: KeyRange, now: MonotonicSeconds) -> Order | None:
        if item.phase is Phase.FREE:
            return None
        if item.phase is Phase.EXPIRING:
            self._wait_out(item, now)
            return None
        if item.phase is Phase.RELEASING:
            return self._order_release(item, now)
        if item.phase is Phase.RAISING or not item.fence:
            if not self.fences.left:
                return None
            item.fence = self.fences.take()
        return self._order_grant(item, self.times.hold_s, now)

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
        self.unstored = True

    def _order_grant(
        self, item: KeyRange, hold_s: float, now: MonotonicSeconds
    ) -> GrantOrder:
        item.held_until = max(item.held_until, now + self.times.longest_hold_s)
        return GrantOrder(
            next(self._numbers),
            item.owner,
            item.first,
            item.last,
            item.fence,
            hold_s,
            item.hand_over if item.phase is Phase.OWNED else None,
            to_former_owner=item.phase is Phase.RAISING,
            same_process=not self._leased,
        )

    def _order_release(self, item: KeyRange, now: MonotonicSeconds) -> Order | None:
        if now >= item.held_until:
            self._hand_to_target(item, HandOverReason.HOLD_ENDED, now)
            return None
        return ReleaseOrder(
            next(self._numbers), item.owner, item.first, item.last, item.fence
        )

    def _wait_out(self, item: KeyRange, now: MonotonicSeconds) -> None:
        if item.target is None:
            target = self.servers.choose_owner(item.owner)
            if target is None:
                item.enter(Phase.OWNED, now)
            else:
                item.target = target
                item.phase = Phase.STORING
                item.failures = _FAILURES_TO_GIVE_UP
                item.next_order_at = float("inf")
                self.unstored = True
        elif now >= item.held_until:
            self._hand_to_target(item, HandOverReason.HOLD_ENDED, now)

    def _hand_to_target(
        self, item: KeyRange, reason: HandOverReason, now: MonotonicSeconds
    ) -> None:
        self._hand_overs.append(
            HandOver(
                item.first,
                item.last,
                item.owner,
                item.target,
                reason,
                self.fences.following,
            )
        )
        item.owner, item.target = item.target, None
        self._store_end_at = min(self._store_end_at, now + _STORE_END_AFTER_S)
        item.fence = 0
        item.confirmed = item.former_reached = False
        item.serving_until = _NEVER
        item.held_until, item.target_held_until = item.target_held_until, _NEVER
        item.enter(Phase.OWNED, now)

    def _note_accepted(
        self, pending: PendingOrder, hold_s: float, now: MonotonicSeconds
    ) -> None:
        item = pending.item
        item.failures = 0
        # Earlier orders without an answer have arrived by now or are refused, so only
        # the accepted grant can still be in force.
        item.confirmed = True
        item.held_until = now + self.times.answered_hold_s
        if item.phase is Phase.RAISING:
            item.enter(Phase.RELEASING, now)
            return
        item.hand_over = None
        item.serving_until = pending.sent_at + hold_s
        item.next_order_at = now + self.times.renewal_s

    def _note_conflict(self, item: KeyRange, now: MonotonicSeconds) -> None:
        item.failures += 1
        item.serving_until = _NEVER
        item.next_order_at = now
        item.fence = 0
        if not self._leased or item.failures > _FAILURES_TO_GIVE_UP:
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
        if item.phase in (Phase.OWNED, Phase.RAISING):
            item.enter(Phase.EXPIRING, now)
        elif item.phase is Phase.STORING:
            # No more renewals, so that the grant runs out while the move is stored.
            item.next_order_at = float("inf")

    def _take_pending(self, order: Order) -> PendingOrder | None:
        """Return what an answer belongs to, None if the range has moved on."""
        pending = self._pending.pop(order.number, None)
        if pending is None or pending.item.pending != order.number:
            return None
        pending.item.pending = 0
        return pending
