"""Capacity of servers, and the part of it that a dispatcher may use."""

from __future__ import annotations

from attrs import define, frozen

__all__ = ["CapacityShare", "QueueCapacity"]


@define
class CapacityShare:
    """Part of each server's capacity that a dispatcher may use.

    Attributes
    ----------
    slots : int or None
        Slots that may be used of each server; None for all.
    rate_fraction : float
        Fraction that may be used of the rate of each server that is cold or states a
        rate limit. The fractions of all dispatchers of a site add up to 1 at most.
    """

    slots: int | None = None
    rate_fraction: float = 1.0

    @property
    def coordinated(self) -> bool:
        """Whether one dispatcher decides for several instances."""
        return self.slots is None


@frozen
class QueueCapacity:
    """Capacity of the reachable servers of a queue.

    Attributes
    ----------
    slots : int
        Requests that run concurrently.
    requests_per_s : float
        Requests per second, as far as slots, latency and rates allow.
    rate_limited : bool
        Whether the rate of a cold server or a stated rate limit reduces it.
    """

    slots: int
    requests_per_s: float
    rate_limited: bool
