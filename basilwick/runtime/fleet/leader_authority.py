"""What a leader may do at the moment, and what ends its authority."""

from __future__ import annotations

from typing import Protocol

__all__ = ["DeposedError", "LeaderAuthority"]


class DeposedError(Exception):
    """Another leader has stored the ranges since this leader last wrote them."""


class LeaderAuthority(Protocol):
    """Tells which orders the leader may send at the moment.

    Attributes
    ----------
    era : int
        Era of the platform's service in which the leader is known to lead.
    uncertain : bool
        Whether another leader may have led in time that the service has lost.
    """

    era: int
    uncertain: bool

    def may_move_ranges(self) -> bool:
        """Return whether the lease is valid with a safety margin for delays."""

    def has_lease(self) -> bool:
        """Return whether the lease is valid, without a safety margin for delays."""

    def may_renew_grants(self) -> bool:
        """Return whether the grants of settled ranges may still be renewed."""
