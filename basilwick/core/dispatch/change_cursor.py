"""Position of an instance in the changes of the platform's service.

If every instance read the platform's service, the number of calls would grow with the
fleet. Instead the leader reads the changes once and passes them on. An instance reads
them itself while the leader sends no heartbeats or has lost the service, or if changes
from the leader are missing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from basilwick.core.dispatch.messages import (
        ItemChange,
        LeaderHeartbeat,
        SharedChanges,
    )
    from basilwick.core.types import MonotonicSeconds

__all__ = ["ChangeCursor", "MAX_LEADER_STALENESS_S", "is_fresh"]

#: Longest time in seconds since the platform's service last answered the leader for
#: which the leader's changes count as complete.
MAX_LEADER_STALENESS_S = 1.2


@define(eq=False)
class ChangeCursor:
    """Revision up to which an instance knows all changes.

    Attributes
    ----------
    revision : int or None
        Revision of the newest known change; None until all items were listed.
    """

    revision: int | None = None

    def advance(self, revision: int) -> None:
        """Record that the changes up to a revision are known."""
        self.revision = max(self.revision or 0, revision)

    def accept(self, shared: SharedChanges) -> list[ItemChange]:
        """Return the changes that are new here and advance to their revision.

        Returns no change, and doesn't advance, if earlier changes are missing.
        """
        if self.revision is None or shared.after > self.revision:
            return []
        changes = [c for c in shared.changes if c.revision > self.revision]
        self.advance(shared.revision)
        return changes

    def covers(self, after: int, complete: bool) -> bool:
        """Return whether changes after a revision leave no gap here."""
        return complete or (self.revision is not None and after <= self.revision)

    def is_current(
        self,
        heartbeat: LeaderHeartbeat | None,
        received_at: MonotonicSeconds,
        now: MonotonicSeconds,
    ) -> bool:
        """Return whether the changes from the leader are complete and recent.

        The instance then needs no read of its own.

        Parameters
        ----------
        heartbeat : LeaderHeartbeat or None
            Newest heartbeat of the leader; None if the link is not alive.
        received_at : float
            Local time at which the heartbeat arrived.
        """
        if (
            heartbeat is None
            or self.revision is None
            or heartbeat.revision > self.revision
        ):
            return False
        return is_fresh(heartbeat, received_at, now)


def is_fresh(
    heartbeat: LeaderHeartbeat, received_at: MonotonicSeconds, now: MonotonicSeconds
) -> bool:
    """Return whether the leader reached the platform's service a short time ago."""
    return heartbeat.platform_age_s + now - received_at <= MAX_LEADER_STALENESS_S
