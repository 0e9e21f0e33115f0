"""Chooses the server that runs a request, by load, latency, warm-up and location."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.dispatch.capacity import CapacityShare, QueueCapacity
from basilwick.core.dispatch.messages import UNLIMITED_RATE, SendOutcome
from basilwick.core.dispatch.reachability import DataCentreReachability
from basilwick.core.dispatch.server_load import ServerLoad

if TYPE_CHECKING:
    from random import Random

    from basilwick.core.dispatch.messages import DispatchRequest
    from basilwick.core.dispatch.site import ServerEntry, SiteView
    from basilwick.core.dispatch.wait_queues import WaitQueue
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["ServerSelector"]

#: Outcomes that show that a server can be reached.
_RESPONSES = frozenset(
    {SendOutcome.OK, SendOutcome.FAILED, SendOutcome.SHED, SendOutcome.MISDIRECTED}
)
#: Cost of a byte sent between data centres, in seconds of latency. Traffic between data
#: centres is paid for, so a large body leaves its own only for a much faster server.
_CROSS_DATA_CENTRE_S_PER_BYTE = 1e-6
#: Cost of a cold server relative to a warm one.
_COLD_COST_FACTOR = 2.0
#: Added cost of a server that an earlier attempt was sent to, in units of the service's
#: typical latency.
_TRIED_COST_FACTOR = 10.0


@define
class _Candidate:
    """A server that may get requests, its load and the slots that may be used of it."""

    server: ServerEntry
    load: ServerLoad
    slots: int


@define
class _ServiceCandidates:
    """Candidates of a service, valid for one version of the view."""

    version: int
    candidates: list[_Candidate]


@define(eq=False)
class ServerSelector:
    """Selects servers of a site and measures their loads.

    Parameters
    ----------
    view : SiteView
        Services and servers of the site.
    regions : dict of str to str
        Region of each data centre.
    share : CapacityShare
        Part of the servers' capacity that may be used.
    rng : random.Random
        Source of the first tokens of instances that decide by themselves.
    """

    _view: SiteView
    _regions: dict[str, str]
    share: CapacityShare
    _rng: Random
    reachability: DataCentreReachability = field(
        init=False, factory=DataCentreReachability
    )
    _loads: dict[ServerName, ServerLoad] = field(init=False, factory=dict)
    _services: dict[ServiceName, _ServiceCandidates] = field(init=False, factory=dict)

    def choose(
        self,
        queue: WaitQueue,
        request: DispatchRequest,
        typical_latency_s: float,
        now: MonotonicSeconds,
    ) -> ServerEntry | None:
        """Return the server of lowest cost that has a free slot, None if there is none.

        A server that is cold or states a rate limit is chosen only if its rate allows;
        this takes a token.

        Parameters
        ----------
        typical_latency_s : float
            Mean latency of the service in seconds.
        """
        if self._view.has_bulk_routes and not self.share.coordinated:
            return self._choose_of_two(queue, request, typical_latency_s, now)
        best: _Candidate | None = None
        best_cost_s = float("inf")
        tried_servers = request.tried_servers if queue.owner is None else ()
        crossing_cost_s = request.size_bytes * _CROSS_DATA_CENTRE_S_PER_BYTE
        by_reports = self._view.has_bulk_routes
        for candidate in self._list_reachable(queue, request, now):
            server, load, slots = candidate.server, candidate.load, candidate.slots
            if server.name in request.unwanted_servers:
                continue
            limit = slots + load.concurrency_limit.extra if by_reports else slots
            if load.in_flight >= limit or now < load.blocked_until:
                continue
            if by_reports:
                others = load.stated.estimate_confirmed_others(now)
                if load.in_flight >= max(1, limit - round(others)):
                    continue
                cost_s = load.estimate_stated_cost(
                    typical_latency_s, slots, others, now
                )
            else:
                cost_s = load.estimate_cost(typical_latency_s, slots, now)
            if server.name in tried_servers:
                cost_s += _TRIED_COST_FACTOR * typical_latency_s
            if server.data_centre != request.data_centre:
                cost_s += crossing_cost_s
            if cost_s >= best_cost_s:
                continue
            if self._view.is_cold(server.name, now):
                cost_s += (_COLD_COST_FACTOR - 1.0) * load.estimate_cost(
                    typical_latency_s, slots, now
                )
                if cost_s >= best_cost_s:
                    continue
            if self._has_token(candidate, now):
                best, best_cost_s = candidate, cost_s
        return None if best is None else self._take_token(best, now)

    def _choose_of_two(
        self,
        queue: WaitQueue,
        request: DispatchRequest,
        typical_latency_s: float,
        now: MonotonicSeconds,
    ) -> ServerEntry | None:
        """Return the better of two servers drawn at random, None if there is none.

        Many instances that decide by themselves have the same old figures. All of them
        would choose the server that looks best.
        """
        candidates: list[_Candidate] = []
        weights: list[float] = []
        crossing_cost_s = request.size_bytes * _CROSS_DATA_CENTRE_S_PER_BYTE
        for candidate in self._list_reachable(queue, request, now):
            server, load = candidate.server, candidate.load
            if server.name in request.unwanted_servers or now < load.blocked_until:
                continue
            if load.in_flight >= self._count_free_slots(candidate, now):
                continue
            latency_s = load.estimate_mean_latency(typical_latency_s)
            if server.data_centre != request.data_centre:
                latency_s += crossing_cost_s
            candidates.append(candidate)
            weights.append(server.slots / latency_s)
        tried_servers = request.tried_servers if queue.owner is None else ()
        while candidates:
            pair = self._draw_two(candidates, weights)
            if len(pair) == 2:
                pair.sort(
                    key=lambda candidate: self._compute_cost(
                        candidate, request, tried_servers, typical_latency_s, now
                    )
                )
            for candidate in pair:
                if self._has_token(candidate, now):
                    return self._take_token(candidate, now)
        return None

    def _draw_two(
        self, candidates: list[_Candidate], weights: list[float]
    ) -> list[_Candidate]:
        """Remove two candidates by weight, or the only one, and return them."""
        drawn = []
        while candidates and len(drawn) < 2:
            index = self._rng.choices(range(len(candidates)), weights)[0]
            del weights[index]
            drawn.append(candidates.pop(index))
        return drawn

    def _compute_cost(
        self,
        candidate: _Candidate,
        request: DispatchRequest,
        tried_servers: tuple[str, ...],
        typical_latency_s: float,
        now: MonotonicSeconds,
    ) -> float:
        """Return the cost in seconds of a server by its stated load and location."""
        server = candidate.server
        others = candidate.load.stated.estimate_others(now)
        cost_s = candidate.load.estimate_stated_cost(
            typical_latency_s, server.slots, others, now
        )
        if self._view.is_cold(server.name, now):
            cost_s *= _COLD_COST_FACTOR
        if server.name in tried_servers:
            cost_s += _TRIED_COST_FACTOR * typical_latency_s
        if server.data_centre != request.data_centre:
            cost_s += request.size_bytes * _CROSS_DATA_CENTRE_S_PER_BYTE
        return cost_s

    def _count_free_slots(self, candidate: _Candidate, now: MonotonicSeconds) -> int:
        """Return the slots of a server that no request of other origin takes.

        An instance that decides by itself knows too little without a fresh report; it
        then uses its share. The leader always uses at least one slot, so that a server
        gets requests whatever it stated.
        """
        stated = candidate.load.stated
        slots = candidate.server.slots
        if self.share.coordinated:
            others = stated.estimate_confirmed_others(now)
            slots += candidate.load.concurrency_limit.extra
            return max(1, slots - round(others))
        if not stated.is_fresh(now):
            return candidate.slots
        slots = min(slots, stated.report.slots)
        return max(0, slots - round(stated.estimate_others(now)))

    def _take_token(self, candidate: _Candidate, now: MonotonicSeconds) -> ServerEntry:
        """Take a token of a server if its rate is limited; returns the server."""
        if self._get_max_rate(candidate.server.name, now) < UNLIMITED_RATE:
            candidate.load.rate_bucket.take()
        return candidate.server

    def can_reach(
        self, queue: WaitQueue, request: DispatchRequest, now: MonotonicSeconds
    ) -> bool:
        """Return whether a request may be sent to a server of a queue.

        For a key whose owner is in a data centre that is cut off, one request in an
        interval may, to find out whether it still is.
        """
        if queue.owner is None:
            return bool(self._list_reachable(queue, request, now))
        owner = self._view.get_server(queue.owner)
        return owner is None or self.reachability.may_send(
            request.data_centre, owner.data_centre, now
        )

    def _list_reachable(
        self, queue: WaitQueue, request: DispatchRequest, now: MonotonicSeconds
    ) -> list[_Candidate]:
        """Return the candidates outside data centres that are cut off.

        An owner is always returned; `can_reach` tells whether it may be sent requests.
        """
        candidates = self._list_candidates(queue, request)
        if queue.owner is not None or not self._view.has_bulk_routes:
            return candidates
        cut_off = self.reachability.list_cut_off(request.data_centre, now)
        if not cut_off:
            return candidates
        return [c for c in candidates if c.server.data_centre not in cut_off]

    def record_outcome(
        self,
        request: DispatchRequest,
        name: ServerName,
        outcome: SendOutcome,
        now: MonotonicSeconds,
    ) -> None:
        """Record whether a server could be reached from the request's data centre."""
        server = self._view.get_server(name)
        if server is None or not self._view.has_bulk_routes:
            return
        source, target = request.data_centre, server.data_centre
        if outcome is SendOutcome.UNREACHABLE:
            self.reachability.record_failure(source, target, name, now)
        elif outcome in _RESPONSES:
            self.reachability.record_response(source, target)

    def has_wanted_server(self, queue: WaitQueue, request: DispatchRequest) -> bool:
        """Return whether not all servers of a queue are unwanted by a request."""
        if not request.unwanted_servers:
            return True
        candidates = self._list_candidates(queue, request)
        return not candidates or any(
            candidate.server.name not in request.unwanted_servers
            for candidate in candidates
        )

    def get_load(self, name: ServerName) -> ServerLoad:
        """Return the measured load of a server."""
        load = self._loads.get(name)
        if load is None:
            load = self._loads[name] = ServerLoad()
        return load

    def remove_server(self, name: ServerName) -> None:
        """Discard the load of a server that was removed."""
        self._loads.pop(name, None)
        self._services.clear()

    def measure_capacity(
        self, queue: WaitQueue, latency_s: float, now: MonotonicSeconds
    ) -> QueueCapacity:
        """Return the capacity of the reachable servers of a queue.

        Parameters
        ----------
        latency_s : float
            Expected latency of the queue's requests in seconds.
        """
        slots = 0
        requests_per_s = 0.0
        rate_limited = False
        by_reports = self._view.has_bulk_routes
        for candidate in self._list_candidates(queue):
            if now < candidate.load.blocked_until:
                continue
            usable = candidate.slots
            if by_reports:
                free = self._count_free_slots(candidate, now)
                usable = free if self.share.coordinated else max(usable, free)
            slots += usable
            max_rate = self._get_max_rate(candidate.server.name, now)
            rate_limited |= max_rate < usable / latency_s
            requests_per_s += min(usable / latency_s, max_rate)
        return QueueCapacity(slots, requests_per_s, rate_limited)

    def estimate_latency(
        self, queue: WaitQueue, typical_latency_s: float, now: MonotonicSeconds
    ) -> float:
        """Return the expected latency of a queue's requests in seconds."""
        if queue.owner is None:
            return typical_latency_s
        load = self.get_load(queue.owner)
        if self._view.has_bulk_routes:
            return load.estimate_stated_latency(typical_latency_s, now)
        return load.estimate_latency(typical_latency_s, now)

    def _has_token(self, candidate: _Candidate, now: MonotonicSeconds) -> bool:
        rate = self._get_max_rate(candidate.server.name, now)
        if rate >= UNLIMITED_RATE:
            return True
        bucket = candidate.load.rate_bucket
        if not self.share.coordinated and bucket.is_idle(rate, now):
            # All instances that decide by themselves would otherwise send at once.
            bucket.restart(self._rng.random(), now)
        return bucket.has_token(rate, now)

    def _get_max_rate(self, name: ServerName, now: MonotonicSeconds) -> float:
        rate = self._view.get_max_rate(name, now)
        if rate >= UNLIMITED_RATE:
            return UNLIMITED_RATE
        return rate * self.share.rate_fraction

    def _get_slots(self, server: ServerEntry) -> int:
        if self.share.slots is None:
            return server.slots
        return min(server.slots, self.share.slots)

    def _list_candidates(
        self, queue: WaitQueue, request: DispatchRequest | None = None
    ) -> list[_Candidate]:
        if queue.owner is not None:
            owner = self._view.get_server(queue.owner)
            is_usable = owner is not None and self._view.is_usable(queue.owner)
            return [self._make_candidate(owner)] if is_usable else []
        cached = self._services.get(queue.service)
        if cached is None or cached.version != self._view.version:
            servers = self._view.list_servers(queue.service)
            candidates = [self._make_candidate(server) for server in servers]
            cached = _ServiceCandidates(self._view.version, candidates)
            self._services[queue.service] = cached
        if request is None or not request.home_regions:
            return cached.candidates
        return [
            candidate
            for candidate in cached.candidates
            if self._regions.get(candidate.server.data_centre) in request.home_regions
        ]

    def _make_candidate(self, server: ServerEntry) -> _Candidate:
        load = self.get_load(server.name)
        return _Candidate(server, load, self._get_slots(server))
