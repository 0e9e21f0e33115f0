"""Tells for how long a caller has read nothing of its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["UnreadAnswers"]


@define(eq=False, slots=True)
class UnreadAnswers:
    """What waits for a caller that reads slowly.

    Attributes
    ----------
    since : float or None
        Local time since which the caller has read nothing, None while nothing waits.
    waiting_bytes : int
        Bytes that waited for the caller when they were measured last.
    """

    since: MonotonicSeconds | None = None
    waiting_bytes: int = 0

    def record(self, waiting_bytes: int, now: MonotonicSeconds) -> None:
        """Record how many bytes wait; fewer than before show that the caller reads."""
        if self.since is None or waiting_bytes < self.waiting_bytes:
            self.since = now
        self.waiting_bytes = waiting_bytes

    def clear(self) -> None:
        """Record that nothing waits."""
        self.since = None
