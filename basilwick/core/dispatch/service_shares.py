"""Shares of the priorities of a service in what is served, and their floor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.dispatch.moving_rate import MovingRate

if TYPE_CHECKING:
    from basilwick.core.dispatch.ranked_queue import PriorityLine, RankedQueue
    from basilwick.core.types import MonotonicSeconds, ServiceName

__all__ = ["DEFAULT_PRIORITY_FLOOR", "ServiceShares"]

#: Default share of the slots that each priority gets while it has requests.
DEFAULT_PRIORITY_FLOOR = 0.1
#: Time constant in seconds of the rates that the shares are computed from. It is longer
#: than a request waits, so that what was offered and what was served match.
_RATE_PERIOD_S = 3.0
#: Factor by which the share of a priority may exceed its floor while the floor is still
#: expected to serve what waits. The share varies around the floor once it is in use.
_FLOOR_TOLERANCE = 1.5
#: Time in seconds for which it is kept which priorities the floors serve. Their shares
#: change by less than a percent of their value in this time.
_ENTITLED_AGE_S = 0.02


def _make_rate() -> MovingRate:
    return MovingRate(_RATE_PERIOD_S)


@define(eq=False)
class _PriorityRates:
    """Requests per second of one priority of a service."""

    offered: MovingRate = field(factory=_make_rate)
    served: MovingRate = field(factory=_make_rate)
    #: Requests with a key that were accepted as on time.
    keyed: MovingRate = field(factory=_make_rate)

    def get_served_ratio(self, now: MonotonicSeconds) -> float:
        offered = self.offered.get(now)
        return min(1.0, self.served.get(now) / offered) if offered else 1.0


@define(eq=False)
class _Entitled:
    """Priorities of a service that its floors serve."""

    found_at: MonotonicSeconds
    below_floor: set[int] = field(factory=set)
    near_floor: set[int] = field(factory=set)


@define(eq=False)
class ServiceShares:
    """Tells when a priority is served by its floor.

    A priority uses its floor only while its share of what the service runs is below the
    floor, and while it is served less often, in proportion to what its callers ask for,
    than each more urgent one of the service.

    Parameters
    ----------
    floor : float
        Share of the slots that each priority gets while it has requests.
    """

    floor: float = DEFAULT_PRIORITY_FLOOR
    _services: dict[ServiceName, dict[int, _PriorityRates]] = field(
        init=False, factory=dict
    )
    _entitled: dict[ServiceName, _Entitled] = field(init=False, factory=dict)

    def record_offered(
        self, service: ServiceName, priority: int, now: MonotonicSeconds
    ) -> None:
        """Record the first dispatch of a caller's request."""
        self._get_rates(service, priority).offered.record(now)

    def record_served(
        self, service: ServiceName, priority: int, now: MonotonicSeconds
    ) -> None:
        """Record that a request was assigned to a server."""
        self._get_rates(service, priority).served.record(now)

    def record_keyed(
        self, service: ServiceName, priority: int, now: MonotonicSeconds
    ) -> None:
        """Record that a request with a key was accepted as on time."""
        self._get_rates(service, priority).keyed.record(now)

    def get_keyed_arrivals(
        self, service: ServiceName, priority: int, late: bool, now: MonotonicSeconds
    ) -> float:
        """Return the accepted requests with a key per second that go before another.

        They compete with the requests that any server of the service may run.
        """
        return sum(
            rates.keyed.get(now)
            for other, rates in self._services.get(service, {}).items()
            if other < priority or (late and other == priority)
        )

    def may_use_floor(
        self, service: ServiceName, priority: int, now: MonotonicSeconds
    ) -> bool:
        """Return whether a priority may be served before more urgent ones."""
        return priority in self._get_entitled(service, now).below_floor

    def expects_floor(
        self, service: ServiceName, priority: int, now: MonotonicSeconds
    ) -> bool:
        """Return whether the floor of a priority is in use or about to be."""
        return priority in self._get_entitled(service, now).near_floor

    def find_line_below_floor(
        self, queue: RankedQueue, now: MonotonicSeconds
    ) -> PriorityLine | None:
        """Return the waiting priority of a queue that is below its floor, if any."""
        waiting = [line for line in queue.lines if line.size]
        for line in waiting[1:]:
            if self.may_use_floor(queue.service, line.priority, now):
                return line
        return None

    def _get_entitled(self, service: ServiceName, now: MonotonicSeconds) -> _Entitled:
        entitled = self._entitled.get(service)
        if entitled is None or not 0.0 <= now - entitled.found_at < _ENTITLED_AGE_S:
            entitled = self._entitled[service] = self._find_entitled(service, now)
        return entitled

    def _find_entitled(self, service: ServiceName, now: MonotonicSeconds) -> _Entitled:
        """Find the priorities with a small share and no better ratio than others."""
        rates = self._services.get(service, {})
        served = {priority: rates[priority].served.get(now) for priority in rates}
        floor_per_s = self.floor * sum(served.values())
        entitled = _Entitled(now)
        lowest_ratio = None
        for priority in sorted(rates):
            ratio = rates[priority].get_served_ratio(now)
            if lowest_ratio is not None and ratio <= lowest_ratio:
                if served[priority] < floor_per_s:
                    entitled.below_floor.add(priority)
                if served[priority] < _FLOOR_TOLERANCE * floor_per_s:
                    entitled.near_floor.add(priority)
            lowest_ratio = ratio if lowest_ratio is None else min(lowest_ratio, ratio)
        return entitled

    def _get_rates(self, service: ServiceName, priority: int) -> _PriorityRates:
        return self._services.setdefault(service, {}).setdefault(
            priority, _PriorityRates()
        )
