"""Chooses the server that runs a request, by load, speed, warm-up and distance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.dispatch.server_load import ServerLoad

if TYPE_CHECKING:
    from basilwick.core.dispatch.lanes import Lane
    from basilwick.core.dispatch.messages import Ask
    from basilwick.core.dispatch.site import ServerEntry, SiteView
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["ServerChoice", "Share"]

#: Time in seconds for which a byte between data centres makes up. Such bytes are paid
#: for, so a large body leaves its data centre only for a much quicker server.
_CROSSING_S_PER_BYTE = 1e-6
#: Cost of a server that an earlier attempt was sent to, in units of the usual work.
_TRIED_COST = 10.0


@define
class Share:
    """Part of each server's capacity that a dispatcher may use.

    Attributes
    ----------
    slots : int or None
        Slots of each server; None for all.
    rate : float
        Share of the warm-up rate of each cold server.
    """

    slots: int | None = None
    rate: float = 1.0


@define
class _ServiceServers:
    """Servers of a service as of a version of the view."""

    version: int
    servers: list[ServerEntry]


@define(eq=False)
class ServerChoice:
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
    share: Share
    _loads: dict[ServerName, ServerLoad] = field(init=False, factory=dict)
    _services: dict[ServiceName, _ServiceServers] = field(init=False, factory=dict)

    def choose(
        self, lane: Lane, ask: Ask, usual_s: float, now: MonotonicSeconds
    ) -> ServerEntry | None:
        """Return the server with the least cost that has a free slot.

        A cold server's warm-up rate is taken into account and used up.

        Parameters
        ----------
        usual_s : float
            Usual work time of the service in seconds.
        """
        best = None
        best_score = float("inf")
        for server in self._list_servers(lane, ask):
            load = self.measure_load(server.name)
            slots = self._get_slots(server)
            if load.running >= slots or now < load.blocked_until:
                continue
            cold = self._view.is_cold(server.name, now)
            score = load.score(usual_s, slots, cold, now)
            if server.name in ask.tried and lane.owner is None:
                score += _TRIED_COST * usual_s
            if server.data_centre != ask.data_centre:
                score += ask.size * _CROSSING_S_PER_BYTE
            if score >= best_score or (cold and not self._may_warm(load, lane, now)):
                continue
            best, best_score = server, score
        if best is not None and self._view.is_cold(best.name, now):
            warm_up = self.measure_load(best.name).warm_up
            warm_up.try_take(self._get_warm_up_rate(lane), now)
        return best

    def measure_load(self, name: ServerName) -> ServerLoad:
        """Return what is known of a server's load."""
        load = self._loads.get(name)
        if load is None:
            load = self._loads[name] = ServerLoad()
        return load

    def forget(self, name: ServerName) -> None:
        """Drop what is known of a server that is gone."""
        self._loads.pop(name, None)

    def count_slots(self, lane: Lane, now: MonotonicSeconds) -> int:
        """Return the number of slots of the servers that can be reached."""
        return sum(
            self._get_slots(server)
            for server in self._list_servers(lane)
            if now >= self.measure_load(server.name).blocked_until
        )

    def estimate_work(self, lane: Lane, usual_s: float, now: MonotonicSeconds) -> float:
        """Return the expected time of a request in seconds."""
        if lane.owner is None:
            return usual_s
        return self.measure_load(lane.owner).estimate_work(usual_s, now)

    def _may_warm(self, load: ServerLoad, lane: Lane, now: MonotonicSeconds) -> bool:
        gained = (now - load.warm_up.updated_at) * self._get_warm_up_rate(lane)
        return load.warm_up.tokens + gained >= 1.0

    def _get_warm_up_rate(self, lane: Lane) -> float:
        spec = self._view.get_service(lane.service)
        return spec.warm_up_rate * self.share.rate

    def _get_slots(self, server: ServerEntry) -> int:
        if self.share.slots is None:
            return server.slots
        return min(server.slots, self.share.slots)

    def _list_servers(self, lane: Lane, ask: Ask | None = None) -> list[ServerEntry]:
        if lane.owner is not None:
            owner = self._view.get_server(lane.owner)
            return [owner] if owner and self._view.may_use(lane.owner) else []
        known = self._services.get(lane.service)
        if known is None or known.version != self._view.version:
            servers = self._view.list_servers(lane.service)
            known = _ServiceServers(self._view.version, servers)
            self._services[lane.service] = known
        if ask is None or not ask.home_regions:
            return known.servers
        return [
            server
            for server in known.servers
            if self._regions.get(server.data_centre) in ask.home_regions
        ]
