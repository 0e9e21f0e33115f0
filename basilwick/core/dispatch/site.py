"""What an instance knows of its site: routes, services, servers, data centres out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

if TYPE_CHECKING:
    from basilwick.core.types import (
        DataCentreName,
        MonotonicSeconds,
        Operation,
        ServerName,
        ServiceName,
    )

__all__ = [
    "CallerLimits",
    "Route",
    "ServerEntry",
    "ServiceSpec",
    "SiteConfiguration",
    "SiteView",
    "RouteTarget",
]

#: Time in seconds after the return of the platform's service within which the entry of
#: a live server that lapsed meanwhile is back.
_REGISTRATION_GRACE_S = 2.0


@frozen
class RouteTarget:
    """Service that gets a share of a route's requests."""

    service: ServiceName
    weight: float


@frozen
class Route:
    """How requests for one host and path prefix are served.

    Attributes
    ----------
    host, prefix : str
        What selects the route; the longest prefix wins.
    operation : Operation
        How often a request may run.
    targets : tuple of Target
        Services that share the requests by weight.
    timeout_s : float
        Longest time in seconds until the final answer.
    target_latency_s : float
        Time in seconds within which an answer has its full value.
    priority : int
        Rank; 0 is served first.
    max_attempts : int
        Servers that one request may be sent to.
    home_regions : frozenset of str
        Regions whose servers may run the requests; empty for all.
    large_responses : bool
        Whether answers are usually large.
    """

    name: str
    host: str
    prefix: str
    operation: Operation
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    home_regions: frozenset[str] = frozenset()
    large_responses: bool = False


@frozen
class ServiceSpec:
    """A service as its operators configured it.

    Attributes
    ----------
    max_connections : int
        Connections that one server accepts from all instances together.
    warm_up_s : float
        Time in seconds for which a started server is cold.
    warm_up_rate : float
        Requests per second that a cold server bears.
    partitioned : bool
        Whether each key has one owner among the servers.
    cold_takeover_s : float
        Time in seconds for which keys taken over without hand-over are slow.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    warm_up_s: float
    warm_up_rate: float
    partitioned: bool = False
    cold_takeover_s: float = 0.0


@frozen
class CallerLimits:
    """Bounds of what a caller may send."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class SiteConfiguration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: CallerLimits = CallerLimits()


@frozen
class ServerEntry:
    """A backend server as it registered itself.

    Attributes
    ----------
    started_ms : int
        Unix time in milliseconds of its start; another one means another process.
    """

    name: ServerName
    service: ServiceName
    address: str
    data_centre: DataCentreName
    slots: int
    leaving: bool
    warm_up_left_s: float
    started_ms: int


@define
class _Registration:
    server: ServerEntry
    cold_until: MonotonicSeconds
    #: Local time at which a lapsed entry counts as gone; None while it is there.
    gone_at: MonotonicSeconds | None = None


@define(eq=False)
class SiteView:
    """Configuration, servers and data centres out, as last heard.

    A version of the configuration is never replaced by an older one.
    """

    configuration: SiteConfiguration | None = None
    data_centres_out: set[DataCentreName] = field(factory=set)
    #: Raised by every change that a decision may depend on.
    version: int = 0
    _servers: dict[ServerName, _Registration] = field(factory=dict)
    _platform_back_at: MonotonicSeconds = float("-inf")

    def apply_configuration(self, configuration: SiteConfiguration) -> bool:
        """Take a newer configuration; returns whether it was newer."""
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.configuration = configuration
        self.version += 1
        return True

    def apply_server(self, server: ServerEntry, now: MonotonicSeconds) -> bool:
        """Take a server's registration; returns whether something changed."""
        known = self._servers.get(server.name)
        cold_until = now + server.warm_up_left_s if server.warm_up_left_s else 0.0
        if known is None or known.server.started_ms != server.started_ms:
            self._servers[server.name] = _Registration(server, cold_until)
            self.version += 1
            return True
        known.gone_at = None
        known.cold_until = max(known.cold_until, cold_until)
        plain = evolve(server, warm_up_left_s=0.0)
        changed = plain != evolve(known.server, warm_up_left_s=0.0)
        known.server = server
        self.version += changed
        return changed

    def remove_server(self, name: ServerName, now: MonotonicSeconds) -> None:
        """Note that a server's registration is gone.

        A registration that lapsed while the platform was away may be back shortly, so
        the server stays in use until then.
        """
        known = self._servers.get(name)
        if known is None:
            return
        grace_until = self._platform_back_at + _REGISTRATION_GRACE_S
        known.gone_at = max(now, grace_until) if now < grace_until else now
        self.version += 1

    def retain_servers(self, names: set[ServerName], now: MonotonicSeconds) -> None:
        """Remove the servers that a whole list of registrations doesn't name."""
        for name in self._servers.keys() - names:
            if self._servers[name].gone_at is None:
                self.remove_server(name, now)

    def set_data_centre_out(
        self, data_centre: DataCentreName, out: bool, now: MonotonicSeconds
    ) -> None:
        """Take a data centre out of service, or back with its servers cold."""
        if out == (data_centre in self.data_centres_out):
            return
        self.version += 1
        if out:
            self.data_centres_out.add(data_centre)
            return
        self.data_centres_out.discard(data_centre)
        for known in self._servers.values():
            if known.server.data_centre == data_centre:
                spec = self.get_service(known.server.service)
                warm_up_s = 0.0 if spec is None else spec.warm_up_s
                known.cold_until = max(known.cold_until, now + warm_up_s)

    def record_platform_recovery(self, now: MonotonicSeconds) -> None:
        """Note that the platform's service answers again."""
        self._platform_back_at = now

    def remove_expired_servers(self, now: MonotonicSeconds) -> list[ServerEntry]:
        """Forget the servers whose time has passed; returns them."""
        gone = [
            known.server
            for known in self._servers.values()
            if known.gone_at is not None and known.gone_at <= now
        ]
        for server in gone:
            del self._servers[server.name]
        self.version += bool(gone)
        return gone

    def get_service(self, name: ServiceName) -> ServiceSpec | None:
        """Return a service's specification."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)

    def get_server(self, name: ServerName) -> ServerEntry | None:
        """Return a server by its name."""
        known = self._servers.get(name)
        return None if known is None else known.server

    def is_cold(self, name: ServerName, now: MonotonicSeconds) -> bool:
        """Return whether a server bears only the warm-up rate."""
        known = self._servers.get(name)
        return known is not None and now < known.cold_until

    def extend_warm_up(
        self, name: ServerName, seconds: float, now: MonotonicSeconds
    ) -> None:
        """Note that a server says it stays cold for some seconds."""
        known = self._servers.get(name)
        if known is not None:
            known.cold_until = max(known.cold_until, now + seconds)

    def list_servers(self, service: ServiceName) -> list[ServerEntry]:
        """Return the servers of a service that may get new work."""
        return [
            known.server
            for known in self._servers.values()
            if known.server.service == service
            and known.gone_at is None
            and not known.server.leaving
            and known.server.data_centre not in self.data_centres_out
        ]

    def is_usable(self, name: ServerName) -> bool:
        """Return whether a server may get new requests for keys that it owns."""
        known = self._servers.get(name)
        return (
            known is not None
            and not known.server.leaving
            and known.server.data_centre not in self.data_centres_out
        )
