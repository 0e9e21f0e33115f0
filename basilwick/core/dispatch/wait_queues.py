"""Requests that wait for servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Hashable

    from basilwick.core.dispatch.messages import DispatchRequest
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["WaitQueue", "PendingRequest"]


@define(eq=False)
class PendingRequest:
    """A waiting or running request."""

    id: Hashable
    ask: DispatchRequest
    arrived_at: MonotonicSeconds
    target_at: MonotonicSeconds
    deadline: MonotonicSeconds
    server: ServerName | None = None
    ended: bool = False


@define(eq=False)
class WaitQueue:
    """Requests that wait for the same servers."""

    service: ServiceName
    owner: ServerName | None
    on_time: list[tuple[int, float, int, PendingRequest]] = field(factory=list)
    late: list[tuple[float, int, PendingRequest]] = field(factory=list)
    #: Local time at which the owners of the waiting requests' keys were last looked up.
    checked_at: MonotonicSeconds = float("-inf")

    def count_ahead(self, priority: int, target_at: float) -> int:
        """Return the number of requests that are served before a new one."""
        return sum(
            (entry[0], entry[1]) <= (priority, target_at) and not entry[3].ended
            for entry in self.on_time
        )
