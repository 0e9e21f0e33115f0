"""Routing table, and the distribution of a route's requests to its services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.dispatch.site import Route, SiteConfiguration
    from basilwick.core.types import ServiceName

__all__ = ["RouteTable", "WeightedRoundRobin"]


@define
class WeightedRoundRobin:
    """Distributes the requests of a route to its services by their weights.

    Uses smooth weighted round robin: after any number of requests, each service is
    within one request of its share.
    """

    route: Route
    _current_weights: list[float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._current_weights = [0.0] * len(self.route.targets)

    def choose(self) -> ServiceName:
        """Return the service of the next request."""
        targets = self.route.targets
        if len(targets) == 1:
            return targets[0].service
        total = 0.0
        for index, target in enumerate(targets):
            self._current_weights[index] += target.weight
            total += target.weight
        best = max(range(len(targets)), key=self._current_weights.__getitem__)
        self._current_weights[best] -= total
        return targets[best].service


@define(eq=False)
class RouteTable:
    """Routing table of one configuration version, by host and path prefix."""

    version: int = -1
    _routes_by_host: dict[str, dict[str, Route]] = field(factory=dict)
    #: Round robin of each route by the route's name.
    _balancers: dict[str, WeightedRoundRobin] = field(factory=dict)

    def load(self, configuration: SiteConfiguration) -> None:
        """Replace all routes; unchanged routes keep the state of their round robin."""
        self.version = configuration.version
        self._routes_by_host = {}
        balancers = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route
            balancer = self._balancers.get(route.name)
            if balancer is None or balancer.route != route:
                balancer = WeightedRoundRobin(route)
            balancers[route.name] = balancer
        self._balancers = balancers

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix that matches, None if none does.

        Parameters
        ----------
        host : str
            Value of the Host header field; a port is ignored.
        target : str
            Request target: the path, with or without a query.
        """
        routes_by_prefix = self._routes_by_host.get(host.partition(":")[0].lower())
        if routes_by_prefix is None:
            return None
        path = target.partition("?")[0]
        # Prefixes end with a slash, so the path is only cut after a slash.
        end = path.rfind("/")
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def choose_service(self, route: Route) -> ServiceName:
        """Return the service of the next request of a route."""
        return self._balancers[route.name].choose()
