"""View that an instance has of its site: configuration, servers and data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from basilwick.core.dispatch.messages import UNLIMITED_RATE
from basilwick.core.dispatch.server_statements import LeavingServer, ServerStatements

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

#: Time in seconds after an outage of the platform's service within which live servers
#: have renewed the registrations that expired during the outage.
_REGISTRATION_GRACE_S = 2.0
#: Removed servers whose last registration is remembered.
_MAX_REMOVED_SERVERS = 2000
#: Lowest rate in requests per second at which a server is used. A server that gets no
#: requests can't state that its limit has ended.
_MIN_RATE = 0.25


@frozen
class RouteTarget:
    """Service that gets a share of a route's requests, in proportion to its weight."""

    service: ServiceName
    weight: float


@frozen
class Route:
    """Route for the requests to one host and path prefix.

    Attributes
    ----------
    host, prefix : str
        Host and path prefix of the requests; the longest matching prefix wins.
    operation : Operation
        Whether a request may run more than once.
    targets : tuple of RouteTarget
        Services that share the requests by weight.
    timeout_s : float
        Longest time in seconds until the final response.
    target_latency_s : float
        Time in seconds within which a response has its full value to the caller.
    priority : int
        Priority of the requests; 0 is served first.
    max_attempts : int
        Largest number of times that a request is sent to a server.
    home_regions : frozenset of str
        Regions whose servers may run the requests; empty for all.
    large_responses : bool
        Whether response bodies are usually large.
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
    """Configuration of a service.

    Attributes
    ----------
    max_connections : int
        Largest number of connections to one server, from all instances together.
    warm_up_s : float
        Time in seconds for which a newly started server is cold.
    warm_up_rate : float
        Requests per second that a cold server can take.
    partitioned : bool
        Whether each key is owned exclusively by one of the servers.
    cold_takeover_s : float
        Time in seconds for which keys are slow after a takeover without a handover.
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
    """Limits on the size and timing of requests from callers."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class SiteConfiguration:
    """One version of the configuration that operators write."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    #: Whether a route has large responses, so that bulk transfers compete with short
    #: requests for the same servers.
    has_bulk_routes: bool = field(init=False)

    @has_bulk_routes.default
    def _find_bulk_routes(self) -> bool:
        return any(route.large_responses for route in self.routes)


@frozen
class ServerEntry:
    """Registration that a backend server wrote.

    Attributes
    ----------
    leaving : bool
        Whether the server is draining and takes no new requests.
    warm_up_left_s : float
        Time in seconds for which the server stays cold.
    started_ms : int
        Unix time in milliseconds at which the server's process started. A new value
        tells that the server was restarted.
    sequence : int
        Number that grows with each registration that the process writes; 0 if unknown.
    """

    name: ServerName
    service: ServiceName
    address: str
    data_centre: DataCentreName
    slots: int
    leaving: bool
    warm_up_left_s: float
    started_ms: int
    sequence: int = 0

    def is_outdated_by(self, other: ServerEntry) -> bool:
        """Return whether the same process wrote another registration later."""
        return (
            self.started_ms == other.started_ms and 0 < self.sequence < other.sequence
        )


@define
class _Registration:
    server: ServerEntry
    cold_until: MonotonicSeconds
    #: Local time from which an expired registration is removed; None while it exists.
    removal_at: MonotonicSeconds | None = None
    #: Requests per second that the server last stated it takes from all instances.
    rate_limit: float = UNLIMITED_RATE
    #: Local time of the last report of that limit.
    rate_limit_at: MonotonicSeconds = float("-inf")


