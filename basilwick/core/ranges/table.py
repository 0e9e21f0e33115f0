"""Table of the key ranges of one partitioned service."""

from __future__ import annotations

from bisect import bisect_right
from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from basilwick.core.ranges.orders import RangeHandover

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilwick.core.ranges.orders import HandoverReason
    from basilwick.core.types import Fence, MonotonicSeconds, ServerName

__all__ = ["KEY_COUNT", "KeyRange", "Phase", "RangeTable", "StoredRange"]

#: Number of keys of a partitioned service.
KEY_COUNT = 65_536


class Phase(StrEnum):
    """State of a range between two changes of its owner."""

    #: No server owns the range.
    UNOWNED = "free"
    #: The owner holds a grant for the range, or is being sent one.
    OWNED = "owned"
    #: The present owner is being sent a grant with a higher fence, so that it refuses
    #: earlier grants that are still in transit.
    FENCING = "raising"
    #: The next owner is being stored. Grants of the present owner, if there is one, are
    #: still renewed while it answers; those of an unreachable owner expire meanwhile.
    STORING = "storing"
    #: The present owner has been asked to finish its work and release the range.
    RELEASING = "releasing"
    #: The present owner can't be reached; its grants have to expire.
    EXPIRING = "expiring"


@frozen
class StoredRange:
    """Range as stored in the platform's key-value service.

    Attributes
    ----------
    first, last : int
        First and last key, both inclusive.
    owner : str
        Owner of the range, or its next owner while it moves; empty for none.
    former : str
        Former owner of a range that moves, which may still hold a grant; empty for
        none.
    former_reached : bool
        Whether the former owner had accepted a grant of the leader that stored the
        move, so that it refuses the grants of earlier leaders.
    """

    first: int
    last: int
    owner: str = ""
    former: str = ""
    former_reached: bool = False


@define(eq=False)
class KeyRange:
    """Range of keys with one owner, and the state of its grants.

    Attributes
    ----------
    first, last : int
        First and last key, both inclusive.
    owner : str or None
        Present owner; a range that moves keeps it until the move is completed.
    former : str or None
        Former owner as stored; a takeover makes it the present owner of an unfinished
        move.
    former_reached : bool
        Whether the present owner of an unfinished move had accepted a grant of the
        leader that stored the move.
    fence : int
        Fence of the latest grant to the owner; 0 makes the next grant take a new one.
    target : str or None
        Next owner of a range that moves.
    handover_token : str or None
        Token with which the next owner starts warm.
    serving_until : float
        Local time until which the owner certainly holds a grant.
    latest_grant_end : float
        Local time after which no grant of any leader to the owner can be in force.
    target_latest_grant_end : float
        The same for the next owner, which may hold a grant of an earlier leader.
    owner_reached : bool
        Whether the owner has accepted a grant of this leader, so that it refuses the
        grants of earlier leaders.
    next_order_at : float
        Local time from which the next order is due.
    phase_since : float
        Local time at which the present phase began.
    pending_order_number : int
        Number of the order whose result is awaited, 0 for none.
    failures : int
        Consecutive failed orders.
    confirmed : bool
        Whether no leader that is unknown here can have moved the range. Without that,
        its present grant may only be renewed.
    """

    first: int
    last: int
    owner: ServerName | None = None
    former: ServerName | None = None
    former_reached: bool = False
    fence: int = 0
    phase: Phase = Phase.UNOWNED
    target: ServerName | None = None
    handover_token: str | None = None
    serving_until: MonotonicSeconds = float("-inf")
    latest_grant_end: MonotonicSeconds = float("-inf")
    target_latest_grant_end: MonotonicSeconds = float("-inf")
    next_order_at: MonotonicSeconds = float("-inf")
    phase_since: MonotonicSeconds = float("-inf")
    owner_reached: bool = False
    pending_order_number: int = 0
    failures: int = 0
    confirmed: bool = True

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    @property
    def settled(self) -> bool:
        """Whether the owner holds a grant and no order or move is in progress."""
        return (
            self.phase is Phase.OWNED
            and not self.pending_order_number
            and self.owner_reached
            and self.confirmed
            and self.target is None
            and not self.failures
            and self.handover_token is None
            and self.serving_until > float("-inf")
        )

    def enter_phase(self, phase: Phase, now: MonotonicSeconds) -> None:
        """Change the phase; the first order of the new phase is due at once."""
        self.phase = phase
        self.phase_since = now
        self.next_order_at = now
        self.failures = 0
        self.pending_order_number = 0

    def hand_over(
        self, reason: HandoverReason, fence: Fence, now: MonotonicSeconds
    ) -> RangeHandover:
        """Make the next owner the owner; its first order is due at once."""
        handover = RangeHandover(
            self.first, self.last, self.owner, self.target, reason, fence
        )
        self.owner, self.target = self.target, None
        self.fence = 0
        self.owner_reached = self.former_reached = False
        self.serving_until = float("-inf")
        self.latest_grant_end = self.target_latest_grant_end
        self.target_latest_grant_end = float("-inf")
        self.enter_phase(Phase.OWNED, now)
        return handover

    def to_stored(self) -> StoredRange:
        """Return the range in its stored form."""
        if self.target is None:
            return StoredRange(self.first, self.last, self.owner or "")
        return StoredRange(
            self.first,
            self.last,
            self.target,
            self.owner or "",
            self.owner is not None and (self.owner_reached or self.former_reached),
        )

    def split_at(self, key: int) -> KeyRange:
        """Split the range before a key and return the upper part."""
        upper = KeyRange(
            key,
            self.last,
            self.owner,
            fence=self.fence,
            phase=self.phase,
            serving_until=self.serving_until,
            latest_grant_end=self.latest_grant_end,
            next_order_at=self.next_order_at,
            phase_since=self.phase_since,
            owner_reached=self.owner_reached,
            confirmed=self.confirmed,
        )
        self.last = key - 1
        return upper


