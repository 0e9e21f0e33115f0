"""Queues requests by their target latency, at sites without bulk routes."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.dispatch.server_assigner import MIN_JITTER
from basilwick.core.dispatch.wait_queues import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from basilwick.core.dispatch.key_owners import KeyOwnerLookup
    from basilwick.core.dispatch.server_assigner import DispatchDecision, ServerAssigner
    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.dispatch.wait_queues import PendingRequest
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["TargetAdmission"]

#: Interval in seconds between checks whether keys of queued requests changed owner.
OWNER_CHECK_INTERVAL_S = 0.06
#: Largest number of queued late requests per slot of the servers that can run them.
_MAX_LATE_PER_SLOT = 1.0


@define(eq=False)
class TargetAdmission:
    """Assigns requests, queues them or refuses them.

    A request is queued as on time if it is expected to meet its target latency, and as
    late if it can only meet its deadline. Late requests are served after those on time.

    Parameters
    ----------
    view : SiteView
        Services and servers of the site.
    owners : KeyOwnerLookup
        Owners of the keys of partitioned services.
    assigner : ServerAssigner
        Assigns requests to servers.
    dispatch : callable
        Decides anew on a request whose key has changed owner.
    """

    _view: SiteView
    _owners: KeyOwnerLookup
    _assigner: ServerAssigner
    _dispatch: Callable[[PendingRequest, MonotonicSeconds], DispatchDecision | None]
    _queues: dict[tuple[ServiceName, ServerName | None], WaitQueue] = field(
        init=False, factory=dict
    )
    _sequence: Iterator[int] = field(init=False, factory=count)

    def admit(
        self,
        owner: ServerName | None,
        pending: PendingRequest,
        now: MonotonicSeconds,
    ) -> DispatchDecision | None:
        """Return the decision on a request, or None if it was queued.

        Parameters
        ----------
        owner : str or None
            Server that owns the request's key; None if any server may run it.
        """
        request = pending.request
        queue = self._get_queue(request.service, owner)
        selector = self._assigner.selector
        if not queue.on_time:
            assigned = self._assigner.try_assign(queue, pending, now)
            if assigned is not None:
                return assigned
        if not selector.has_wanted_server(queue, request):
            # The jitter must not bring the caller back before the pause ends.
            wait_s = request.pause_left_s / MIN_JITTER
            reason = "servers want no requests for a while"
            return self._assigner.refuse(request, wait_s, reason)
        latency_s = self._assigner.estimate_latency(queue, now)
        capacity = selector.measure_capacity(queue, latency_s, now)
        if not capacity.slots:
            return self._assigner.refuse(request, 0.25, "no server can be reached")
        ahead = queue.count_ahead(request.priority, pending.target_at)
        wait_s = (ahead + 1) / capacity.requests_per_s
        if now + wait_s + latency_s <= pending.target_at:
            entry = (request.priority, pending.target_at, next(self._sequence), pending)
            heappush(queue.on_time, entry)
            return None
        waiting = len(queue.on_time) + len(queue.late)
        wait_s = (waiting + 1) / capacity.requests_per_s
        in_time = now + wait_s + latency_s <= pending.deadline
        if in_time and len(queue.late) < _MAX_LATE_PER_SLOT * capacity.slots:
            heappush(queue.late, (pending.deadline, next(self._sequence), pending))
            return None
        reason = "no server has room in time"
        if capacity.rate_limited:
            reason += "; rates of cold or limited servers are used up"
        return self._assigner.refuse(request, wait_s, reason)

    def withdraw(self, pending: PendingRequest) -> None:
        """Remove a waiting request; here its queue passes over it."""

    def serve_freed(
        self, pending: PendingRequest, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        """Yield the decisions that follow from the end of an assigned request."""
        request = pending.request
        spec = self._view.get_service(request.service)
        keyed = spec is not None and spec.partitioned and request.key >= 0
        queue = self._get_queue(request.service, pending.server if keyed else None)
        return self._serve_queue(queue, now)

    def advance(
        self, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        """Yield the decisions on waiting requests that can be made now."""
        for key, queue in list(self._queues.items()):
            if queue.on_time or queue.late:
                yield from self._requeue_moved(queue, now)
                yield from self._serve_queue(queue, now)
            elif queue.owner is not None:
                del self._queues[key]

    def take_all(self) -> list[PendingRequest]:
        """Remove and return all waiting requests."""
        queues, self._queues = self._queues, {}
        return [
            pending
            for queue in queues.values()
            for pending in queue.remove_if(lambda pending: True)
        ]

    def _serve_queue(
        self, queue: WaitQueue, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        latency_s = self._assigner.estimate_latency(queue, now)
        while queue.on_time:
            pending = queue.on_time[0][3]
            if pending.ended:
                heappop(queue.on_time)
                continue
            if now + latency_s > pending.target_at + latency_s / 2:
                heappop(queue.on_time)
                heappush(queue.late, (pending.deadline, next(self._sequence), pending))
                continue
            assigned = self._assigner.try_assign(queue, pending, now)
            if assigned is None:
                break
            heappop(queue.on_time)
            yield pending, assigned
        while queue.late:
            pending = queue.late[0][2]
            if pending.ended:
                heappop(queue.late)
                continue
            if now + latency_s > pending.deadline:
                heappop(queue.late)
                reason = "no server had room in time"
                yield pending, self._assigner.refuse(pending.request, latency_s, reason)
                continue
            if queue.on_time:
                return
            assigned = self._assigner.try_assign(queue, pending, now)
            if assigned is None:
                return
            heappop(queue.late)
            yield pending, assigned

    def _requeue_moved(
        self, queue: WaitQueue, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        """Dispatch again the queued requests whose keys have changed owner."""
        if (
            queue.owner is None
            or now - queue.owners_checked_at < OWNER_CHECK_INTERVAL_S
        ):
            return
        queue.owners_checked_at = now
        for pending in queue.remove_if(
            lambda waiting: (
                self._owners.find_owner(queue.service, waiting.request.key, now).server
                != queue.owner
            )
        ):
            decision = self._dispatch(pending, now)
            if decision is not None:
                yield pending, decision

    def _get_queue(self, service: ServiceName, owner: ServerName | None) -> WaitQueue:
        queue = self._queues.get((service, owner))
        if queue is None:
            queue = self._queues[service, owner] = WaitQueue(service, owner)
        return queue
