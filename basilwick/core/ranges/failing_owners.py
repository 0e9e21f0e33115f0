"""Owners that don't answer for their ranges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.ranges.table import Phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilwick.core.ranges.table import KeyRange
    from basilwick.core.types import MonotonicSeconds, ServerName

__all__ = ["FailingOwners"]

#: First and longest time in seconds for which a server that didn't answer gets no
#: ranges. A lost server has none after its ranges have moved, and its registration may
#: not have expired yet: each range that it then gets has no owner for seconds.
_MIN_AVOIDANCE_S = 10.0
_MAX_AVOIDANCE_S = 60.0


@define(eq=False)
class FailingOwners:
    """Remembers the servers that don't answer, until they answer for a range."""

    _avoided_until: dict[ServerName, MonotonicSeconds] = field(factory=dict)
    _durations_s: dict[ServerName, float] = field(factory=dict)

    def update(self, ranges: Iterable[KeyRange], now: MonotonicSeconds) -> None:
        """Take the state of the orders to the owners into account."""
        failing, answering = set(), set()
        for key_range in ranges:
            if key_range.owner is None:
                continue
            if key_range.failures or key_range.phase is Phase.EXPIRING:
                failing.add(key_range.owner)
            elif key_range.settled:
                answering.add(key_range.owner)
        for server in answering - failing:
            self._avoided_until.pop(server, None)
            self._durations_s.pop(server, None)
        for server in failing:
            if self._avoided_until.get(server, now) <= now:
                duration_s = 2.0 * self._durations_s.get(server, _MIN_AVOIDANCE_S / 2)
                self._durations_s[server] = min(_MAX_AVOIDANCE_S, duration_s)
                self._avoided_until[server] = now
            until = now + self._durations_s[server]
            self._avoided_until[server] = max(self._avoided_until[server], until)

    def is_avoided(self, server: ServerName, now: MonotonicSeconds) -> bool:
        """Return whether a server shouldn't get further ranges."""
        return now < self._avoided_until.get(server, now)
