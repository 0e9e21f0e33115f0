"""Estimates how long a caller has waited since its first attempt.

Answers overload in which refused callers come back: their repeats can no longer be
answered in time, and must not take the place of requests that can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["FirstAttempts"]

#: Time in seconds after which a longest wait is measured anew.
_PERIOD_S = 5.0
#: Difference in seconds that is put down to delays on the way.
_TOLERANCE_S = 0.02


@define
class _LongestWait:
    period: int
    present_s: float
    previous_s: float = 0.0


@define(eq=False)
class FirstAttempts:
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
        elapsed_s = max(wait.present_s, wait.previous_s) - time_left_s
        return elapsed_s if elapsed_s > _TOLERANCE_S else 0.0
