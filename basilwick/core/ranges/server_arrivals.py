"""Tells when the servers of a site that starts have registered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilwick.core.types import MonotonicSeconds, ServerName

__all__ = ["ServerArrivals"]

#: Time in seconds without another new server after which all count as registered. It
#: exceeds the interval at which servers register.
_SETTLING_TIME_S = 1.5
#: Longest time in seconds from the first server until the keys are granted anyway.
_MAX_WAIT_S = 4.0


@define(eq=False)
class ServerArrivals:
    """Arrivals of the servers of a service whose keys have no owners yet.

    Servers of a site that starts register one after the other. If all keys were granted
    to the first few, these would be overloaded until the load is measured and moved.
    """

    _known: set[ServerName] = field(factory=set)
    _first_at: MonotonicSeconds = float("inf")
    _latest_at: MonotonicSeconds = float("inf")

    def observe(self, servers: Iterable[ServerName], now: MonotonicSeconds) -> bool:
        """Record the servers that may own keys; returns whether all have arrived."""
        new = set(servers) - self._known
        if new:
            self._known |= new
            self._latest_at = now
            self._first_at = min(self._first_at, now)
        return (
            now - self._latest_at >= _SETTLING_TIME_S
            or now - self._first_at >= _MAX_WAIT_S
        )
