"""Moving rate of events, such as arrivals at a queue."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["MovingRate"]


@define(eq=False)
class MovingRate:
    """Events per second, weighted exponentially by their age.

    Parameters
    ----------
    period_s : float
        Time constant in seconds of the weights.
    """

    _period_s: float
    _rate: float = 0.0
    _updated_at: MonotonicSeconds = float("-inf")

    def record(self, now: MonotonicSeconds) -> None:
        """Record an event."""
        self._rate = self.get(now) + 1.0 / self._period_s
        self._updated_at = now

    def get(self, now: MonotonicSeconds) -> float:
        """Return the events per second."""
        if not self._rate:
            return 0.0
        return self._rate * exp((self._updated_at - now) / self._period_s)
