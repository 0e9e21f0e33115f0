"""Retry budget of a service, counted in a sliding window."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["RetryBudget", "RetryWindow"]

#: Number of buckets that a window is divided into; bounds its memory and its error.
_BUCKET_COUNT = 20


@define
class RetryBudget:
    """Limit on the retries of a service.

    Attributes
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Retries allowed per window in addition to the ratio.
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
    retries: int = 0


@define(eq=False)
class RetryWindow:
    """Counts the requests and retries of one service."""

    budget: RetryBudget
    _buckets: deque[_Bucket] = field(factory=deque)
    _requests: int = 0
    _retries: int = 0

    def record_request(self, now: MonotonicSeconds) -> None:
        """Count the first attempt of a request."""
        self._advance(now).requests += 1
        self._requests += 1

    def record_retry(self, now: MonotonicSeconds) -> None:
        """Count a retry without checking the budget."""
        self._advance(now).retries += 1
        self._retries += 1

    def try_retry(self, now: MonotonicSeconds) -> bool:
        """Count a retry if the budget allows it; returns whether it does."""
        bucket = self._advance(now)
        allowed = self.budget.ratio * self._requests + self.budget.slack
        if self._retries + 1 > allowed:
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    def _advance(self, now: MonotonicSeconds) -> _Bucket:
        index = int(now * _BUCKET_COUNT / self.budget.window_s)
        while self._buckets and self._buckets[0].index <= index - _BUCKET_COUNT:
            old = self._buckets.popleft()
            self._requests -= old.requests
            self._retries -= old.retries
        if not self._buckets or self._buckets[-1].index != index:
            self._buckets.append(_Bucket(index))
        return self._buckets[-1]
