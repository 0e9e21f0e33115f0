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
        self,
        service: ServiceName,
        priority: int,
        now: MonotonicSeconds,
        tolerance: float = 1.0,
    ) -> bool:
        """Return whether a priority may be served before more urgent ones.

        Parameters
        ----------
        tolerance : float
            Factor by which its share may exceed the floor.
        """
        services = self._services.get(service, {})
        more_urgent = [rates for other, rates in services.items() if other < priority]
        if not more_urgent or priority not in services:
            return False
        served = sum(rates.served.get(now) for rates in services.values())
        own = services[priority]
        if own.served.get(now) >= tolerance * self.floor * served:
            return False
        ratio = own.get_served_ratio(now)
        return all(ratio <= rates.get_served_ratio(now) for rates in more_urgent)

    def find_due(
        self, queue: RankedQueue, now: MonotonicSeconds
    ) -> PriorityLine | None:
        """Return the waiting priority of a queue that is below its floor, if any."""
        waiting = [line for line in queue.lines if line.size]
        for line in waiting[1:]:
            if self.may_use_floor(queue.service, line.priority, now):
                return line
        return None

    def _get_rates(self, service: ServiceName, priority: int) -> _PriorityRates:
        return self._services.setdefault(service, {}).setdefault(
            priority, _PriorityRates()
        )
