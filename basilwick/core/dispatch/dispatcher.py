"""Decides which server runs a request, which requests wait, and which are refused.

The leader's dispatcher receives the requests of all instances of a site, so that the
limits on slots, warm-up rates and retries hold for the site as a whole. An instance
that has lost the leader uses a dispatcher of its own, which is limited to a safe share
of the capacity.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.dispatch.admission import PriorityAdmission
from basilwick.core.dispatch.capacity import CapacityShare
from basilwick.core.dispatch.messages import Refused
from basilwick.core.dispatch.server_assigner import (
    MIN_RETRY_AFTER_S,
    DispatchDecision,
    ServerAssigner,
)
from basilwick.core.dispatch.server_selector import ServerSelector
from basilwick.core.dispatch.server_statements import LeavingServer
from basilwick.core.dispatch.service_shares import DEFAULT_PRIORITY_FLOOR
from basilwick.core.dispatch.target_admission import TargetAdmission
from basilwick.core.dispatch.wait_queues import PendingRequest

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable, Iterator
    from random import Random

    from basilwick.core.dispatch.key_owners import KeyOwnerLookup
    from basilwick.core.dispatch.messages import (
        DispatchRequest,
        LeavingReport,
        RateLimitReport,
        SendFinished,
    )
    from basilwick.core.dispatch.retry_window import RetryBudget
    from basilwick.core.dispatch.server_load import ServerLoad
    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["DispatchDecision", "Dispatcher"]

#: Shortest time in seconds for which a request waits while its key is handed over. It
#: waits longer while it can still be answered within its target latency.
_MIN_HANDOVER_WAIT_S = 0.4


class Dispatcher:
    """Assigns requests to servers, queues them or refuses them.

    Requests are queued by `PriorityAdmission` while the site has bulk routes, and by
    `TargetAdmission` otherwise.

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
    priority_floor : float
        Share of a service's slots that each priority gets while it has requests, at a
        site with bulk routes.
    """

    def __init__(
        self,
        view: SiteView,
        owners: KeyOwnerLookup,
        retry_budget: RetryBudget,
        regions: dict[str, str],
        rng: Random,
        share: CapacityShare | None = None,
        priority_floor: float = DEFAULT_PRIORITY_FLOOR,
    ):
        self._view = view
        self._owners = owners
        self._selector = ServerSelector(view, regions, share or CapacityShare(), rng)
        self._assigner = ServerAssigner(self._selector, retry_budget, rng)
        self._target_admission = TargetAdmission(
            view, owners, self._assigner, self._dispatch
        )
        self._priority_admission = PriorityAdmission(
            owners, self._assigner, self._dispatch, rng, priority_floor
        )
        self._pending: dict[Hashable, PendingRequest] = {}
        self._awaiting_handover: list[PendingRequest] = []

    def submit(
        self, request_id: Hashable, request: DispatchRequest, now: MonotonicSeconds
    ) -> DispatchDecision | None:
        """Return the decision on a request, or None if it has to wait.

        Parameters
        ----------
        request_id : hashable
            Identifies the request in later calls and decisions.
        """
        service = self._assigner.get_service(request.service)
        if request.attempt == 1:
            service.retry_window.record_request(now)
        elif not service.retry_window.try_retry(now):
            return Refused(request.number, MIN_RETRY_AFTER_S, "retry budget spent")
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
        self._record_statements(pending, done, now)
        self._assigner.finish(pending, done, now)
        return self._conclude_all(self._admission.serve_freed(pending, now))

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
            self._admission.withdraw(pending)
            return []
        self._assigner.withdraw(pending, now)
        return self._conclude_all(self._admission.serve_freed(pending, now))

    def advance(self, now: MonotonicSeconds) -> list[tuple[Hashable, DispatchDecision]]:
        """Return the decisions on waiting requests that can be made now.

        Call it at short intervals, and after owners of keys have changed.
        """
        waiting, self._awaiting_handover = self._awaiting_handover, []
        waiting += self._other_admission.take_all()
        decisions = self._conclude_all(self._dispatch_all(waiting, now))
        return decisions + self._conclude_all(self._admission.advance(now))

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
        return self._assigner.get_service(service).typical_latency_s

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
            return self._assigner.refuse(request, 0.5, "service is not configured")
        owner = None
        if spec.partitioned and request.key >= 0:
            key_owner = self._owners.find_owner(request.service, request.key, now)
            if key_owner.server is None and key_owner.moving:
                return self._hold_for_handover(pending, now)
            if key_owner.server is None:
                return self._assigner.refuse(
                    request, key_owner.available_in_s, "key has no live owner"
                )
            owner = key_owner.server
        return self._admission.admit(owner, pending, now)

    def _hold_for_handover(
        self, pending: PendingRequest, now: MonotonicSeconds
    ) -> Refused | None:
        typical_latency_s = self._assigner.get_service(
            pending.request.service
        ).typical_latency_s
        give_up_at = max(
            pending.arrived_at + _MIN_HANDOVER_WAIT_S,
            pending.target_at - typical_latency_s,
        )
        give_up_at = min(give_up_at, pending.deadline - typical_latency_s)
        if now >= give_up_at:
            return self._assigner.refuse(
                pending.request, 0.1, "key is still being handed over"
            )
        self._awaiting_handover.append(pending)
        return None

    # Admission

    @property
    def _admission(self) -> TargetAdmission | PriorityAdmission:
        if self._view.has_bulk_routes:
            return self._priority_admission
        return self._target_admission

    @property
    def _other_admission(self) -> TargetAdmission | PriorityAdmission:
        """Admission that an earlier configuration used; requests may wait there."""
        if self._view.has_bulk_routes:
            return self._target_admission
        return self._priority_admission

    def _dispatch_all(
        self, waiting: list[PendingRequest], now: MonotonicSeconds
    ) -> Iterator[tuple[PendingRequest, DispatchDecision]]:
        for pending in waiting:
            if not pending.ended:
                decision = self._dispatch(pending, now)
                if decision is not None:
                    yield pending, decision

    def _conclude_all(
        self, decisions: Iterable[tuple[PendingRequest, DispatchDecision]]
    ) -> list[tuple[Hashable, DispatchDecision]]:
        """Return decisions by request, and forget the refused requests."""
        concluded = []
        for pending, decision in decisions:
            if isinstance(decision, Refused):
                pending.ended = True
                self._pending.pop(pending.id, None)
            concluded.append((pending.id, decision))
        return concluded
