"""Chooses the server that runs a request, by load, speed, warm-up and distance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.dispatch.server_load import ServerLoad

if TYPE_CHECKING:
    from basilwick.core.dispatch.messages import DispatchRequest
    from basilwick.core.dispatch.site import ServerEntry, SiteView
    from basilwick.core.dispatch.wait_queues import WaitQueue
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["ServerSelector", "CapacityShare"]

#: Time in seconds for which a byte between data centres makes up. Such bytes are paid
#: for, so a large body leaves its data centre only for a much quicker server.
_CROSSING_S_PER_BYTE = 1e-6
#: Cost of a cold server in units of the ordinary one.
_COLD_COST = 2.0
#: Cost of a server that an earlier attempt was sent to, in units of the usual work.
_TRIED_COST = 10.0


@define
class CapacityShare:
    """Part of each server's capacity that a dispatcher may use.

    Attributes
    ----------
    slots : int or None
        Slots of each server; None for all.
    rate : float
        Share of the warm-up rate of each cold server.
    """

    slots: int | None = None
    warm_up_fraction: float = 1.0


@define
class _Candidate:
    """A server that may get requests, with its load and the slots that may be used."""

    server: ServerEntry
    load: ServerLoad
    slots: int


@define
class _ServiceServers:
    """Servers of a service as of a version of the view."""

    version: int
    candidates: list[_Candidate]


@define(eq=False)
class ServerSelector:
    """Servers of a site with their loads.

    Parameters
    ----------
    view : SiteView
        Services and servers.
    regions : dict of str to str
        Region of each data centre.
    share : Share
        Part of the capacity that may be used.
    """

    _view: SiteView
    _regions: dict[str, str]
    share: CapacityShare
    _loads: dict[ServerName, ServerLoad] = field(init=False, factory=dict)
    _services: dict[ServiceName, _ServiceServers] = field(init=False, factory=dict)

    def choose(
        self,
        queue: WaitQueue,
        request: DispatchRequest,
        typical_latency_s: float,
        now: MonotonicSeconds,
    ) -> ServerEntry | None:
        """Return the server with the least cost that has a free slot.

        A cold server's warm-up rate is taken into account and used up.

        Parameters
        ----------
        typical_latency_s : float
            Usual work time of the service in seconds.
        """
        best: _Candidate | None = None
        best_score = float("inf")
        tried_servers = request.tried_servers if queue.owner is None else ()
        crossing_s = request.size_bytes * _CROSSING_S_PER_BYTE
        for candidate in self._list_candidates(queue, request):
            server, load, slots = candidate.server, candidate.load, candidate.slots
            if load.in_flight >= slots or now < load.blocked_until:
                continue
            score = load.score(typical_latency_s, slots, now)
            if server.name in tried_servers:
                score += _TRIED_COST * typical_latency_s
            if server.data_centre != request.data_centre:
                score += crossing_s
            if score >= best_score:
                continue
            if self._view.is_cold(server.name, now):
                score += (_COLD_COST - 1.0) * load.score(typical_latency_s, slots, now)
                if score >= best_score or not self._may_warm(load, queue, now):
                    continue
            best, best_score = candidate, score
        if best is None:
            return None
        if self._view.is_cold(best.server.name, now):
            best.load.warm_up_bucket.try_take(self._get_warm_up_rate(queue), now)
        return best.server

    def get_load(self, name: ServerName) -> ServerLoad:
        """Return what is known of a server's load."""
        load = self._loads.get(name)
        if load is None:
            load = self._loads[name] = ServerLoad()
        return load

    def forget(self, name: ServerName) -> None:
        """Drop what is known of a server that is gone."""
        self._loads.pop(name, None)
        self._services.clear()

    def count_slots(self, queue: WaitQueue, now: MonotonicSeconds) -> int:
        """Return the number of slots of the servers that can be reached."""
        return sum(
            candidate.slots
            for candidate in self._list_candidates(queue)
            if now >= candidate.load.blocked_until
        )

    def estimate_latency(
        self, queue: WaitQueue, typical_latency_s: float, now: MonotonicSeconds
    ) -> float:
        """Return the expected time of a request in seconds."""
        if queue.owner is None:
            return typical_latency_s
        return self.get_load(queue.owner).estimate_latency(typical_latency_s, now)

    def _may_warm(
        self, load: ServerLoad, queue: WaitQueue, now: MonotonicSeconds
    ) -> bool:
        gained = (now - load.warm_up_bucket.updated_at) * self._get_warm_up_rate(queue)
        return load.warm_up_bucket.tokens + gained >= 1.0

    def _get_warm_up_rate(self, queue: WaitQueue) -> float:
        spec = self._view.get_service(queue.service)
        return spec.warm_up_rate * self.share.warm_up_fraction

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
        known = self._services.get(queue.service)
        if known is None or known.version != self._view.version:
            servers = self._view.list_servers(queue.service)
            candidates = [self._make_candidate(server) for server in servers]
            known = _ServiceServers(self._view.version, candidates)
            self._services[queue.service] = known
        if request is None or not request.home_regions:
            return known.candidates
        return [
            candidate
            for candidate in known.candidates
            if self._regions.get(candidate.server.data_centre) in request.home_regions
        ]

    def _make_candidate(self, server: ServerEntry) -> _Candidate:
        load = self.get_load(server.name)
        return _Candidate(server, load, self._get_slots(server))
