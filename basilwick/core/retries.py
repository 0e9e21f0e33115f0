"""Whether and when a request is sent again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.errors import ErrorKind, Outcome

if TYPE_CHECKING:
    from random import Random

    from basilwick.core.errors import Refusal
    from basilwick.core.types import MonotonicSeconds

__all__ = [
    "Budget",
    "RetryPolicy",
    "compute_hedge_delay",
    "compute_silence_limit",
    "is_silent",
]

#: Share of a service's requests that may be sent again.
RETRY_RATIO = 0.1
#: Share of a service's requests that may be hedged.
HEDGE_RATIO = 0.05
_MIN_HEDGE_DELAY_S = 0.010
_MIN_SILENCE_S = 0.030
_SILENCE_FACTOR = 3.0
_FIRST_DELAY_S = 0.005
_LONGEST_DELAY_S = 0.2
#: Refusals that a later attempt, or one through another gateway, can turn into an
#: answer. An overloaded server is left alone: the caller gets the retry hint.
_RETRYABLE = frozenset(
    {
        ErrorKind.SERVER_REFUSED,
        ErrorKind.CONNECTION_LOST,
        ErrorKind.NO_PERMISSION,
        ErrorKind.SHUTTING_DOWN,
    }
)


class Budget:
    """Token bucket filled by requests: extra sends stay a share of them.

    Parameters
    ----------
    ratio : float
        Extra sends per request.
    burst : float, default=10.0
        Largest number of extra sends saved up.
    """

    __slots__ = ("_burst", "_ratio", "_tokens")

    def __init__(self, ratio: float, burst: float = 10.0):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Count one request of the service."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take one extra send when the budget allows it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryPolicy:
    """Budgets of one service, shared by all layers that send again."""

    def __init__(self) -> None:
        self.retries = Budget(RETRY_RATIO)
        self.hedges = Budget(HEDGE_RATIO)

    def record_request(self) -> None:
        """Count one request of the service."""
        self.retries.record_request()
        self.hedges.record_request()

    def plan_retry(
        self,
        refusal: Refusal,
        idempotent: bool,
        attempt: int,
        deadline: MonotonicSeconds,
        now: MonotonicSeconds,
        rng: Random,
    ) -> float | None:
        """Return the delay in seconds before another attempt, None for no attempt.

        Parameters
        ----------
        refusal : Refusal
            How the last attempt ended.
        idempotent : bool
            Whether the operation may run more than once.
        attempt : int
            Number of attempts made.
        deadline, now : float
            Local times in seconds.
        rng : random.Random
            Source of jitter.
        """
        if refusal.kind not in _RETRYABLE:
            return None
        if not idempotent and refusal.outcome is not Outcome.NOT_RUN:
            return None
        longest_s = min(_LONGEST_DELAY_S, _FIRST_DELAY_S * 2.0 ** (attempt - 1))
        delay_s = longest_s * (0.5 + 0.5 * rng.random())
        delay_s = max(delay_s, refusal.retry_after_s or 0.0)
        if now + delay_s >= deadline or not self.retries.try_spend():
            return None
        return delay_s


def compute_hedge_delay(p95_s: float | None) -> float:
    """Return the seconds after which an unanswered lookup is sent a second time."""
    return max(p95_s or 0.0, _MIN_HEDGE_DELAY_S)


def compute_silence_limit(p99_s: float | None) -> float:
    """Return the seconds without a byte after which a connection is suspect."""
    return max(_SILENCE_FACTOR * (p99_s or 0.0), _MIN_SILENCE_S)


def is_silent(
    heard_at: MonotonicSeconds,
    answered_elsewhere_at: MonotonicSeconds,
    now: MonotonicSeconds,
    limit_s: float,
) -> bool:
    """Return whether a connection without a byte since ``heard_at`` went silent.

    Without an answer on another connection the server itself may be slow, and closing
    the connection would only repeat the work.
    """
    return now - heard_at >= limit_s and answered_elsewhere_at > heard_at
