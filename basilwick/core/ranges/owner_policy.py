"""Interfaces through which the range controller chooses owners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from basilwick.core.ranges.placement import Move, plan_even_shares

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.ranges.table import KeyRange
    from basilwick.core.types import MonotonicSeconds, ServerName

__all__ = ["OwnerPolicy", "RangeDivider", "divide_unowned", "plan_next_owners"]


class OwnerPolicy(Protocol):
    """Decides which servers may own ranges of a service."""

    def may_own(self, server: ServerName) -> bool:
        """Return whether a server may keep its ranges."""

    def choose_owner(self, excluded: ServerName | None) -> ServerName | None:
        """Return the server that should take over a range, None if there is none."""


class RangeDivider(Protocol):
    """Divides the keys of a range among several next owners."""

    def divide_unowned(
        self, first: int, last: int, now: MonotonicSeconds
    ) -> list[Move] | None:
        """Return the shares of a span without an owner.

        Returns None if the span is to be divided evenly.
        """

    def plan_shares(
        self,
        first: int,
        last: int,
        excluded: ServerName | None,
        divisible: bool,
        now: MonotonicSeconds,
    ) -> list[Move] | None:
        """Return the shares of a span whose owner loses it.

        Returns None if `OwnerPolicy.choose_owner` is to choose one server for all.

        Parameters
        ----------
        first, last : int
            First and last key, both inclusive.
        excluded : str or None
            Present owner, which gets none of the keys.
        divisible : bool
            Whether there may be more than one share.
        now : float
            Local time.
        """


def divide_unowned(
    key_range: KeyRange,
    servers: Sequence[ServerName],
    divider: RangeDivider | None,
    now: MonotonicSeconds,
) -> list[Move]:
    """Return the shares of servers in a range without an owner."""
    shares = None
    if divider is not None and servers:
        shares = divider.divide_unowned(key_range.first, key_range.last, now)
    if shares is None:
        shares = plan_even_shares(key_range.first, key_range.last, servers)
    return shares


def plan_next_owners(
    key_range: KeyRange,
    owner_policy: OwnerPolicy,
    divider: RangeDivider | None,
    now: MonotonicSeconds,
) -> list[Move]:
    """Return the moves of a range to its next owners, none if there is no server."""
    owner, first, last = key_range.owner, key_range.first, key_range.last
    shares = None
    if divider is not None:
        divisible = _is_divisible(key_range)
        shares = divider.plan_shares(first, last, owner, divisible, now)
    if shares is None:
        target = owner_policy.choose_owner(owner)
        shares = [] if target is None else [Move(first, last, target)]
    return shares


def _is_divisible(key_range: KeyRange) -> bool:
    """Return whether a range may be split before its move begins.

    Both parts keep the owner, its fence and the end of its grants. A split would lose
    an order whose result is awaited, a handover token, and the end of grants that
    another server holds.
    """
    return (
        not key_range.pending_order_number
        and key_range.target is None
        and key_range.handover_token is None
        and key_range.target_latest_grant_end == float("-inf")
    )
