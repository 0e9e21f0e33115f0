"""Estimates how long a caller has waited since its first attempt.

Under overload, refused callers retry. Their retries can no longer be answered within
the target latency, and must not displace requests that can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["CallerWaitEstimator"]

#: Length in seconds of the windows over which the longest wait is measured.
_WINDOW_S = 5.0
#: Callers of one route have different timeouts, so a request counts as a first attempt
#: if its time left is at least this share of the longest one.
_FIRST_ATTEMPT_RATIO = 0.75


@define
class _LongestWait:
    """Longest time left that callers stated in the current and the previous window."""

    window: int
    current_s: float
    previous_s: float = 0.0


@define(eq=False)
class CallerWaitEstimator:
    """Estimates the elapsed time of callers from the time that they have left.

    The first attempts of a route's callers state the longest time left. If a request
    states a much shorter time, its caller has already waited for the difference.
    """

    _longest_waits: dict[str, _LongestWait] = field(factory=dict)

    def estimate_elapsed(
        self, route: str, time_left_s: float, now: MonotonicSeconds
    ) -> float:
        """Return the seconds since a caller's first attempt, 0 for a first attempt.

        Parameters
        ----------
        route : str
            Name of the route.
        time_left_s : float
            Seconds for which the caller states that it will still wait.
        """
        window = int(now / _WINDOW_S)
        wait = self._longest_waits.get(route)
        if wait is None:
            wait = self._longest_waits[route] = _LongestWait(window, time_left_s)
        elif wait.window != window:
            wait.previous_s = wait.current_s if window == wait.window + 1 else 0.0
            wait.window, wait.current_s = window, time_left_s
        wait.current_s = max(wait.current_s, time_left_s)
        longest_s = max(wait.current_s, wait.previous_s)
        if time_left_s >= _FIRST_ATTEMPT_RATIO * longest_s:
            return 0.0
        return longest_s - time_left_s
