"""Token bucket that limits the rate of requests to a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["TokenBucket"]

#: Time in seconds for which unused tokens are kept; limits bursts.
_BURST_S = 0.1


@define
class TokenBucket:
    """Tokens for single requests, gained at a rate.

    The rate is given to each call, because it changes while tokens are kept.
    """

    tokens: float = 1.0
    updated_at: MonotonicSeconds = float("-inf")

    def is_idle(self, rate: float, now: MonotonicSeconds) -> bool:
        """Return whether the bucket was not updated while it could fill up."""
        return (now - self.updated_at) * rate >= _compute_capacity(rate)

    def has_token(self, rate: float, now: MonotonicSeconds) -> bool:
        """Add the tokens gained since the last call; returns whether there is one.

        Parameters
        ----------
        rate : float
            Tokens gained per second, above 0.
        """
        if self.is_idle(rate, now):
            self.tokens = max(self.tokens, _compute_capacity(rate))
        else:
            self.tokens += (now - self.updated_at) * rate
        self.tokens = min(self.tokens, _compute_capacity(rate))
        self.updated_at = now
        return self.tokens >= 1.0

    def take(self) -> None:
        """Take the token of one request."""
        self.tokens -= 1.0

    def give_back(self) -> None:
        """Return the token of a request that was not sent."""
        self.tokens += 1.0

    def restart(self, tokens: float, now: MonotonicSeconds) -> None:
        """Set the number of tokens, instead of those gained since the last call."""
        self.tokens = tokens
        self.updated_at = now


def _compute_capacity(rate: float) -> float:
    """Return the largest number of tokens that is kept."""
    return max(1.0, rate * _BURST_S)
