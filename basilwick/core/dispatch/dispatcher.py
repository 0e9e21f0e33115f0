"""Decides which server runs a request, which requests wait, and which are refused.

The leader's dispatcher receives the requests of all instances of a site, so that the
limits on slots, warm-up rates and retries hold for the site as a whole. An instance
that has lost the leader uses a dispatcher of its own, which is limited to a safe share
of the capacity.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING, TypeAlias

from attrs import define

from basilwick.core.dispatch.messages import Assigned, Refused, SendOutcome
from basilwick.core.dispatch.retry_window import RetryBudget, RetryWindow
from basilwick.core.dispatch.server_selector import CapacityShare, ServerSelector
from basilwick.core.dispatch.server_statements import LeavingServer
from basilwick.core.dispatch.wait_queues import PendingRequest, WaitQueue

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator
    from random import Random

    from basilwick.core.dispatch.key_owners import KeyOwnerLookup
    from basilwick.core.dispatch.messages import (
        DispatchRequest,
        LeavingReport,
        RateLimitReport,
        SendFinished,
    )
    from basilwick.core.dispatch.server_load import ServerLoad
    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["DispatchDecision", "Dispatcher"]

#: Latency in seconds assumed for a service before its first response.
_INITIAL_LATENCY_S = 0.05
#: Weight of the newest sample in the moving average of a service's latency.
_LATENCY_SMOOTHING = 0.05
#: Shortest time in seconds for which a request waits while its key is handed over. It
#: waits longer while it can still be answered within its target latency.
_MIN_HANDOVER_WAIT_S = 0.4
#: Bounds in seconds of the retry-after time in refusals.
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 2.0
#: Smallest factor of the jitter in retry-after times.
_MIN_JITTER = 0.75
#: Interval in seconds between checks whether keys of queued requests changed owner.
_OWNER_CHECK_INTERVAL_S = 0.06
#: Largest number of queued late requests per slot of the servers that can run them.
_MAX_LATE_PER_SLOT = 1.0

DispatchDecision: TypeAlias = Assigned | Refused


@define(eq=False)
class _ServiceState:
    """Retries and latency of one service."""

    retry_window: RetryWindow
    #: Moving average of the latency in seconds, 0 before the first response.
    mean_latency_s: float = 0.0

    @property
    def typical_latency_s(self) -> float:
        return self.mean_latency_s or _INITIAL_LATENCY_S


class Dispatcher:
    """Assigns requests to servers, queues them or refuses them.

    A request is queued as on time if it is expected to meet its target latency, and as
    late if it can only meet its deadline. Late requests are served after those on time.

    Parameters
    ----------
    view : SiteView
        Services and servers of the site.
    owners : KeyOwnerLookup
        Owners of the keys of partitioned services.
    retry_budget : RetryBudget
        Limit on the retries of each service.
    regions : dict of str to str
        Region of each data centre.
    rng : random.Random
        Source of the jitter in retry-after times, and of the first tokens of an
        instance that decides by itself.
    share : CapacityShare, optional
        Part of the servers' capacity that may be used; by default all of it.
    """

    def __init__(
        self,
        view: SiteView,
        owners: KeyOwnerLookup,
        retry_budget: RetryBudget,
        regions: dict[str, str],
        rng: Random,
        share: CapacityShare | None = None,
    ):
        self._view = view
        self._owners = owners
        self._retry_budget = retry_budget
        self._rng = rng
        self._services: dict[ServiceName, _ServiceState] = {}
        self._selector = ServerSelector(view, regions, share or CapacityShare(), rng)
        self._queues: dict[tuple[ServiceName, ServerName | None], WaitQueue] = {}
        self._pending: dict[Hashable, PendingRequest] = {}
        self._awaiting_handover: list[PendingRequest] = []
        self._sequence = count()

    def submit(
        self, request_id: Hashable, request: DispatchRequest, now: MonotonicSeconds
    ) -> DispatchDecision | None:
        """Return the decision on a request, or None if it has to wait.

        Parameters
        ----------
        request_id : hashable
            Identifies the request in later calls and decisions.
        """
        service = self._get_service(request.service)
        if request.attempt == 1:
            service.retry_window.record_request(now)
        elif not service.retry_window.try_retry(now):
            return Refused(request.number, _MIN_RETRY_AFTER_S, "retry budget spent")
        pending = PendingRequest(
            request_id,
            request,
            now,
            now + request.target_left_s,
            now + request.time_left_s,
        )
        self._pending[request_id] = pending
        decision = self._dispatch(pending, now)
        if isinstance(decision, Refused):
            del self._pending[request_id]
        return decision

    def finish(
        self, request_id: Hashable, done: SendFinished, now: MonotonicSeconds
    ) -> list[tuple[Hashable, DispatchDecision]]:
        """Record the end of an assigned request and free its slot.

        Returns the decisions on queued requests that follow from it.
        """
        pending = self._pending.pop(request_id, None)
        if pending is None or pending.server is None:
            return []
        service = self._get_service(pending.request.service)
        self._record_statements(pending, done, now)
        self._selector.get_load(pending.server).finish(
            done.outcome, done.latency_s, now, done.load_report
        )
        if done.outcome is SendOutcome.OK:
            mean_s = service.typical_latency_s
            service.mean_latency_s = mean_s + _LATENCY_SMOOTHING * (
                done.latency_s - mean_s
            )
        return list(self._serve_queue(self._find_queue(pending), now))

    def _record_statements(
        self, pending: PendingRequest, done: SendFinished, now: MonotonicSeconds
    ) -> None:
        """Record what a server stated about itself in its response."""
        if done.rate_limit is not None:
            self._view.record_rate_limit(
                pending.server, done.rate_limit, pending.assigned_at, now
            )
        if done.warm_up_left_s:
            self._view.extend_warm_up(pending.server, done.warm_up_left_s, now)
        if done.leaving:
            self._view.record_leaving(pending.server)

    def cancel(
        self, request_id: Hashable, now: MonotonicSeconds
    ) -> list[tuple[Hashable, DispatchDecision]]:
        """Withdraw a waiting or assigned request.

        Returns the decisions on queued requests that follow from it.
        """
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return []
        pending.ended = True
        if pending.server is None:
            return []
        self._selector.get_load(pending.server).finish(SendOutcome.WITHDRAWN, 0.0, now)
        return list(self._serve_queue(self._find_queue(pending), now))

    def advance(self, now: MonotonicSeconds) -> list[tuple[Hashable, DispatchDecision]]:
        """Return the decisions on waiting requests that can be made now.

        Call it at short intervals, and after owners of keys have changed.
        """
        decisions = []
        waiting, self._awaiting_handover = self._awaiting_handover, []
        for pending in waiting:
            if not pending.ended:
                decision = self._dispatch(pending, now)
                if decision is not None:
                    decisions.append(
                        (pending.id, self._remove_if_refused(pending, decision))
                    )
        for key, queue in list(self._queues.items()):
            if queue.on_time or queue.late:
                decisions += self._requeue_moved(queue, now)
                decisions += self._serve_queue(queue, now)
            elif queue.owner is not None:
                del self._queues[key]
        return decisions

    def record_rate_limit(self, report: RateLimitReport, now: MonotonicSeconds) -> None:
        """Record a rate limit that an instance knows from an earlier response."""
        self._view.record_rate_limit(report.server, report.rate_limit, now, now)

    def record_leaving(self, report: LeavingReport) -> None:
        """Record a server process that an instance knows to leave."""
        self._view.apply_leaving(LeavingServer(report.server, report.started_ms))

    @property
    def share(self) -> CapacityShare:
        """Part of the servers' capacity that may be used."""
        return self._selector.share

    def get_load(self, name: ServerName) -> ServerLoad:
        """Return the measured load of a server."""
        return self._selector.get_load(name)

    def get_typical_latency_s(self, service: ServiceName) -> float:
        """Return the mean latency of a service in seconds, or an initial estimate."""
        return self._get_service(service).typical_latency_s

    def remove_server(self, name: ServerName) -> None:
        """Discard the load of a server that was removed."""
        self._selector.remove_server(name)

    # New requests

    def _dispatch(
        self, pending: PendingRequest, now: MonotonicSeconds
    ) -> DispatchDecision | None:
        request = pending.request
        spec = self._view.get_service(request.service)
        if spec is None:
            return self._refuse(request, 0.5, "service is not configured")
        owner = None
        if spec.partitioned and request.key >= 0:
            key_owner = self._owners.find_owner(request.service, request.key, now)
            if key_owner.server is None and key_owner.moving:
                return self._hold_for_handover(pending, now)
            if key_owner.server is None:
                return self._refuse(
                    request, key_owner.available_in_s, "key has no live owner"
                )
            owner = key_owner.server
        return self._assign_or_queue(
            self._get_queue(request.service, owner), pending, now
        )

    def _hold_for_handover(
        self, pending: PendingRequest, now: MonotonicSeconds
    ) -> Refused | None:
        typical_latency_s = self._get_service(pending.request.service).typical_latency_s
        give_up_at = max(
            pending.arrived_at + _MIN_HANDOVER_WAIT_S,
            pending.target_at - typical_latency_s,
        )
        give_up_at = min(give_up_at, pending.deadline - typical_latency_s)
        if now >= give_up_at:
            return self._refuse(pending.request, 0.1, "key is still being handed over")
        self._awaiting_handover.append(pending)
        return None

    def _assign_or_queue(
        self, queue: WaitQueue, pending: PendingRequest, now: MonotonicSeconds
    ) -> DispatchDecision | None:
        if not queue.on_time:
            assigned = self._try_assign(queue, pending, now)
            if assigned is not None:
                return assigned
        request = pending.request
        if not self._selector.has_wanted_server(queue, request):
            # The jitter must not bring the caller back before the pause ends.
            wait_s = request.pause_left_s / _MIN_JITTER
            reason = "servers want no requests for a while"
            return self._refuse(request, wait_s, reason)
        latency_s = self._estimate_latency(queue, now)
        capacity = self._selector.measure_capacity(queue, latency_s, now)
        if not capacity.slots:
            return self._refuse(request, 0.25, "no server can be reached")
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
        return self._refuse(request, wait_s, reason)

    def _try_assign(
        self, queue: WaitQueue, pending: PendingRequest, now: MonotonicSeconds
    ) -> Assigned | None:
        typical_latency_s = self._get_service(queue.service).typical_latency_s
        server = self._selector.choose(queue, pending.request, typical_latency_s, now)
        if server is None:
            return None
        self._selector.get_load(server.name).in_flight += 1
        pending.server = server.name
        pending.assigned_at = now
        return Assigned(pending.request.number, server.name, server.address)

    # Waiting requests

    def _serve_queue(
        self, queue: WaitQueue, now: MonotonicSeconds
    ) -> Iterator[tuple[Hashable, DispatchDecision]]:
        latency_s = self._estimate_latency(queue, now)
        while queue.on_time:
            pending = queue.on_time[0][3]
            if pending.ended:
                heappop(queue.on_time)
                continue
            if now + latency_s > pending.target_at + latency_s / 2:
                heappop(queue.on_time)
                heappush(queue.late, (pending.deadline, next(self._sequence), pending))
                continue
            assigned = self._try_assign(queue, pending, now)
            if assigned is None:
                break
            heappop(queue.on_time)
            yield pending.id, assigned
        while queue.late:
            pending = queue.late[0][2]
            if pending.ended:
                heappop(queue.late)
                continue
            if now + latency_s > pending.deadline:
                heappop(queue.late)
                refused = self._refuse(
                    pending.request, latency_s, "no server had room in time"
                )
                yield pending.id, self._remove_if_refused(pending, refused)
                continue
            assigned = None if queue.on_time else self._try_assign(queue, pending, now)
            if assigned is None:
                return
            heappop(queue.late)
            yield pending.id, assigned

    def _requeue_moved(
        self, queue: WaitQueue, now: MonotonicSeconds
    ) -> list[tuple[Hashable, DispatchDecision]]:
        """Dispatch again the queued requests whose keys have changed owner."""
        if (
            queue.owner is None
            or now - queue.owners_checked_at < _OWNER_CHECK_INTERVAL_S
        ):
            return []
        queue.owners_checked_at = now
        decisions = []
        for pending in queue.remove_if(
            lambda waiting: (
                self._owners.find_owner(queue.service, waiting.request.key, now).server
                != queue.owner
            )
        ):
            decision = self._dispatch(pending, now)
            if decision is not None:
                decisions.append(
                    (pending.id, self._remove_if_refused(pending, decision))
                )
        return decisions

    def _remove_if_refused(
        self, pending: PendingRequest, decision: DispatchDecision
    ) -> DispatchDecision:
        if isinstance(decision, Refused):
            pending.ended = True
            self._pending.pop(pending.id, None)
        return decision

    def _refuse(self, request: DispatchRequest, wait_s: float, reason: str) -> Refused:
        jitter = _MIN_JITTER + 0.5 * self._rng.random()
        retry_after_s = max(wait_s * jitter, _MIN_RETRY_AFTER_S)
        retry_after_s = min(retry_after_s, _MAX_RETRY_AFTER_S)
        return Refused(request.number, retry_after_s, reason)

    # Lookups

    def _find_queue(self, pending: PendingRequest) -> WaitQueue:
        spec = self._view.get_service(pending.request.service)
        keyed = spec is not None and spec.partitioned and pending.request.key >= 0
        return self._get_queue(
            pending.request.service, pending.server if keyed else None
        )

    def _get_queue(self, service: ServiceName, owner: ServerName | None) -> WaitQueue:
        queue = self._queues.get((service, owner))
        if queue is None:
            queue = self._queues[service, owner] = WaitQueue(service, owner)
        return queue

    def _get_service(self, name: ServiceName) -> _ServiceState:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceState(
                RetryWindow(self._retry_budget)
            )
        return service

    def _estimate_latency(self, queue: WaitQueue, now: MonotonicSeconds) -> float:
        typical_latency_s = self._get_service(queue.service).typical_latency_s
        return self._selector.estimate_latency(queue, typical_latency_s, now)
