"""Expected size of an answer, which is not known when its server is chosen.

Answers load in which large answers cross between data centres although a server of the
caller's own has room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.dispatch.site import Route

__all__ = ["ResponseSizeEstimator"]

#: Bytes of an answer before the first one of a route was seen.
_USUAL_BYTES = 5_000
_LARGE_BYTES = 200_000
#: Weight of the newest answer in the moving average.
_SMOOTHING = 0.1


@define(eq=False)
class ResponseSizeEstimator:
    """Moving average of the bytes of each route's answers."""

    _bytes: dict[str, float] = field(factory=dict)

    def record(self, route: Route, size: int) -> None:
        """Note the bytes of an answer."""
        known = self._bytes.get(route.name)
        if known is None:
            self._bytes[route.name] = size
        else:
            self._bytes[route.name] = known + _SMOOTHING * (size - known)

    def estimate(self, route: Route) -> int:
        """Return the expected bytes of a route's next answer."""
        default = _LARGE_BYTES if route.large_responses else _USUAL_BYTES
        return round(self._bytes.get(route.name, default))

    def retain_routes(self, routes: tuple[Route, ...]) -> None:
        """Forget the routes that are no longer configured."""
        names = {route.name for route in routes}
        self._bytes = {n: size for n, size in self._bytes.items() if n in names}
