"""Limits on calls to the platform: rate limits, back-off and adaptive timeouts."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from random import Random

    from basilwick.core.types import MonotonicSeconds

__all__ = ["Backoff", "CallBudget", "CallKind", "AdaptiveTimeout", "TokenBucket"]

_MAX_TIMEOUT_FACTOR = 8.0


class CallKind(StrEnum):
    """Kind of a call; the platform can handle fewer writes than reads."""

    READ = "read"
    WRITE = "write"


@define
class TokenBucket:
    """Token bucket that limits a rate and allows bursts.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    burst : float
        Capacity of the bucket in tokens.
    """

    rate: float
    burst: float
    _tokens: float = field(init=False)
    _updated_at: MonotonicSeconds | None = field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def reserve(self, now: MonotonicSeconds, max_wait_s: float) -> float | None:
        """Take a token that is available now or will be soon.

        Parameters
        ----------
        now : float
            Local time in seconds.
        max_wait_s : float
            Longest acceptable wait in seconds.

        Returns
        -------
        float or None
            Seconds to wait before the token may be used. None if the wait would be
            longer than ``max_wait_s``, in which case no token is taken.
        """
        elapsed = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        wait = max(0.0, (1 - self._tokens) / self.rate)
        if wait > max_wait_s:
            return None
        self._tokens -= 1
        return wait


def _build_read_bucket() -> TokenBucket:
    # The platform can handle about 2,000 reads per second; 12 instances use a third.
    return TokenBucket(rate=50, burst=100)


def _build_write_bucket() -> TokenBucket:
    # The platform can handle several hundred writes per second. The loss of a server
    # changes up to 36 block documents at once, which must not wait for tokens.
    return TokenBucket(rate=20, burst=80)


@define
class CallBudget:
    """Rate limits of one instance for its calls to the platform."""

    reads: TokenBucket = field(factory=_build_read_bucket)
    writes: TokenBucket = field(factory=_build_write_bucket)

    def reserve(
        self, kind: CallKind, now: MonotonicSeconds, max_wait_s: float
    ) -> float | None:
        """Return the wait in seconds before a call, None if it would be too long."""
        bucket = self.reads if kind is CallKind.READ else self.writes
        return bucket.reserve(now, max_wait_s)


@define
class Backoff:
    """Exponential back-off with full jitter.

    The whole delay is random, not only a part of it, so that instances that saw the
    platform fail at the same moment call it at different times when it recovers.

    Parameters
    ----------
    rng : random.Random
        Source of the delays.
    base_s, cap_s : float
        Maximum delay in seconds after the first failure and after many failures.
    """

    rng: Random
    base_s: float = 0.1
    cap_s: float = 2.0
    failures: int = 0
    _not_before: MonotonicSeconds = 0.0

    def get_delay(self, now: MonotonicSeconds) -> float:
        """Return the seconds to wait before the next call."""
        return max(0.0, self._not_before - now)

    def record_failure(self, now: MonotonicSeconds) -> None:
        """Delay the calls that follow."""
        # A burst of calls that fail together counts once: failures while a delay is in
        # force are ignored.
        if now < self._not_before:
            return
        max_delay_s = min(self.cap_s, self.base_s * 2 ** min(self.failures, 16))
        self.failures += 1
        self._not_before = now + self.rng.uniform(0.0, max_delay_s)

    def record_success(self) -> None:
        """Reset the delay."""
        self.failures = 0
        self._not_before = 0.0


@define
class AdaptiveTimeout:
    """Extends the timeouts while the platform is slow.

    With a fixed timeout, a platform that takes longer would never respond in time, and
    every write would end with an unknown outcome although it takes effect.

    Attributes
    ----------
    factor : float
        Factor by which the normal timeouts are multiplied, 1 to 8.
    """

    factor: float = 1.0

    def record_timeout(self) -> None:
        """Double the timeouts after a call that has timed out."""
        self.factor = min(_MAX_TIMEOUT_FACTOR, 2 * self.factor)

    def record_response(self, elapsed_s: float, timeout_s: float) -> None:
        """Reduce the timeouts to twice the time that a response took."""
        self.factor = max(1.0, min(self.factor, 2 * elapsed_s / timeout_s))
