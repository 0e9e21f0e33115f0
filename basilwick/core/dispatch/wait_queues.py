"""Requests that a dispatcher has accepted, and their queues."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from basilwick.core.dispatch.messages import DispatchRequest
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["PendingRequest", "WaitQueue"]


@define(eq=False)
class PendingRequest:
    """A request that waits for a server or runs at one.

    Attributes
    ----------
    id : hashable
        Identifies the request at its dispatcher.
    arrived_at, target_at, deadline : float
        Local times of its arrival, its target latency and its deadline.
    server : str or None
        Server that it was assigned to; None while it waits.
    assigned_at : float
        Local time at which it was assigned to that server.
    ended : bool
        Whether it was refused or withdrawn. Queues may still contain it.
    returned : bool
        Whether its caller was refused before and came back when it was told to.
    """

    id: Hashable
    request: DispatchRequest
    arrived_at: MonotonicSeconds
    target_at: MonotonicSeconds
    deadline: MonotonicSeconds
    server: ServerName | None = None
    assigned_at: MonotonicSeconds = 0.0
    ended: bool = False
    returned: bool = False


@define(eq=False)
class WaitQueue:
    """Requests that wait for the same servers.

    Attributes
    ----------
    owner : str or None
        Server that owns the keys of the requests. None for requests that any server of
        the service may run.
    on_time : list
        Heap of the requests that can meet their target latency, by priority and target
        time.
    late : list
        Heap of the requests that can only meet their deadline, by deadline.
    """

    service: ServiceName
    owner: ServerName | None
    on_time: list[tuple[int, float, int, PendingRequest]] = field(factory=list)
    late: list[tuple[float, int, PendingRequest]] = field(factory=list)
    #: Local time of the last check whether the requests' keys have changed owner.
    owners_checked_at: MonotonicSeconds = float("-inf")

    def remove_if(
        self, condition: Callable[[PendingRequest], bool]
    ) -> list[PendingRequest]:
        """Remove and return the waiting requests for which a condition holds."""
        waiting = [entry[3] for entry in self.on_time]
        waiting += [entry[2] for entry in self.late]
        removed = [p for p in waiting if not p.ended and condition(p)]
        if removed:
            ids = set(map(id, removed))
            self.on_time = sorted(e for e in self.on_time if id(e[3]) not in ids)
            self.late = sorted(e for e in self.late if id(e[2]) not in ids)
        return removed

    def count_ahead(self, priority: int, target_at: float) -> int:
        """Return the number of on-time requests served before a new one."""
        return sum(
            (entry[0], entry[1]) <= (priority, target_at) and not entry[3].ended
            for entry in self.on_time
        )
