"""Sliding window that bounds how often a service's requests are sent again."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["RetryBudget", "RetryWindow"]

#: Buckets of a window, which bound its memory and its error.
_BUCKETS = 20


@define
class RetryBudget:
    """Bounds of additional sends.

    Attributes
    ----------
    ratio : float
        Additional sends per request.
    slack : float
        Additional sends in a window besides.
    window_s : float
        Length of the window in seconds.
    """

    ratio: float = 0.1
    slack: float = 10.0
    window_s: float = 10.0


@define
class _Bucket:
    index: int
    requests: int = 0
    resends: int = 0


@define(eq=False)
class RetryWindow:
    """Counts the requests and additional sends of one service."""

    bounds: RetryBudget
    _buckets: deque[_Bucket] = field(factory=deque)
    _requests: int = 0
    _resends: int = 0

    def record_request(self, now: MonotonicSeconds) -> None:
        """Count a request."""
        self._advance(now).requests += 1
        self._requests += 1

    def record_retry(self, now: MonotonicSeconds) -> None:
        """Count an additional send that needed no permission."""
        self._advance(now).resends += 1
        self._resends += 1

    def try_retry(self, now: MonotonicSeconds) -> bool:
        """Count an additional send if the bounds allow it."""
        bucket = self._advance(now)
        allowed = self.bounds.ratio * self._requests + self.bounds.slack
        if self._resends + 1 > allowed:
            return False
        bucket.resends += 1
        self._resends += 1
        return True

    def _advance(self, now: MonotonicSeconds) -> _Bucket:
        index = int(now * _BUCKETS / self.bounds.window_s)
        while self._buckets and self._buckets[0].index <= index - _BUCKETS:
            old = self._buckets.popleft()
            self._requests -= old.requests
            self._resends -= old.resends
        if not self._buckets or self._buckets[-1].index != index:
            self._buckets.append(_Bucket(index))
        return self._buckets[-1]
