"""Admits requests by their priority and by what they can still gain.

A request can gain its full value if it is answered within its target latency, a part of
it until its deadline, and nothing afterwards. A request waits only while it is expected
to be reached in time; all others are refused at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.dispatch.messages import Refused
from basilwick.core.dispatch.ranked_queue import RankedQueue
from basilwick.core.dispatch.return_times import ReturnTimes
from basilwick.core.dispatch.server_assigner import MIN_JITTER
from basilwick.core.dispatch.service_order import ServiceOrder
from basilwick.core.dispatch.service_shares import DEFAULT_PRIORITY_FLOOR, ServiceShares
from basilwick.core.dispatch.target_admission import OWNER_CHECK_INTERVAL_S
from basilwick.core.dispatch.wait_forecast import WaitForecaster

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from random import Random

    from basilwick.core.dispatch.key_owners import KeyOwnerLookup
    from basilwick.core.dispatch.ranked_queue import PriorityLine
    from basilwick.core.dispatch.server_assigner import DispatchDecision, ServerAssigner
    from basilwick.core.dispatch.wait_forecast import Competition, WaitForecast
    from basilwick.core.dispatch.wait_queues import PendingRequest
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["PriorityAdmission"]

#: Interval in seconds between checks whether waiting requests can be reached in time.
_REVIEW_INTERVAL_S = 0.02
#: Standard deviations by which fewer requests may arrive ahead of a request than
#: expected, for it to be accepted. Late requests get none: on-time ones nearly fill the
#: servers, so that late ones would wait until their deadline.
_ON_TIME_DEVIATIONS = 1.0
_LATE_DEVIATIONS = 0.0
#: Standard deviations that are added for one that waits already. Forecasts change with
#: each response, and only what clearly can't be reached should be given up.
_WAITING_DEVIATIONS = 1.0
#: Part of the latency by which a response may probably miss its target before the
#: request counts as late.
_TARGET_TOLERANCE = 0.5
#: Requests with home regions that are passed over for those behind them, when a slot is
#: free. Each costs a look at all servers of the service.
_MAX_PASSED_OVER = 3
#: Retry-after time in seconds while no server can be reached.
_UNREACHABLE_RETRY_S = 0.25
#: The same while a whole data centre is cut off, which usually lasts for seconds.
_CUT_OFF_RETRY_S = 1.0


@define(eq=False)
class PriorityAdmission:
    """Assigns requests, queues them or refuses them.

    Parameters
    ----------
    owners : KeyOwnerLookup
        Owners of the keys of partitioned services.
    assigner : ServerAssigner
        Assigns requests to servers.
    dispatch : callable
        Decides anew on a request whose key has changed owner.
    rng : random.Random
        Source of the spread of retry-after times.
    priority_floor : float
        Share of a service's slots that each priority gets while it has requests.
    """

    _owners: KeyOwnerLookup
    _assigner: ServerAssigner
    _dispatch: Callable[[PendingRequest, MonotonicSeconds], DispatchDecision | None]
    _rng: Random
    _priority_floor: float = DEFAULT_PRIORITY_FLOOR
    _queues: dict[tuple[ServiceName, ServerName | None], RankedQueue] = field(
        init=False, factory=dict
    )
    #: Queue of each waiting request.
    _waiting: dict[PendingRequest, RankedQueue] = field(init=False, factory=dict)
    _shares: ServiceShares = field(init=False)
    _forecaster: WaitForecaster = field(init=False)
    _order: ServiceOrder = field(init=False)
    _returns: ReturnTimes = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._shares = ServiceShares(self._priority_floor)
        self._forecaster = WaitForecaster(self._assigner, self._shares)
        self._order = ServiceOrder(self._forecaster, self._shares)
        self._returns = ReturnTimes(self._rng)

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
        if now == pending.arrived_at and request.attempt == 1:
            self._shares.record_offered(request.service, request.priority, now)
            pending.returned = self._returns.claim_return(pending, now)
        if not self._assigner.selector.can_reach(queue, request, now):
            reason = "the data centre of the servers can't be reached"
            return self._assigner.refuse(request, _CUT_OFF_RETRY_S, reason)
        ahead = queue.count_ahead(pending, late=False)
        if not ahead:
            assigned = self._assigner.try_assign(queue, pending, now)
            if assigned is not None:
                self._record_accepted(queue, pending, now)
                self._record_served(queue, request.priority, now)
                return assigned
        if not self._assigner.selector.has_wanted_server(queue, request):
            # The jitter must not bring the caller back before the pause ends, unless
            # the pause is longer than any retry-after time.
            wait_s = request.pause_left_s / MIN_JITTER
            reason = "servers want no requests for a while"
            return self._assigner.refuse(request, wait_s, reason)
        forecast = self._forecaster.forecast(queue, now)
        if not forecast.slots:
            reason = "no server can be reached"
            return self._assigner.refuse(request, _UNREACHABLE_RETRY_S, reason)
        if self._is_reached(queue, pending, False, forecast, now):
            self._record_accepted(queue, pending, now)
            self._insert(queue, pending, late=False)
            return None
        if self._is_reached(queue, pending, True, forecast, now):
            self._insert(queue, pending, late=True)
            return None
        reason = "no server has room in time"
        if forecast.rate_limited:
            reason += "; rates of cold or limited servers are used up"
        return self._refuse(queue, pending, forecast, reason, now)

    def withdraw(self, pending: PendingRequest) -> None:
        """Remove a waiting request."""
        queue = self._waiting.pop(pending, None)
        if queue is not None:
            queue.remove(pending)

    def serve_freed(
        self, pending: PendingRequest, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        """Yield the decisions that follow from the end of an assigned request."""
        return self._serve(pending.request.service, pending.server, now)

    def advance(
        self, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        """Yield the decisions on waiting requests that can be made now."""
        # Owners' queues come first: requests that any server may run could otherwise
        # use up the rates of cold servers.
        keys = sorted(self._queues, key=lambda key: key[1] is None)
        for key in keys:
            queue = self._queues[key]
            if queue.size:
                yield from self._requeue_moved(queue, now)
                yield from self._review(queue, now)
                yield from self._serve(*key, now)
            elif queue.owner is not None and queue.is_idle(now):
                del self._queues[key]

    def take_all(self) -> list[PendingRequest]:
        """Remove and return all waiting requests."""
        waiting = list(self._waiting)
        for pending in waiting:
            self.withdraw(pending)
        return waiting

    # Order of service

    def _serve(
        self, service: ServiceName, server: ServerName | None, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        """Assign waiting requests that a server may run, in the order of service.

        Requests for keys of the server compete with those that any server may run.
        """
        keys = ((service, server), (service, None)) if server else ((service, None),)
        queues = [self._queues[key] for key in keys if key in self._queues]
        passed_over = []
        for queue in queues:
            yield from self._expire_first(queue, now)
        while queues := [queue for queue in queues if queue.size]:
            queue, pending = self._order.select(queues, now)
            assigned = self._assigner.try_assign(queue, pending, now)
            if assigned is None:
                # Those behind a request that only some servers may run can go on.
                if pending.request.home_regions and len(passed_over) < _MAX_PASSED_OVER:
                    passed_over.append((queue, pending, queue.remove(pending)))
                else:
                    queues.remove(queue)
                continue
            self.withdraw(pending)
            self._record_served(queue, pending.request.priority, now)
            yield pending, assigned
            yield from self._expire_first(queue, now)
        for queue, pending, place in passed_over:
            queue.restore(pending, place)

    def _expire_first(
        self, queue: RankedQueue, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        """Count the first requests as late, or refuse them, once their time is up."""
        latency_s = self._forecaster.estimate_latency(queue, now)
        tolerated_s = (1.0 - _TARGET_TOLERANCE) * latency_s
        for line in queue.lines:
            while line.on_time and now + tolerated_s > line.on_time[0][1].target_at:
                queue.insert(line.on_time[0][1], late=True)
            while line.late and now + latency_s > line.late[0][1].deadline:
                pending = line.late[0][1]
                self.withdraw(pending)
                reason = "no server had room in time"
                forecast = self._forecaster.forecast(queue, now)
                yield pending, self._refuse(queue, pending, forecast, reason, now)

    # Waiting requests

    def _is_reached(
        self,
        queue: RankedQueue,
        pending: PendingRequest,
        late: bool,
        forecast: WaitForecast,
        now: MonotonicSeconds,
    ) -> bool:
        """Return whether a new request is expected to be reached in time."""
        priority = pending.request.priority
        until = pending.deadline if late else pending.target_at
        return forecast.is_sent_within(
            until - now - forecast.latency_s,
            queue.count_ahead(pending, late),
            queue.get_line(priority).count_ahead(pending, late),
            self._measure_competition(queue, priority, late, forecast, now),
            _LATE_DEVIATIONS if late else _ON_TIME_DEVIATIONS,
        )

    def _measure_competition(
        self,
        queue: RankedQueue,
        priority: int,
        late: bool,
        forecast: WaitForecast,
        now: MonotonicSeconds,
    ) -> Competition:
        shared = self._queues.get((queue.service, None))
        return self._forecaster.measure_competition(
            queue, shared, priority, late, forecast, now
        )

    def _review(
        self, queue: RankedQueue, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        """Refuse the waiting requests that clearly can't be reached in time."""
        if now - queue.reviewed_at < _REVIEW_INTERVAL_S:
            return
        queue.reviewed_at = now
        forecast = self._forecaster.forecast(queue, now)
        ahead = 0
        given_up: list[PendingRequest] = []
        for line in queue.lines:
            if not line.size:
                continue
            self._demote_unreachable(queue, line, forecast, ahead, now)
            unreachable = self._find_unreachable(queue, line, forecast, ahead, now)
            given_up += unreachable
            ahead += line.size - len(unreachable)
        first_priority = min((r.priority for r in queue.lines if r.size), default=0)
        for pending in given_up:
            reason = "no server will have room in time"
            if first_priority < pending.request.priority:
                reason += "; more urgent requests go first"
            self.withdraw(pending)
            yield pending, self._refuse(queue, pending, forecast, reason, now)

    def _demote_unreachable(
        self,
        queue: RankedQueue,
        line: PriorityLine,
        forecast: WaitForecast,
        ahead: int,
        now: MonotonicSeconds,
    ) -> None:
        """Count requests as late that clearly miss their target latency."""
        competition = self._measure_competition(
            queue, line.priority, False, forecast, now
        )
        start_s = now + (1.0 - _TARGET_TOLERANCE) * forecast.latency_s
        deviations = _ON_TIME_DEVIATIONS + _WAITING_DEVIATIONS
        kept = 0
        for _, pending in list(line.on_time):
            time_left_s = pending.target_at - start_s
            if forecast.is_sent_within(
                time_left_s, ahead + kept, kept, competition, deviations
            ):
                kept += 1
            else:
                queue.insert(pending, late=True)

    def _find_unreachable(
        self,
        queue: RankedQueue,
        line: PriorityLine,
        forecast: WaitForecast,
        ahead: int,
        now: MonotonicSeconds,
    ) -> list[PendingRequest]:
        """Return the late requests that clearly miss their deadline."""
        if not line.late:
            return []
        competition = self._measure_competition(
            queue, line.priority, True, forecast, now
        )
        deviations = _LATE_DEVIATIONS + _WAITING_DEVIATIONS
        kept = len(line.on_time)
        unreachable = []
        for _, pending in line.late:
            time_left_s = pending.deadline - now - forecast.latency_s
            if forecast.is_sent_within(
                time_left_s, ahead + kept, kept, competition, deviations
            ):
                kept += 1
            else:
                unreachable.append(pending)
        return unreachable

    def _requeue_moved(
        self, queue: RankedQueue, now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        """Dispatch again the waiting requests whose keys have changed owner."""
        if (
            queue.owner is None
            or now - queue.owners_checked_at < OWNER_CHECK_INTERVAL_S
        ):
            return
        queue.owners_checked_at = now
        for pending in queue.list_waiting():
            owner = self._owners.find_owner(queue.service, pending.request.key, now)
            if owner.server != queue.owner:
                self.withdraw(pending)
                decision = self._dispatch(pending, now)
                if decision is not None:
                    yield pending, decision

    def _insert(self, queue: RankedQueue, pending: PendingRequest, late: bool) -> None:
        queue.insert(pending, late)
        self._waiting[pending] = queue

    def _refuse(
        self,
        queue: RankedQueue,
        pending: PendingRequest,
        forecast: WaitForecast,
        reason: str,
        now: MonotonicSeconds,
    ) -> Refused:
        """Refuse a request, with the time at which its priority should find room."""
        line = queue.get_line(pending.request.priority)
        competition = self._measure_competition(
            queue, line.priority, False, forecast, now
        )
        ahead = queue.count_ahead(pending, late=False)
        room_in_s = forecast.get_wait(ahead)
        if pending.target_at > now:
            spare_s = pending.target_at - now - forecast.latency_s
            room_in_s = max(0.0, room_in_s - spare_s)
        rate = forecast.requests_per_s - competition.arrivals_per_s
        rate = max(rate, competition.floor_per_s)
        retry_after_s = self._returns.choose(pending, line, room_in_s, rate, now)
        return Refused(pending.request.number, retry_after_s, reason)

    def _record_accepted(
        self, queue: RankedQueue, pending: PendingRequest, now: MonotonicSeconds
    ) -> None:
        priority = pending.request.priority
        line = queue.get_line(priority)
        line.arrivals.record(now)
        if pending.returned:
            line.returns.record(now)
        if queue.owner is not None:
            self._shares.record_keyed(queue.service, priority, now)

    def _record_served(
        self, queue: RankedQueue, priority: int, now: MonotonicSeconds
    ) -> None:
        queue.get_line(priority).served.record(now)
        self._shares.record_served(queue.service, priority, now)

    def _get_queue(self, service: ServiceName, owner: ServerName | None) -> RankedQueue:
        queue = self._queues.get((service, owner))
        if queue is None:
            queue = self._queues[service, owner] = RankedQueue(service, owner)
        return queue
