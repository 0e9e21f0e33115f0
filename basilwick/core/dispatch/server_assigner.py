"""Assigns requests to servers, and refuses them, on behalf of a dispatcher."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, TypeAlias

from attrs import define, field

from basilwick.core.dispatch.messages import Assigned, Refused, SendOutcome
from basilwick.core.dispatch.retry_window import RetryBudget, RetryWindow

if TYPE_CHECKING:
    from random import Random

    from basilwick.core.dispatch.messages import DispatchRequest, SendFinished
    from basilwick.core.dispatch.ranked_queue import RankedQueue
    from basilwick.core.dispatch.server_selector import ServerSelector
    from basilwick.core.dispatch.wait_queues import PendingRequest, WaitQueue
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["DispatchDecision", "ServerAssigner", "ServiceState"]

#: Latency in seconds assumed for a service before its first response.
_INITIAL_LATENCY_S = 0.05
#: Weight of the newest sample in the moving average of a service's latency.
_LATENCY_SMOOTHING = 0.05
#: Time constant in seconds of a service's steady latency.
_STEADY_PERIOD_S = 1.0
#: Largest delay in seconds on links that counts. Longer ones are stalls, which end.
_MAX_LINK_DELAY_S = 0.2
#: Bounds in seconds of the retry-after time in refusals.
MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 2.0
#: Smallest factor of the jitter in retry-after times.
MIN_JITTER = 0.75

DispatchDecision: TypeAlias = Assigned | Refused


@define(eq=False)
class ServiceState:
    """Retries and latency of one service."""

    retry_window: RetryWindow
    #: Moving average of the latency in seconds, 0 before the first response.
    mean_latency_s: float = 0.0
    #: Moving average over a second, 0 before the first response. It changes little
    #: during a slow spell of a part of the servers.
    steady_latency_s: float = 0.0
    #: Moving average of the seconds for which a slot is taken beyond the latency, while
    #: the decision and the end of the request pass over the link.
    link_delay_s: float = 0.0
    _sampled_at: MonotonicSeconds = float("-inf")

    @property
    def typical_latency_s(self) -> float:
        """Mean latency in seconds, or an initial estimate."""
        return self.mean_latency_s or _INITIAL_LATENCY_S

    def record_latency(
        self, latency_s: float, slot_time_s: float, now: MonotonicSeconds
    ) -> None:
        """Update the averages by a response.

        Parameters
        ----------
        slot_time_s : float
            Seconds from the assignment of the request to the report of its end.
        """
        delay_s = min(max(0.0, slot_time_s - latency_s), _MAX_LINK_DELAY_S)
        self.link_delay_s += _LATENCY_SMOOTHING * (delay_s - self.link_delay_s)
        mean_s = self.typical_latency_s
        self.mean_latency_s = mean_s + _LATENCY_SMOOTHING * (latency_s - mean_s)
        if not self.steady_latency_s:
            self.steady_latency_s = self.mean_latency_s
        elapsed_s = now - self._sampled_at
        self._sampled_at = now
        weight = min(_LATENCY_SMOOTHING, 1.0 - exp(-elapsed_s / _STEADY_PERIOD_S))
        self.steady_latency_s += weight * (latency_s - self.steady_latency_s)


@define(eq=False)
class ServerAssigner:
    """Assigns requests to servers and frees their slots.

    Parameters
    ----------
    selector : ServerSelector
        Selects servers and measures their loads.
    retry_budget : RetryBudget
        Limit on the retries of each service.
    rng : random.Random
        Source of the jitter in retry-after times.
    """

    selector: ServerSelector
    _retry_budget: RetryBudget
    _rng: Random
    _services: dict[ServiceName, ServiceState] = field(init=False, factory=dict)
    #: Assigned requests that have not ended, by server.
    _running: dict[ServerName, set[PendingRequest]] = field(init=False, factory=dict)

    def get_service(self, name: ServiceName) -> ServiceState:
        """Return the retries and latency of a service."""
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceState(
                RetryWindow(self._retry_budget)
            )
        return service

    def try_assign(
        self,
        queue: WaitQueue | RankedQueue,
        pending: PendingRequest,
        now: MonotonicSeconds,
    ) -> Assigned | None:
        """Assign a request to a server with a free slot, if there is one."""
        typical_latency_s = self.get_service(queue.service).typical_latency_s
        server = self.selector.choose(queue, pending.request, typical_latency_s, now)
        if server is None:
            return None
        self.selector.get_load(server.name).in_flight += 1
        pending.server = server.name
        pending.assigned_at = now
        self._running.setdefault(server.name, set()).add(pending)
        return Assigned(pending.request.number, server.name, server.address)

    def finish(
        self, pending: PendingRequest, done: SendFinished, now: MonotonicSeconds
    ) -> None:
        """Free the slot of a request and record its latency."""
        self._discard(pending)
        load = self.selector.get_load(pending.server)
        load.finish(done.outcome, done.latency_s, now, done.load_report)
        self.selector.record_outcome(pending.request, pending.server, done.outcome, now)
        if done.outcome is SendOutcome.OK:
            service = self.get_service(pending.request.service)
            slot_time_s = now - pending.assigned_at
            service.record_latency(done.latency_s, slot_time_s, now)

    def withdraw(self, pending: PendingRequest, now: MonotonicSeconds) -> None:
        """Free the slot of a withdrawn request."""
        self._discard(pending)
        self.selector.get_load(pending.server).finish(SendOutcome.WITHDRAWN, 0.0, now)

    def list_running(self, server: ServerName) -> set[PendingRequest]:
        """Return the requests that run at a server."""
        return self._running.get(server, set())

    def estimate_latency(
        self, queue: WaitQueue | RankedQueue, now: MonotonicSeconds
    ) -> float:
        """Return the expected latency of a queue's requests in seconds."""
        typical_latency_s = self.get_service(queue.service).typical_latency_s
        return self.selector.estimate_latency(queue, typical_latency_s, now)

    def refuse(self, request: DispatchRequest, wait_s: float, reason: str) -> Refused:
        """Refuse a request; the retry-after time is about `wait_s` seconds."""
        jitter = MIN_JITTER + 0.5 * self._rng.random()
        retry_after_s = max(wait_s * jitter, MIN_RETRY_AFTER_S)
        retry_after_s = min(retry_after_s, _MAX_RETRY_AFTER_S)
        return Refused(request.number, retry_after_s, reason)

    def _discard(self, pending: PendingRequest) -> None:
        running = self._running.get(pending.server)
        if running is not None:
            running.discard(pending)
            if not running:
                del self._running[pending.server]
