"""Queue of requests in the order of their priority and of what they can still gain."""

from __future__ import annotations

from bisect import bisect_left, insort
from itertools import count
from math import inf
from typing import TYPE_CHECKING, TypeAlias

from attrs import define, field

from basilwick.core.dispatch.moving_rate import MovingRate

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilwick.core.dispatch.wait_queues import PendingRequest
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["PriorityLine", "QueueEntry", "QueuePlace", "RankedQueue"]

#: Time constant in seconds of the rates of a queue. A shorter one makes them noisy, a
#: longer one late.
_RATE_PERIOD_S = 1.0
#: Requests per second below which the rates of a queue needn't be remembered.
_IDLE_RATE = 0.1

#: Sort key, which has a unique number at its end, and the request.
QueueEntry: TypeAlias = "tuple[tuple[float, ...], PendingRequest]"
#: List that contains a waiting request, and its sort key.
QueuePlace: TypeAlias = "tuple[list[QueueEntry], tuple[float, ...]]"


@define(eq=False)
class PriorityLine:
    """Waiting requests of one priority, and how many arrive and are served.

    Attributes
    ----------
    on_time : list
        Requests that can meet their target latency, in the order of service: callers
        that came back as told first, then by target time.
    late : list
        Requests that can only meet their deadline, by deadline.
    arrivals : MovingRate
        Requests per second that were accepted as on time.
    returns : MovingRate
        Those among them whose callers came back as told.
    served : MovingRate
        Requests per second that were assigned to servers.
    next_return_at : float
        Local time at which the next refused caller is expected to find room.
    """

    priority: int
    on_time: list[QueueEntry] = field(factory=list)
    late: list[QueueEntry] = field(factory=list)
    arrivals: MovingRate = field(factory=lambda: MovingRate(_RATE_PERIOD_S))
    served: MovingRate = field(factory=lambda: MovingRate(_RATE_PERIOD_S))
    returns: MovingRate = field(factory=lambda: MovingRate(_RATE_PERIOD_S))
    next_return_at: MonotonicSeconds = float("-inf")

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return len(self.on_time) + len(self.late)

    def count_ahead(self, pending: PendingRequest, late: bool) -> int:
        """Return the number of requests of this priority served before another."""
        if late:
            return len(self.on_time) + bisect_left(
                self.late, ((pending.deadline, inf),)
            )
        return bisect_left(self.on_time, ((*_rank_on_time(pending), inf),))

    def get_first(self) -> QueueEntry | None:
        """Return the first request in the order of service."""
        if self.on_time:
            return self.on_time[0]
        return self.late[0] if self.late else None


@define(eq=False)
class RankedQueue:
    """Requests that wait for the same servers.

    Attributes
    ----------
    owner : str or None
        Server that owns the keys of the requests. None for requests that any server of
        the service may run.
    lines : list of PriorityLine
        Waiting requests by priority, the most urgent first.
    owners_checked_at, reviewed_at : float
        Local times of the last check whether keys have changed owner, and whether the
        requests can still be reached in time.
    """

    service: ServiceName
    owner: ServerName | None
    lines: list[PriorityLine] = field(factory=list)
    owners_checked_at: MonotonicSeconds = float("-inf")
    reviewed_at: MonotonicSeconds = float("-inf")
    _places: dict[PendingRequest, QueuePlace] = field(factory=dict)
    _sequence: Iterator[int] = field(factory=count)

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return len(self._places)

    def get_line(self, priority: int) -> PriorityLine:
        """Return the requests of one priority."""
        for line in self.lines:
            if line.priority == priority:
                return line
        line = PriorityLine(priority)
        insort(self.lines, line, key=lambda other: other.priority)
        return line

    def insert(self, pending: PendingRequest, late: bool) -> None:
        """Add a waiting request, or move it if it waits already."""
        self.remove(pending)
        line = self.get_line(pending.request.priority)
        rank = (pending.deadline,) if late else _rank_on_time(pending)
        key = (*rank, next(self._sequence))
        entries = line.late if late else line.on_time
        insort(entries, (key, pending))
        self._places[pending] = (entries, key)

    def remove(self, pending: PendingRequest) -> QueuePlace | None:
        """Remove a request if it waits; returns its place."""
        place = self._places.pop(pending, None)
        if place is not None:
            entries, key = place
            del entries[bisect_left(entries, (key,))]
        return place

    def restore(self, pending: PendingRequest, place: QueuePlace) -> None:
        """Add a removed request in its former place."""
        entries, key = place
        insort(entries, (key, pending))
        self._places[pending] = place

    def is_idle(self, now: MonotonicSeconds) -> bool:
        """Return whether its rates are too small to matter."""
        return all(line.arrivals.get(now) < _IDLE_RATE for line in self.lines)

    def list_waiting(self) -> list[PendingRequest]:
        """Return the waiting requests."""
        return list(self._places)

    def count_ahead(self, pending: PendingRequest, late: bool) -> int:
        """Return the number of requests served before another one."""
        priority = pending.request.priority
        ahead = 0
        for line in self.lines:
            if line.priority >= priority:
                break
            ahead += line.size
        return ahead + self.get_line(priority).count_ahead(pending, late)

    def get_arrivals(self, priority: int, late: bool, now: MonotonicSeconds) -> float:
        """Return the on-time requests per second that go before a request.

        Requests of the same priority that are on time go before a late one.
        """
        rate = 0.0
        for line in self.lines:
            if line.priority < priority or (late and line.priority == priority):
                rate += line.arrivals.get(now)
        return rate


def _rank_on_time(pending: PendingRequest) -> tuple[float, ...]:
    return (not pending.returned, pending.target_at)
