"""Expected sizes of responses, which are unknown when a server is selected.

They keep large responses from crossing between data centres while a server in the
caller's data centre has capacity, and tell which requests a stopping instance can
still answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.dispatch.site import Route

__all__ = ["ResponseSizeEstimator"]

#: Sizes in bytes assumed for a route's responses before its first response.
_DEFAULT_BYTES = 5_000
_DEFAULT_LARGE_BYTES = 200_000
#: Weight of the newest response in the moving average.
_SAMPLE_WEIGHT = 0.1


@define(eq=False)
class ResponseSizeEstimator:
    """Estimates the size of each route's responses by a moving average."""

    _mean_bytes: dict[str, float] = field(factory=dict)
    #: Names of the routes that have had a large response.
    _large_routes: set[str] = field(factory=set)

    def record(self, route: Route, size_bytes: int, streamed: bool = False) -> None:
        """Record the size of a response.

        Parameters
        ----------
        size_bytes : int
            Length of the body, 0 if it is unknown.
        streamed : bool, default=False
            Whether the body is too large to be buffered.
        """
        if streamed:
            self._large_routes.add(route.name)
        mean_bytes = self._mean_bytes.get(route.name)
        if mean_bytes is None:
            self._mean_bytes[route.name] = size_bytes
        else:
            self._mean_bytes[route.name] = mean_bytes + _SAMPLE_WEIGHT * (
                size_bytes - mean_bytes
            )

    def estimate(self, route: Route) -> int:
        """Return the expected size in bytes of a route's next response."""
        default = _DEFAULT_LARGE_BYTES if route.large_responses else _DEFAULT_BYTES
        return round(self._mean_bytes.get(route.name, default))

    def may_be_large(self, route: Route) -> bool:
        """Return whether a route's next response may be too large to be buffered."""
        return route.large_responses or route.name in self._large_routes

    def retain_routes(self, routes: tuple[Route, ...]) -> None:
        """Discard the averages of routes that are no longer configured."""
        names = {route.name for route in routes}
        self._mean_bytes = {
            n: size_bytes for n, size_bytes in self._mean_bytes.items() if n in names
        }
        self._large_routes &= names