@define(eq=False)
class SiteView:
    """Configuration, servers and data centres out of service, as last read.

    A version of the configuration is never replaced by an older one.
    """

    configuration: SiteConfiguration | None = None
    data_centres_out: set[DataCentreName] = field(factory=set)
    #: Incremented by every change that may affect a dispatch decision.
    version: int = 0
    _servers: dict[ServerName, _Registration] = field(factory=dict)
    #: Last registrations of servers that were removed, oldest first.
    _removed_servers: dict[ServerName, ServerEntry] = field(factory=dict)
    #: Local times from which data centres that nobody takes out any longer are used.
    _return_at: dict[DataCentreName, MonotonicSeconds] = field(factory=dict)
    _platform_recovered_at: MonotonicSeconds = float("-inf")
    _statements: ServerStatements = field(factory=ServerStatements)

    @property
    def has_bulk_routes(self) -> bool:
        """Whether a route of the configuration in force has large responses."""
        return self.configuration is not None and self.configuration.has_bulk_routes

    def apply_configuration(self, configuration: SiteConfiguration) -> bool:
        """Apply a configuration if it is newer; returns whether it was."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.version += 1
        return True

    def apply_server(self, server: ServerEntry, now: MonotonicSeconds) -> bool:
        """Apply a server's registration; returns whether it changed anything.

        An earlier registration than the known one comes from a copy of the platform's
        service, or from a write that was held up; it changes nothing.
        """
        registration = self._servers.get(server.name)
        known = registration and registration.server
        known = known or self._removed_servers.get(server.name)
        if known is not None and server.is_outdated_by(known):
            return False
        # A copy may also contain the registration of an earlier process.
        is_earlier = known is not None and server.started_ms < known.started_ms
        if is_earlier and self.in_registration_grace(now):
            return False
        self._removed_servers.pop(server.name, None)
        cold_until = now + server.warm_up_left_s if server.warm_up_left_s else 0.0
        if registration is None or registration.server.started_ms != server.started_ms:
            self._servers[server.name] = _Registration(server, cold_until)
            self.version += 1
            return True
        registration.removal_at = None
        registration.cold_until = max(registration.cold_until, cold_until)
        changed = _describe(server) != _describe(registration.server)
        registration.server = server
        self.version += changed
        return changed

    def remove_server(self, name: ServerName, now: MonotonicSeconds) -> None:
        """Record that a server's registration no longer exists.

        A registration that expired during an outage of the platform's service may be
        renewed shortly after it, so its server stays in use until then.
        """
        registration = self._servers.get(name)
        if registration is None:
            return
        grace_until = self._platform_recovered_at + _REGISTRATION_GRACE_S
        registration.removal_at = max(now, grace_until)
        self.version += 1

    def retain_servers(self, names: set[ServerName], now: MonotonicSeconds) -> None:
        """Remove the servers that are missing from a complete list of registrations."""
        for name in self._servers.keys() - names:
            if self._servers[name].removal_at is None:
                self.remove_server(name, now)

    def set_data_centre_out(
        self, data_centre: DataCentreName, out: bool, now: MonotonicSeconds
    ) -> None:
        """Take a data centre out of service, or back with its servers cold."""
        self._return_at.pop(data_centre, None)
        if out == (data_centre in self.data_centres_out):
            return
        self.version += 1
        if out:
            self.data_centres_out.add(data_centre)
            return
        self.data_centres_out.discard(data_centre)
        for registration in self._servers.values():
            if registration.server.data_centre == data_centre:
                spec = self.get_service(registration.server.service)
                warm_up_s = 0.0 if spec is None else spec.warm_up_s
                registration.cold_until = max(registration.cold_until, now + warm_up_s)

    def retain_data_centres_out(
        self, names: set[DataCentreName], now: MonotonicSeconds
    ) -> None:
        """Take back the data centres that a complete list of items doesn't take out.

        After an outage of the platform's service this waits, because operators may have
        to write again what the service has lost.
        """
        for data_centre in self.data_centres_out - names:
            if self.in_registration_grace(now):
                grace_until = self._platform_recovered_at + _REGISTRATION_GRACE_S
                self._return_at.setdefault(data_centre, grace_until)
            else:
                self.set_data_centre_out(data_centre, False, now)

    def take_back_due(self, now: MonotonicSeconds) -> list[DataCentreName]:
        """Take back the data centres that were not taken out again in time.

        Returns the data centres.
        """
        due = [name for name, at in self._return_at.items() if at <= now]
        for data_centre in due:
            self.set_data_centre_out(data_centre, False, now)
        return due

    def record_platform_recovery(self, now: MonotonicSeconds) -> None:
        """Record that the platform's service answers again after an outage."""
        self._platform_recovered_at = now

    def in_registration_grace(self, now: MonotonicSeconds) -> bool:
        """Return whether registrations may be missing because of a recent outage."""
        return now < self._platform_recovered_at + _REGISTRATION_GRACE_S

    def remove_expired_servers(self, now: MonotonicSeconds) -> list[ServerEntry]:
        """Remove servers whose registration expired and was not renewed in time.

        Returns the removed servers.
        """
        expired = [
            registration.server
            for registration in self._servers.values()
            if registration.removal_at is not None and registration.removal_at <= now
        ]
        for server in expired:
            del self._servers[server.name]
            self._removed_servers.pop(server.name, None)
            self._removed_servers[server.name] = server
        while len(self._removed_servers) > _MAX_REMOVED_SERVERS:
            del self._removed_servers[next(iter(self._removed_servers))]
        self.version += bool(expired)
        return expired

    def get_service(self, name: ServiceName) -> ServiceSpec | None:
        """Return the configuration of a service, None if there is none."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)

    def get_server(self, name: ServerName) -> ServerEntry | None:
        """Return a server's registration, None if there is none."""
        registration = self._servers.get(name)
        return None if registration is None else registration.server

    def is_cold(self, name: ServerName, now: MonotonicSeconds) -> bool:
        """Return whether a server's requests are limited to the warm-up rate."""
        registration = self._servers.get(name)
        return registration is not None and now < registration.cold_until

    def extend_warm_up(
        self, name: ServerName, seconds: float, now: MonotonicSeconds
    ) -> None:
        """Extend the warm-up of a server that reported how long it stays cold."""
        registration = self._servers.get(name)
        if registration is not None:
            registration.cold_until = max(registration.cold_until, now + seconds)

    def record_rate_limit(
        self,
        name: ServerName,
        rate_limit: float,
        sent_at: MonotonicSeconds,
        now: MonotonicSeconds,
    ) -> float | None:
        """Record the rate limit that a response of a server states.

        Responses can overtake each other, so a limit ends only with the response to a
        request that was sent after the limit was last reported.

        Parameters
        ----------
        rate_limit : float
            Requests per second, `UNLIMITED_RATE` if the response states no limit.
        sent_at : float
            Local time at which the request was sent.
        now : float
            Local time.

        Returns
        -------
        float or None
            The former limit if it changed.
        """
        registration = self._servers.get(name)
        if registration is None:
            return None
        if rate_limit < UNLIMITED_RATE:
            registration.rate_limit_at = now
        elif sent_at < registration.rate_limit_at:
            return None
        former = registration.rate_limit
        registration.rate_limit = rate_limit
        return None if rate_limit == former else former

    def get_rate_limit(self, name: ServerName) -> float:
        """Return the requests per second that a server takes from all instances."""
        registration = self._servers.get(name)
        return UNLIMITED_RATE if registration is None else registration.rate_limit

    def get_max_rate(self, name: ServerName, now: MonotonicSeconds) -> float:
        """Return the requests per second that a server may get from all instances.

        A cold server and one that states a rate limit have a bound; it is
        `UNLIMITED_RATE` for others.
        """
        registration = self._servers.get(name)
        if registration is None:
            return UNLIMITED_RATE
        rate = registration.rate_limit
        if now < registration.cold_until:
            spec = self.get_service(registration.server.service)
            if spec is not None:
                rate = min(rate, spec.warm_up_rate)
        return max(rate, _MIN_RATE)

    def list_rate_limits(self) -> dict[ServerName, float]:
        """Return the rate limits in requests per second that servers have stated."""
        return {
            name: registration.rate_limit
            for name, registration in self._servers.items()
            if registration.rate_limit < UNLIMITED_RATE
        }

    def record_leaving(self, name: ServerName) -> bool:
        """Record that a server states that it leaves; returns whether this is new."""
        registration = self._servers.get(name)
        if registration is None:
            return False
        return self.apply_leaving(LeavingServer(name, registration.server.started_ms))

    def apply_leaving(self, server: LeavingServer) -> bool:
        """Record that a server process leaves; returns whether this is new."""
        is_new = self._statements.record_leaving(server)
        self.version += is_new
        return is_new

    def list_leaving(self) -> list[LeavingServer]:
        """Return the server processes that have stated that they leave."""
        return self._statements.list_leaving()

    def states_leaving(self, name: ServerName) -> bool:
        """Return whether a server has stated in a response that it leaves."""
        registration = self._servers.get(name)
        return registration is not None and self._states_leaving(registration)

    def _states_leaving(self, registration: _Registration) -> bool:
        server = registration.server
        return self._statements.is_leaving(server.name, server.started_ms)

    def record_pause(
        self, name: ServerName, seconds: float, now: MonotonicSeconds
    ) -> bool:
        """Record that a server wants no requests of this instance for some seconds.

        Returns whether it was not pausing before.
        """
        registration = self._servers.get(name)
        if registration is None:
            return False
        started_ms = registration.server.started_ms
        return self._statements.record_pause(name, started_ms, seconds, now)

    def list_pauses(self, now: MonotonicSeconds) -> dict[ServerName, float]:
        """Return the servers that want no requests, and for how many seconds."""
        pauses = {}
        for name, started_ms in self._statements.iterate_paused():
            registration = self._servers.get(name)
            if registration is None or registration.server.started_ms != started_ms:
                continue
            left_s = self._statements.get_pause_left(name, started_ms, now)
            if left_s > 0.0:
                pauses[name] = left_s
        return pauses

    def remove_ended_pauses(self, now: MonotonicSeconds) -> list[ServerName]:
        """Forget the pauses that have ended; returns their servers."""
        return self._statements.remove_ended_pauses(now)

    def may_send(self, name: ServerName, now: MonotonicSeconds) -> bool:
        """Return whether nothing known here forbids sending a request to a server.

        The leader that chose the server may know less than this instance.
        """
        registration = self._servers.get(name)
        if registration is None:
            return True
        started_ms = registration.server.started_ms
        paused = self._statements.get_pause_left(name, started_ms, now) > 0.0
        return self.is_usable(name) and not paused

    def list_servers(self, service: ServiceName) -> list[ServerEntry]:
        """Return the servers of a service that may get new requests or keys."""
        return [
            registration.server
            for registration in self._servers.values()
            if registration.server.service == service
            and registration.removal_at is None
            and not registration.server.leaving
            and not self._states_leaving(registration)
            and registration.server.data_centre not in self.data_centres_out
        ]

    def is_usable(self, name: ServerName) -> bool:
        """Return whether a server may get new requests for keys that it owns."""
        registration = self._servers.get(name)
        return (
            registration is not None
            and not registration.server.leaving
            and not self._states_leaving(registration)
            and registration.server.data_centre not in self.data_centres_out
        )


def _describe(server: ServerEntry) -> ServerEntry:
    """Return a registration without the fields that change with each one."""
    return evolve(server, warm_up_left_s=0.0, sequence=0)