@define(eq=False)
class RangeTable:
    """All ranges of a service, in the order of their keys and without gaps."""

    ranges: list[KeyRange] = field(factory=lambda: [KeyRange(0, KEY_COUNT - 1)])
    _first_keys: list[int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rebuild_index()

    @classmethod
    def restore(cls, stored: Iterable[StoredRange]) -> RangeTable:
        """Build a table from stored ranges; keys that they omit have no owner."""
        ranges = []
        next_key = 0
        for entry in sorted(stored, key=lambda entry: entry.first):
            if entry.first < next_key or entry.last < entry.first:
                raise ValueError(f"stored range {entry} is empty or overlaps another")
            if entry.first > next_key:
                ranges.append(KeyRange(next_key, entry.first - 1))
            ranges.append(
                KeyRange(
                    entry.first,
                    entry.last,
                    entry.owner or None,
                    entry.former or None,
                    entry.former_reached,
                )
            )
            next_key = entry.last + 1
        if next_key < KEY_COUNT:
            ranges.append(KeyRange(next_key, KEY_COUNT - 1))
        return cls(ranges)

    def to_stored_ranges(self) -> list[StoredRange]:
        """Return the ranges in their stored form, with equal neighbours merged.

        A range that moves is stored with its next owner as the owner and its present
        owner as the former owner.
        """
        stored: list[StoredRange] = []
        for key_range in self.ranges:
            entry = key_range.to_stored()
            last = stored[-1] if stored else None
            if last is not None and entry == evolve(
                last, first=entry.first, last=entry.last
            ):
                entry = evolve(last, last=entry.last)
                stored.pop()
            stored.append(entry)
        return stored

    def list_awaited_owners(self) -> dict[ServerName, int]:
        """Return the servers whose grants are waited out, and a key of each."""
        return {r.owner: r.first for r in self.ranges if r.phase is Phase.EXPIRING}

    def find(self, key: int) -> KeyRange:
        """Return the range that contains a key."""
        return self.ranges[bisect_right(self._first_keys, key) - 1]

    def split_out(self, first: int, last: int) -> KeyRange:
        """Split a span of keys out of its range and return it as a separate range."""
        key_range = self.find(first)
        if key_range.last < last:
            raise ValueError(f"keys {first} to {last} are in more than one range")
        index = self.ranges.index(key_range)
        if first > key_range.first:
            key_range = key_range.split_at(first)
            index += 1
            self.ranges.insert(index, key_range)
        if last < key_range.last:
            self.ranges.insert(index + 1, key_range.split_at(last + 1))
        self._rebuild_index()
        return key_range

    def merge_settled(self) -> None:
        """Merge settled neighbours of one owner; the whole is granted at once."""
        index = 0
        while index + 1 < len(self.ranges):
            lower, upper = self.ranges[index], self.ranges[index + 1]
            if lower.owner == upper.owner and lower.settled and upper.settled:
                self._merge(index)
            else:
                index += 1

    def _merge(self, index: int) -> None:
        lower = self.ranges[index]
        upper = self.ranges.pop(index + 1)
        lower.last = upper.last
        lower.fence = 0
        lower.next_order_at = float("-inf")
        lower.serving_until = min(lower.serving_until, upper.serving_until)
        lower.latest_grant_end = max(lower.latest_grant_end, upper.latest_grant_end)
        self._rebuild_index()

    def _rebuild_index(self) -> None:
        self._first_keys = [key_range.first for key_range in self.ranges]
