"""Flow of configuration: platform to watcher, watcher to peers, peer to peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.events import FetchChanges, ReadPlatform, WatchPlatform
from basilwick.core.timing import (
    HEARTBEAT_INTERVAL_S,
    PLATFORM_RETRY_MAX_S,
    PLATFORM_RETRY_MIN_S,
    WATCH_TIMEOUT_S,
)

if TYPE_CHECKING:
    from random import Random

    from basilwick.core.configuration import Changes, Configuration, Entry
    from basilwick.core.events import Action, PlatformAnswered
    from basilwick.core.types import MonotonicSeconds, Revision

__all__ = ["ChangeFlow"]

#: A lag of this long can't be due to an announcement in flight.
_LAG_TOLERANCE_S = HEARTBEAT_INTERVAL_S
#: A fetch without answer for this long is tried at another peer.
_FETCH_TIMEOUT_S = 1.0


class ChangeFlow:
    """Decides which calls keep the configuration up to date.

    Parameters
    ----------
    configuration : Configuration
        Receives the answers.
    """

    def __init__(self, configuration: Configuration):
        self._configuration = configuration
        self._has_read = False
        self._call_in_flight = False
        self._next_call_at = 0.0
        self._reachable = False
        self._lag_since: float | None = None
        self._fetch_until = 0.0
        self._lead: tuple[Revision, str] = (0, "")

    @property
    def platform_reachable(self) -> bool:
        """Whether the latest call to the platform succeeded."""
        return self._reachable

    def record_write(self, is_known: bool, now: MonotonicSeconds, rng: Random) -> None:
        """Note whether a write got an answer."""
        self._record_call(is_known, now, rng)

    def may_call(self, now: MonotonicSeconds) -> bool:
        """Return whether the pause after a failed call is over."""
        return now >= self._next_call_at

    def decide_calls(
        self, is_watcher: bool, needs_read: bool, now: MonotonicSeconds
    ) -> list[Action]:
        """Return the platform call that is due, if any.

        Parameters
        ----------
        is_watcher : bool
            Whether this instance holds a watch for its data centre.
        needs_read : bool
            Whether the instance can't work without a read of its own.
        now : float
            Local time.
        """
        if self._call_in_flight or not self.may_call(now):
            return []
        if not self._has_read and (needs_read or is_watcher):
            self._call_in_flight = True
            return [ReadPlatform()]
        if is_watcher:
            self._call_in_flight = True
            # The first watch after a failure returns at once, so that it renews the
            # contact with the platform without waiting for a change.
            timeout_s = WATCH_TIMEOUT_S if self._reachable else 0.0
            return [WatchPlatform(self._configuration.revision, timeout_s)]
        return []

    def record_answer(
        self, event: PlatformAnswered, now: MonotonicSeconds, rng: Random
    ) -> tuple[list[Entry], bool]:
        """Apply the answer of a read or watch.

        Returns
        -------
        tuple of list of Entry and bool
            New entries, and whether the configuration is now complete up to
            the revision of the answer.
        """
        self._call_in_flight = False
        self._record_call(event.changes is not None, now, rng)
        if event.changes is None:
            return [], False
        applied = self._configuration.apply(event.changes)
        complete = self._configuration.revision >= event.changes.revision
        # A watch that could not continue from the own revision leaves a gap, which
        # only a new read closes.
        self._has_read = complete
        return applied, complete

    def record_lead(
        self, revision: Revision, peer_address: str, now: MonotonicSeconds
    ) -> None:
        """Note the configuration revision of a peer."""
        if revision <= self._configuration.revision:
            return
        if self._lag_since is None:
            self._lag_since = now
        if revision >= self._lead[0]:
            self._lead = (revision, peer_address)

    def decide_fetch(self, now: MonotonicSeconds) -> list[Action]:
        """Return a fetch from the peer that is ahead, when the lag persists."""
        if self._lead[0] <= self._configuration.revision:
            self._lag_since = None
            self._lead = (0, "")
            return []
        is_new = self._configuration.revision == 0
        if self._lag_since is None or now < self._fetch_until:
            return []
        if not is_new and now - self._lag_since < _LAG_TOLERANCE_S:
            return []
        self._fetch_until = now + _FETCH_TIMEOUT_S
        address = self._lead[1]
        # Another peer gets its turn when this one doesn't answer.
        self._lead = (self._configuration.revision + 1, address)
        return [FetchChanges(address, self._configuration.revision)]

    def record_fetch(self, changes: Changes | None) -> list[Entry]:
        """Apply the changes that a peer returned."""
        self._fetch_until = 0.0
        if changes is None:
            self._lead = (0, "")
            return []
        return self._configuration.apply(changes)

    def _record_call(self, succeeded: bool, now: float, rng: Random) -> None:
        self._reachable = succeeded
        if not succeeded:
            delay = rng.uniform(PLATFORM_RETRY_MIN_S, PLATFORM_RETRY_MAX_S)
            self._next_call_at = now + delay
