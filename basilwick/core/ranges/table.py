"""Table of the key ranges of one partitioned service."""

from __future__ import annotations

from bisect import bisect_right
from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilwick.core.types import MonotonicSeconds, ServerName

__all__ = ["KEY_COUNT", "KeyRange", "Phase", "RangeTable", "StoredRange"]

#: Number of keys of a partitioned service.
KEY_COUNT = 65_536


class Phase(StrEnum):
    """Where a range stands on its way from one owner to the next."""

    #: Nobody owns the range.
    UNOWNED = "free"
    #: The owner holds the range, or is being granted it.
    OWNED = "owned"
    #: The owner is being granted the range with a higher fence, to shut out earlier
    #: grants that are still under way.
    FENCING = "raising"
    #: The new owner is being stored.
    STORING = "storing"
    #: The former owner finishes its work on the range.
    RELEASING = "releasing"
    #: The former owner can't be reached; its grant has to run out.
    EXPIRING = "expiring"


@frozen
class StoredRange:
    """What the platform's service keeps of a range.

    Attributes
    ----------
    first, last : int
        Keys, both inclusive.
    owner : str
        Server that may hold the range; empty for none.
    former : str
        Server that may still hold it; empty for none.
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
    """A range of keys and what is known of its grants.

    Attributes
    ----------
    former : str or None
        As stored; a takeover makes it the owner of an unfinished move.
    former_reached : bool
        Whether the leader that stored an unfinished move had reached its owner.
    fence : int
        Fence of the newest grant to the owner.
    serving_until : float
        Local time until which the owner surely holds the range.
    latest_grant_end : float
        Local time after which no leader's grant to the owner can be in force.
    target_latest_grant_end : float
        The same for the next owner, which an earlier leader may have granted the range.
    confirmed : bool
        Whether the owner accepted a grant of this leader, so that it refuses the
        grants of earlier leaders.
    target : str or None
        Next owner of a range that moves.
    handover_token : str or None
        Token by which the next owner starts warm.
    pending : int
        Number of the order that is under way, 0 for none.
    failures : int
        Orders without an answer since the last answer.
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

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    @property
    def settled(self) -> bool:
        """Whether the owner holds the range and nothing is under way."""
        return (
            self.phase is Phase.OWNED
            and not self.pending_order_number
            and self.owner_reached
            and self.target is None
            and not self.failures
            and self.handover_token is None
            and self.serving_until > float("-inf")
        )

    def enter_phase(self, phase: Phase, now: MonotonicSeconds) -> None:
        """Go to a phase; its first order is due at once."""
        self.phase = phase
        self.phase_since = now
        self.next_order_at = now
        self.failures = 0
        self.pending_order_number = 0

    def to_stored(self) -> StoredRange:
        """Return the form that is stored."""
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
        """Cut the range before a key; returns the upper part."""
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
        )
        self.last = key - 1
        return upper


@define(eq=False)
class RangeTable:
    """All ranges of a service, in order and without gaps."""

    ranges: list[KeyRange] = field(factory=lambda: [KeyRange(0, KEY_COUNT - 1)])
    _firsts: list[int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._index()

    @classmethod
    def restore(cls, stored: Iterable[StoredRange]) -> RangeTable:
        """Build a table from stored ranges; keys that they leave out are free."""
        ranges = []
        following = 0
        for entry in sorted(stored, key=lambda entry: entry.first):
            if entry.first < following or entry.last < entry.first:
                raise ValueError(f"stored range {entry} overlaps another one")
            if entry.first > following:
                ranges.append(KeyRange(following, entry.first - 1))
            ranges.append(
                KeyRange(
                    entry.first,
                    entry.last,
                    entry.owner or None,
                    entry.former or None,
                    entry.former_reached,
                )
            )
            following = entry.last + 1
        if following < KEY_COUNT:
            ranges.append(KeyRange(following, KEY_COUNT - 1))
        return cls(ranges)

    def to_stored_ranges(self) -> list[StoredRange]:
        """Return the ranges in the form that is stored; equal neighbours are joined.

        A range that moves is stored with its next owner, and the present one as former.
        """
        stored: list[StoredRange] = []
        for item in self.ranges:
            entry = item.to_stored()
            last = stored[-1] if stored else None
            if last is not None and entry == evolve(
                last, first=entry.first, last=entry.last
            ):
                entry = evolve(last, last=entry.last)
                stored.pop()
            stored.append(entry)
        return stored

    def find(self, key: int) -> KeyRange:
        """Return the range of a key."""
        return self.ranges[bisect_right(self._firsts, key) - 1]

    def split_out(self, first: int, last: int) -> KeyRange:
        """Make a span of one range a range of its own, and return it."""
        item = self.find(first)
        if item.last < last:
            raise ValueError(f"keys {first} to {last} lie in more than one range")
        index = self.ranges.index(item)
        if first > item.first:
            item = item.split_at(first)
            index += 1
            self.ranges.insert(index, item)
        if last < item.last:
            self.ranges.insert(index + 1, item.split_at(last + 1))
        self._index()
        return item

    def merge_settled(self) -> None:
        """Join settled neighbours of one owner; the whole is granted anew at once."""
        index = 0
        while index + 1 < len(self.ranges):
            lower, upper = self.ranges[index], self.ranges[index + 1]
            if lower.owner == upper.owner and lower.settled and upper.settled:
                self._join(index)
            else:
                index += 1

    def _join(self, index: int) -> None:
        lower = self.ranges[index]
        upper = self.ranges.pop(index + 1)
        lower.last = upper.last
        lower.fence = 0
        lower.next_order_at = float("-inf")
        lower.serving_until = min(lower.serving_until, upper.serving_until)
        lower.latest_grant_end = max(lower.latest_grant_end, upper.latest_grant_end)
        self._index()

    def _index(self) -> None:
        self._firsts = [item.first for item in self.ranges]
