"""Estimates how long a caller has waited since its first attempt.

Answers overload in which refused callers come back: their repeats can no longer be
answered in time, and must not take the place of requests that can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["CallerWaitEstimator"]

#: Time in seconds after which a longest wait is measured anew.
_PERIOD_S = 5.0
#: Callers of one route are not all equally patient: who still waits for this share of
#: the longest time counts as making its first attempt.
_FIRST_SHARE = 0.75


@define
class _LongestWait:
    period: int
    present_s: float
    previous_s: float = 0.0


@define(eq=False)
class CallerWaitEstimator:
    """Longest time that callers of each route wait, which first attempts state."""

    _waits: dict[str, _LongestWait] = field(factory=dict)

    def estimate_elapsed(
        self, route: str, time_left_s: float, now: MonotonicSeconds
    ) -> float:
        """Return the seconds since the first attempt, 0 for a first attempt.

        Parameters
        ----------
        route : str
            Name of the route.
        time_left_s : float
            Seconds that the caller says it will still wait.
        """
        period = int(now / _PERIOD_S)
        wait = self._waits.get(route)
        if wait is None:
            wait = self._waits[route] = _LongestWait(period, time_left_s)
        elif wait.period != period:
            wait.previous_s = wait.present_s if period == wait.period + 1 else 0.0
            wait.period, wait.present_s = period, time_left_s
        wait.present_s = max(wait.present_s, time_left_s)
        longest_s = max(wait.present_s, wait.previous_s)
        if time_left_s >= _FIRST_SHARE * longest_s:
            return 0.0
        return longest_s - time_left_s
