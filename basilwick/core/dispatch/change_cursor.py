"""Position of an instance in the changes of the platform's service.

A read of the platform's service by each instance costs calls in proportion to the
fleet. The leader reads the changes once and passes them on; an instance reads by itself
while the leader is silent, has lost the service itself, or has skipped something.
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

__all__ = ["ChangeCursor", "MAX_LEADER_STALENESS_S"]

#: Age in seconds of the leader's last answer from the platform's service up to which
#: its changes are taken for complete.
MAX_LEADER_STALENESS_S = 1.2


@define(eq=False)
class ChangeCursor:
    """Revision up to which an instance knows all changes.

    Attributes
    ----------
    revision : int or None
        None until all items were listed.
    """

    revision: int | None = None

    def advance(self, revision: int) -> None:
        """Note that the changes up to a revision are known."""
        self.revision = max(self.revision or 0, revision)

    def accept(self, shared: SharedChanges) -> list[ItemChange]:
        """Return the changes that are new here; none if earlier ones are missing."""
        if self.revision is None or shared.after > self.revision:
            return []
        changes = [c for c in shared.changes if c.revision > self.revision]
        self.advance(shared.revision)
        return changes

    def is_current(
        self,
        beat: LeaderHeartbeat | None,
        heard_at: MonotonicSeconds,
        now: MonotonicSeconds,
    ) -> bool:
        """Return whether the leader's changes make a read of its own needless.

        Parameters
        ----------
        beat : Beat or None
            Last sign of life on a link that is alive.
        heard_at : float
            Local time of its arrival.
        """
        if beat is None or self.revision is None or beat.revision > self.revision:
            return False
        return beat.platform_age_s + now - heard_at <= MAX_LEADER_STALENESS_S
