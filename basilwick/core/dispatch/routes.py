"""Selection of the route and the service of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.dispatch.site import Route, SiteConfiguration
    from basilwick.core.types import ServiceName

__all__ = ["RouteTable", "WeightedRoundRobin"]


@define
class WeightedRoundRobin:
    """Deals requests to services so that each share follows its weight closely.

    Smooth weighted round robin: after any number of requests each service is within
    one request of its share.
    """

    _route: Route
    _credits: list[float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._credits = [0.0] * len(self._route.targets)

    def choose(self) -> ServiceName:
        """Return the service of the next request."""
        targets = self._route.targets
        if len(targets) == 1:
            return targets[0].service
        total = 0.0
        for index, target in enumerate(targets):
            self._credits[index] += target.weight
            total += target.weight
        best = max(range(len(targets)), key=self._credits.__getitem__)
        self._credits[best] -= total
        return targets[best].service


@define(eq=False)
class RouteTable:
    """Routes of one configuration version, by host and path prefix."""

    version: int = -1
    _hosts: dict[str, dict[str, Route]] = field(factory=dict)
    _turns: dict[Route, WeightedRoundRobin] = field(factory=dict)

    def load(self, configuration: SiteConfiguration) -> None:
        """Replace all routes; unchanged routes keep their turns."""
        self.version = configuration.version
        self._hosts = {}
        turns = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
            turns[route] = self._turns.get(route) or WeightedRoundRobin(route)
        self._turns = turns

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        Parameters
        ----------
        host : str
            Host header field; a port is ignored.
        target : str
            Path, with or without a query.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        # Prefixes end with a slash, so only the slashes of the path can match.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def choose_service(self, route: Route) -> ServiceName:
        """Return the service of the next request of a route."""
        return self._turns[route].choose()
