"""One term of leadership: the lease that it rests on, and which orders it permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.ranges.orders import OwnershipTimings
    from basilwick.core.types import MonotonicSeconds

__all__ = ["LeaderTerm"]

#: Part of the lease, in seconds, that is kept back for delays.
_LEASE_MARGIN_S = 0.3


@define(eq=False)
class LeaderTerm:
    """Term of this instance as the leader, from writing its record to its end.

    An instance that writes its record anew begins another term, because another
    instance may have led in between.

    Attributes
    ----------
    lease : int
        Lease of the leader record.
    revision : int
        Revision of the leader record.
    lease_renewed_at : float
        Local time at which the last successful renewal was sent.
    ended : bool
        Whether it is over; an ended term never permits orders again.
    """

    lease: int
    revision: int
    lease_renewed_at: MonotonicSeconds
    _times: OwnershipTimings
    _clock: Callable[[], MonotonicSeconds]
    ended: bool = False

    def may_move_ranges(self) -> bool:
        """Return whether the lease is surely in force."""
        age_s = self._clock() - self.lease_renewed_at
        return not self.ended and age_s < self._times.lease_s - _LEASE_MARGIN_S

    def has_lease(self) -> bool:
        """Return whether the lease has not ended, without a margin for delays."""
        age_s = self._clock() - self.lease_renewed_at
        return not self.ended and age_s < self._times.lease_s

    def may_renew_grants(self) -> bool:
        """Return whether settled ranges may still be renewed."""
        age_s = self._clock() - self.lease_renewed_at
        return not self.ended and age_s < self._times.autonomy_s
