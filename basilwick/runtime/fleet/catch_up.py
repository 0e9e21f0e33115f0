"""Asks the leader for the changes of the platform's service that an instance lacks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from basilwick.core.dispatch.change_cursor import is_fresh

if TYPE_CHECKING:
    from basilwick.core.dispatch.change_cursor import ChangeCursor
    from basilwick.core.types import MonotonicSeconds
    from basilwick.runtime.fleet.leader_links import LeaderLink

__all__ = ["LeaderCatchUp"]

#: Time in seconds without a part of the changes that the leader was asked for, after
#: which an instance reads the service itself; it asks the leader again after a pause.
_TRANSFER_TIMEOUT_S = 2.5
_TRANSFER_PAUSE_S = 5.0


class LeaderCatchUp:
    """Asks the leader for missing changes, one request at a time.

    Parameters
    ----------
    link : LeaderLink
        Carries the request and the changes.
    """

    def __init__(self, link: LeaderLink):
        self._link = link
        self._requested = False
        self._no_request_before: MonotonicSeconds = float("-inf")

    def expects_changes(self, cursor: ChangeCursor, now: MonotonicSeconds) -> bool:
        """Return whether the leader will send the changes, after asking if needed."""
        if not self._leader_knows_changes(now) or now < self._no_request_before:
            self._requested = False
            return False
        if not self._requested:
            self._requested = True
            self._link.request_changes(
                -1 if cursor.revision is None else cursor.revision
            )
            return True
        if now - self._link.transfer_at < _TRANSFER_TIMEOUT_S:
            return True
        logger.bind(revision=cursor.revision).info("the leader sent no missing changes")
        self._requested = False
        self._no_request_before = now + _TRANSFER_PAUSE_S
        return False

    def finish(self) -> None:
        """Record that changes arrived, so that later ones are asked for anew."""
        self._requested = False

    def _leader_knows_changes(self, now: MonotonicSeconds) -> bool:
        heartbeat, heard_at = self._link.heartbeat
        return (
            heartbeat is not None
            and heartbeat.revision > 0
            and is_fresh(heartbeat, heard_at, now)
            and self._link.sends_missing_changes
        )
