"""Decides which server runs a request, which requests wait, and which are refused.

One dispatcher sees all requests of a site, so that slots, warm-up rates and retry
bounds hold for the sum over all instances. An instance that has lost the leader decides
with a dispatcher of its own that takes a safe share of them.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING, TypeAlias

from attrs import define

from basilwick.core.dispatch.messages import Assigned, Refused, SendOutcome
from basilwick.core.dispatch.retry_window import RetryBudget, RetryWindow
from basilwick.core.dispatch.server_selector import CapacityShare, ServerSelector
from basilwick.core.dispatch.wait_queues import PendingRequest, WaitQueue

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator
    from random import Random

    from basilwick.core.dispatch.key_owners import KeyOwnerLookup
    from basilwick.core.dispatch.messages import DispatchRequest, SendFinished
    from basilwick.core.dispatch.server_load import ServerLoad
    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["DispatchDecision", "Dispatcher"]

#: Work time in seconds assumed before the first answer of a service.
_UNKNOWN_WORK_S = 0.05
_SMOOTHING = 0.05
#: Time in seconds for which a request waits at least for its key to change hands. It
#: waits longer while it can still be answered within its target latency.
_MOVE_WAIT_S = 0.4
#: Shortest and longest time to come back, in seconds.
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 2.0
#: Interval in seconds at which waiting requests are checked for another owner.
_REHOME_INTERVAL_S = 0.06
#: Late requests that may wait, in units of the slots that serve them.
_LATE_QUEUE_PER_SLOT = 1.0

DispatchDecision: TypeAlias = Assigned | Refused


@define(eq=False)
class _Service:
    window: RetryWindow
    work_s: float = 0.0

    @property
    def typical_latency_s(self) -> float:
        return self.work_s or _UNKNOWN_WORK_S


class Dispatcher:
    """Assigns requests to servers.

    Parameters
    ----------
    view : SiteView
        Services and servers.
    owners : KeyOwnerLookup
        Owners of the keys of partitioned services.
    bounds : RetryBudget
        Bounds of additional sends, for each service.
    regions : dict of str to str
        Region of each data centre.
    rng : random.Random
        Spreads the times at which refused callers come back.
    share : Share, optional
        Part of the capacity that may be used.
    """

    def __init__(
        self,
        view: SiteView,
        owners: KeyOwnerLookup,
        bounds: RetryBudget,
        regions: dict[str, str],
        rng: Random,
        share: CapacityShare | None = None,
    ):
        self._view = view
        self._owners = owners
        self._bounds = bounds
        self._rng = rng
        self._services: dict[ServiceName, _Service] = {}
        self._servers = ServerSelector(view, regions, share or CapacityShare())
        self._lanes: dict[tuple[ServiceName, ServerName | None], WaitQueue] = {}
        self._tickets: dict[Hashable, PendingRequest] = {}
        self._moving: list[PendingRequest] = []
        self._order = count()

    def submit(
        self, request_id: Hashable, ask: DispatchRequest, now: MonotonicSeconds
    ) -> DispatchDecision | None:
        """Decide on a request; None while it waits."""
        service = self._get_service(ask.service)
        if ask.attempt == 1:
            service.window.record_request(now)
        elif not service.window.try_retry(now):
            return Refused(ask.number, _MIN_RETRY_AFTER_S, "retry budget spent")
        ticket = PendingRequest(
            request_id, ask, now, now + ask.target_left_s, now + ask.time_left_s
        )
        self._tickets[request_id] = ticket
        decision = self._place(ticket, now)
        if isinstance(decision, Refused):
            del self._tickets[request_id]
        return decision

    def finish(
        self, request_id: Hashable, done: SendFinished, now: MonotonicSeconds
    ) -> list[tuple[Hashable, DispatchDecision]]:
        """End a send; returns the decisions on requests that waited for it."""
        ticket = self._tickets.pop(request_id, None)
        if ticket is None or ticket.server is None:
            return []
        service = self._get_service(ticket.ask.service)
        self._servers.get_load(ticket.server).finish(done.outcome, done.latency_s, now)
        if done.outcome is SendOutcome.OK:
            work_s = service.typical_latency_s
            service.work_s = work_s + _SMOOTHING * (done.latency_s - work_s)
        return list(self._serve_lane(self._find_lane(ticket), now))

    def cancel(
        self, request_id: Hashable, now: MonotonicSeconds
    ) -> list[tuple[Hashable, DispatchDecision]]:
        """Drop a request, waiting or sent; returns the decisions that follow."""
        ticket = self._tickets.pop(request_id, None)
        if ticket is None:
            return []
        ticket.ended = True
        if ticket.server is None:
            return []
        self._servers.get_load(ticket.server).finish(SendOutcome.WITHDRAWN, 0.0, now)
        return list(self._serve_lane(self._find_lane(ticket), now))

    def advance(self, now: MonotonicSeconds) -> list[tuple[Hashable, DispatchDecision]]:
        """Decide on waiting requests after time has passed or owners changed."""
        decisions = []
        moving, self._moving = self._moving, []
        for ticket in moving:
            if not ticket.ended:
                decision = self._place(ticket, now)
                if decision is not None:
                    decisions.append((ticket.id, self._conclude(ticket, decision)))
        for key, lane in list(self._lanes.items()):
            if lane.on_time or lane.late:
                decisions += self._rehome(lane, now)
                decisions += self._serve_lane(lane, now)
            elif lane.owner is not None:
                del self._lanes[key]
        return decisions

    @property
    def share(self) -> CapacityShare:
        """Part of the capacity that may be used."""
        return self._servers.share

    def get_load(self, name: ServerName) -> ServerLoad:
        """Return what is known of a server's load."""
        return self._servers.get_load(name)

    def get_typical_latency_s(self, service: ServiceName) -> float:
        """Return the usual work time of a service in seconds."""
        return self._get_service(service).typical_latency_s

    def forget_server(self, name: ServerName) -> None:
        """Drop what is known of a server that is gone."""
        self._servers.forget(name)

    # Placing

    def _place(
        self, ticket: PendingRequest, now: MonotonicSeconds
    ) -> DispatchDecision | None:
        ask = ticket.ask
        spec = self._view.get_service(ask.service)
        if spec is None:
            return self._refuse(ask, 0.5, "service is not configured")
        owner = None
        if spec.partitioned and ask.key >= 0:
            found = self._owners.find_owner(ask.service, ask.key, now)
            if found.server is None and found.moving:
                return self._hold(ticket, now)
            if found.server is None:
                return self._refuse(ask, found.available_in_s, "key has no live owner")
            owner = found.server
        return self._enter_lane(self._get_lane(ask.service, owner), ticket, now)

    def _hold(self, ticket: PendingRequest, now: MonotonicSeconds) -> Refused | None:
        typical_latency_s = self._get_service(ticket.ask.service).typical_latency_s
        give_up_at = max(
            ticket.arrived_at + _MOVE_WAIT_S, ticket.target_at - typical_latency_s
        )
        give_up_at = min(give_up_at, ticket.deadline - typical_latency_s)
        if now >= give_up_at:
            return self._refuse(ticket.ask, 0.1, "key is still being handed over")
        self._moving.append(ticket)
        return None

    def _enter_lane(
        self, lane: WaitQueue, ticket: PendingRequest, now: MonotonicSeconds
    ) -> DispatchDecision | None:
        if not lane.on_time:
            sent = self._try_send(lane, ticket, now)
            if sent is not None:
                return sent
        ask = ticket.ask
        slots = self._servers.count_slots(lane, now)
        if not slots:
            return self._refuse(ask, 0.25, "no server can be reached")
        work_s = self._estimate_work(lane, now)
        ahead = lane.count_ahead(ask.priority, ticket.target_at)
        wait_s = (ahead + 1) * work_s / slots
        if now + wait_s + work_s <= ticket.target_at:
            entry = (ask.priority, ticket.target_at, next(self._order), ticket)
            heappush(lane.on_time, entry)
            return None
        wait_s = (len(lane.on_time) + len(lane.late) + 1) * work_s / slots
        in_time = now + wait_s + work_s <= ticket.deadline
        if in_time and len(lane.late) < _LATE_QUEUE_PER_SLOT * slots:
            heappush(lane.late, (ticket.deadline, next(self._order), ticket))
            return None
        return self._refuse(ask, wait_s, "no server has room in time")

    def _try_send(
        self, lane: WaitQueue, ticket: PendingRequest, now: MonotonicSeconds
    ) -> Assigned | None:
        typical_latency_s = self._get_service(lane.service).typical_latency_s
        server = self._servers.choose(lane, ticket.ask, typical_latency_s, now)
        if server is None:
            return None
        self._servers.get_load(server.name).in_flight += 1
        ticket.server = server.name
        return Assigned(ticket.ask.number, server.name, server.address)

    # Waiting requests

    def _serve_lane(
        self, lane: WaitQueue, now: MonotonicSeconds
    ) -> Iterator[tuple[Hashable, DispatchDecision]]:
        work_s = self._estimate_work(lane, now)
        while lane.on_time:
            ticket = lane.on_time[0][3]
            if ticket.ended:
                heappop(lane.on_time)
                continue
            if now + work_s > ticket.target_at + work_s / 2:
                heappop(lane.on_time)
                heappush(lane.late, (ticket.deadline, next(self._order), ticket))
                continue
            sent = self._try_send(lane, ticket, now)
            if sent is None:
                break
            heappop(lane.on_time)
            yield ticket.id, sent
        while lane.late:
            ticket = lane.late[0][2]
            if ticket.ended:
                heappop(lane.late)
                continue
            if now + work_s > ticket.deadline:
                heappop(lane.late)
                refused = self._refuse(ticket.ask, work_s, "no server had room in time")
                yield ticket.id, self._conclude(ticket, refused)
                continue
            sent = None if lane.on_time else self._try_send(lane, ticket, now)
            if sent is None:
                return
            heappop(lane.late)
            yield ticket.id, sent

    def _rehome(
        self, lane: WaitQueue, now: MonotonicSeconds
    ) -> list[tuple[Hashable, DispatchDecision]]:
        """Place the requests of a lane again whose keys have another owner now."""
        if lane.owner is None or now - lane.checked_at < _REHOME_INTERVAL_S:
            return []
        lane.checked_at = now
        waiting = [entry[3] for entry in lane.on_time]
        waiting += [entry[2] for entry in lane.late]
        moved = [
            ticket
            for ticket in waiting
            if not ticket.ended
            and self._owners.find_owner(lane.service, ticket.ask.key, now).server
            != lane.owner
        ]
        if not moved:
            return []
        lost = set(map(id, moved))
        lane.on_time = sorted(e for e in lane.on_time if id(e[3]) not in lost)
        lane.late = sorted(e for e in lane.late if id(e[2]) not in lost)
        decisions = []
        for ticket in moved:
            decision = self._place(ticket, now)
            if decision is not None:
                decisions.append((ticket.id, self._conclude(ticket, decision)))
        return decisions

    def _conclude(
        self, ticket: PendingRequest, decision: DispatchDecision
    ) -> DispatchDecision:
        if isinstance(decision, Refused):
            ticket.ended = True
            self._tickets.pop(ticket.id, None)
        return decision

    def _refuse(self, ask: DispatchRequest, wait_s: float, reason: str) -> Refused:
        spread = 0.75 + 0.5 * self._rng.random()
        retry_after_s = max(wait_s * spread, _MIN_RETRY_AFTER_S)
        retry_after_s = min(retry_after_s, _MAX_RETRY_AFTER_S)
        return Refused(ask.number, retry_after_s, reason)

    # Lookups

    def _find_lane(self, ticket: PendingRequest) -> WaitQueue:
        spec = self._view.get_service(ticket.ask.service)
        keyed = spec is not None and spec.partitioned and ticket.ask.key >= 0
        return self._get_lane(ticket.ask.service, ticket.server if keyed else None)

    def _get_lane(self, service: ServiceName, owner: ServerName | None) -> WaitQueue:
        lane = self._lanes.get((service, owner))
        if lane is None:
            lane = self._lanes[service, owner] = WaitQueue(service, owner)
        return lane

    def _get_service(self, name: ServiceName) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(RetryWindow(self._bounds))
        return service

    def _estimate_work(self, lane: WaitQueue, now: MonotonicSeconds) -> float:
        typical_latency_s = self._get_service(lane.service).typical_latency_s
        return self._servers.estimate_latency(lane, typical_latency_s, now)
