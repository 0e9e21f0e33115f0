"""A term of leadership: its lease, and the orders that the lease permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.ranges.orders import OwnershipTimings
    from basilwick.core.types import MonotonicSeconds

__all__ = ["LeaderTerm"]

#: Safety margin in seconds before the end of the lease, for delays.
_LEASE_MARGIN_S = 0.3


@define(eq=False)
class LeaderTerm:
    """Term of this instance as the leader, from writing the leader record to its end.

    An instance that writes the leader record again starts a new term, because another
    instance may have led in between.

    Attributes
    ----------
    lease : int
        Lease to which the leader record is bound.
    revision : int
        Revision at which the leader record was written.
    lease_renewed_at : float
        Local time at which the last successful renewal of the lease was sent.
    ended : bool
        Whether the term is over; an ended term never permits orders again.
    """

    lease: int
    revision: int
    lease_renewed_at: MonotonicSeconds
    _timings: OwnershipTimings
    _clock: Callable[[], MonotonicSeconds]
    ended: bool = False

    def may_move_ranges(self) -> bool:
        """Return whether the lease is valid with a safety margin for delays."""
        age_s = self._clock() - self.lease_renewed_at
        return not self.ended and age_s < self._timings.lease_s - _LEASE_MARGIN_S

    def has_lease(self) -> bool:
        """Return whether the lease is valid, without a safety margin for delays."""
        age_s = self._clock() - self.lease_renewed_at
        return not self.ended and age_s < self._timings.lease_s

    def may_renew_grants(self) -> bool:
        """Return whether the grants of settled ranges may still be renewed."""
        age_s = self._clock() - self.lease_renewed_at
        return not self.ended and age_s < self._timings.autonomy_s
