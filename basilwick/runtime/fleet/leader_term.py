"""A term of leadership: its lease, and the orders that the lease permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.ranges.orders import OwnershipTimings
    from basilwick.core.types import InstanceName, MonotonicSeconds

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
    era : int
        Era of the platform's service in which the term is known to have its record.
    uncertain : bool
        Whether another leader may have led in time that the service has lost.
    earlier_records : frozenset of pairs of str and int
        Instance and lease of the leader records that were seen before the term.
    ended : bool
        Whether the term is over; an ended term never permits orders again.
    """

    lease: int
    revision: int
    lease_renewed_at: MonotonicSeconds
    _timings: OwnershipTimings
    _clock: Callable[[], MonotonicSeconds]
    era: int = 0
    uncertain: bool = False
    earlier_records: frozenset[tuple[InstanceName, int]] = frozenset()
    ended: bool = False

    def continue_in_era(self, era: int, revision: int) -> bool:
        """Continue the term after the platform's service was restored from a copy.

        The copy contains the leader record and its lease. While the lease was valid
        nobody else could lead; afterwards another instance may have led in time that
        is lost.

        Parameters
        ----------
        era, revision : int
            Present era, and the revision of the leader record in it.

        Returns
        -------
        bool
            False if the term can't go on, because its grants were no longer renewed.
        """
        if not self.may_renew_grants():
            return False
        self.uncertain = not self.has_lease()
        self.era = era
        self.revision = revision
        return True

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
