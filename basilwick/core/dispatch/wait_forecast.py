"""Forecasts when the waiting requests of a queue reach a server."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from basilwick.core.dispatch.capacity import QueueCapacity
    from basilwick.core.dispatch.ranked_queue import RankedQueue
    from basilwick.core.dispatch.server_assigner import ServerAssigner
    from basilwick.core.dispatch.service_shares import ServiceShares
    from basilwick.core.types import MonotonicSeconds, ServiceName

__all__ = ["Competition", "WaitForecast", "WaitForecaster"]

#: Part of the difference between a server's present and steady latency that is expected
#: to last while a request waits. Slow spells usually end within such a wait.
_LASTING_EXCESS = 0.4
#: Expected remaining time of a request that has taken longer than expected, as a part
#: of the time that it has taken. What is overdue usually runs in a slow spell.
_OVERDUE_REMAINDER = 0.5
#: Standard deviations by which more callers may return than expected. Callers return
#: where requests were refused, so that nothing is idle if fewer requests wait there.
_RETURN_DEVIATIONS = 2.0
#: Time in seconds for which the capacity of all servers of a service is kept, since
#: each server is looked at to measure it.
_CAPACITY_AGE_S = 0.05


@frozen
class Competition:
    """Requests that will arrive and go before those of one priority.

    Attributes
    ----------
    arrivals_per_s : float
        Requests per second that go before them by their priority.
    returns_per_s : float
        Requests per second of their priority whose callers come back as told.
    floor_per_s : float
        Requests per second that are served nevertheless; 0 if none.
    """

    arrivals_per_s: float
    returns_per_s: float
    floor_per_s: float


@frozen
class WaitForecast:
    """Expected progress of a queue.

    Attributes
    ----------
    latency_s : float
        Expected latency in seconds of a request at a server.
    slots : int
        Requests that the reachable servers run concurrently.
    requests_per_s : float
        Requests per second that the servers can run.
    rate_limited : bool
        Whether the rate of a cold server or a stated rate limit reduces it.
    free_in_s : list of float
        Seconds until the slots become free, ascending; empty if only their number
        is known.
    available_in_s : float
        Seconds until the queue's owner may get requests again.
    """

    latency_s: float
    slots: int
    requests_per_s: float
    rate_limited: bool
    free_in_s: list[float]
    available_in_s: float = 0.0

    def get_wait(self, ahead: int) -> float:
        """Return the expected seconds until a request is sent.

        Parameters
        ----------
        ahead : int
            Waiting requests that go before it.
        """
        if not self.slots:
            return self.available_in_s + ahead * self.latency_s
        if self.free_in_s and not self.rate_limited:
            rounds, position = divmod(ahead, len(self.free_in_s))
            return self.free_in_s[position] + rounds * self.latency_s
        return (ahead + 1) / self.requests_per_s

    def is_sent_within(
        self,
        time_left_s: float,
        ahead: int,
        own_ahead: int,
        competition: Competition,
        deviations: float,
    ) -> bool:
        """Return whether a request is expected to be sent within some time.

        Parameters
        ----------
        ahead, own_ahead : int
            Waiting requests that go before it, and those of its priority among them.
        competition : Competition
            Requests that arrive meanwhile and go before it.
        deviations : float
            Standard deviations by which fewer of them may arrive than expected.
        """
        if time_left_s < 0.0:
            return False
        arriving = competition.arrivals_per_s * time_left_s
        arriving = max(0.0, arriving - deviations * sqrt(arriving))
        returning = competition.returns_per_s * time_left_s
        arriving += returning + _RETURN_DEVIATIONS * sqrt(returning)
        wait_s = self.get_wait(ahead)
        if self.slots:
            wait_s += arriving / self.requests_per_s
        if wait_s <= time_left_s:
            return True
        return own_ahead + 1 <= competition.floor_per_s * time_left_s


@define(eq=False)
class WaitForecaster:
    """Makes forecasts from the servers' latencies and the requests that they run."""

    _assigner: ServerAssigner
    _shares: ServiceShares
    _capacities: dict[ServiceName, tuple[MonotonicSeconds, QueueCapacity]] = field(
        init=False, factory=dict
    )

    def forecast(self, queue: RankedQueue, now: MonotonicSeconds) -> WaitForecast:
        """Return the expected progress of a queue."""
        latency_s = self.estimate_latency(queue, now)
        if queue.owner is None:
            capacity = self._measure_service(queue, now)
            free_in_s = []
            available_in_s = 0.0
        else:
            capacity = self._assigner.selector.measure_capacity(queue, latency_s, now)
            free_in_s = self._forecast_slots(queue, capacity.slots, latency_s, now)
            load = self._assigner.selector.get_load(queue.owner)
            available_in_s = max(0.0, load.blocked_until - now)
        return WaitForecast(
            latency_s,
            capacity.slots,
            capacity.requests_per_s,
            capacity.rate_limited,
            free_in_s,
            available_in_s,
        )

    def estimate_latency(self, queue: RankedQueue, now: MonotonicSeconds) -> float:
        """Return the time in seconds for which a waiting request will take its slot.

        A slow spell of a server counts only for the part that probably lasts. The
        delays of decisions and reports on links count too.
        """
        service = self._assigner.get_service(queue.service)
        steady_s = service.steady_latency_s or service.typical_latency_s
        if queue.owner is None:
            return steady_s + service.link_delay_s
        load = self._assigner.selector.get_load(queue.owner)
        present_s = load.estimate_stated_latency(steady_s, now)
        steady_s = load.estimate_mean_latency(steady_s)
        latency_s = steady_s + _LASTING_EXCESS * (present_s - steady_s)
        return latency_s + service.link_delay_s

    def measure_competition(
        self,
        queue: RankedQueue,
        shared: RankedQueue | None,
        priority: int,
        late: bool,
        forecast: WaitForecast,
        now: MonotonicSeconds,
    ) -> Competition:
        """Return what will arrive and go before waiting requests of a priority.

        Requests with and without a key compete for the slots of the same servers.

        Parameters
        ----------
        shared : RankedQueue or None
            Requests of the service that any server may run.
        late : bool
            Whether the waiting requests are late; those of the same priority that are
            on time go before them.
        """
        arrivals = queue.get_arrivals(priority, late, now)
        if queue.owner is None:
            arrivals += self._shares.get_keyed_arrivals(
                queue.service, priority, late, now
            )
        elif shared is not None and shared.size and forecast.slots:
            slots = max(1, self._measure_service(shared, now).slots)
            shared_arrivals = shared.get_arrivals(priority, late, now)
            arrivals += shared_arrivals * forecast.slots / slots
        for line in queue.lines:
            if line.priority > priority and self._shares.expects_floor(
                queue.service, line.priority, now
            ):
                floor_per_s = self._shares.floor * forecast.requests_per_s
                arrivals += min(line.served.get(now), floor_per_s)
        line = queue.get_line(priority)
        # Those of a priority are among the arrivals that go before its late requests.
        returns = 0.0 if late else line.returns.get(now)
        floor = 0.0
        if self._shares.expects_floor(queue.service, priority, now):
            floor = self._shares.floor * forecast.requests_per_s
            floor -= line.arrivals.get(now) if late else returns
        return Competition(arrivals, returns, max(0.0, floor))

    def _measure_service(
        self, queue: RankedQueue, now: MonotonicSeconds
    ) -> QueueCapacity:
        """Return the capacity of all servers of a queue's service."""
        measured_at, capacity = self._capacities.get(queue.service, (-1.0, None))
        if capacity is None or not 0.0 <= now - measured_at < _CAPACITY_AGE_S:
            latency_s = self.estimate_latency(queue, now)
            capacity = self._assigner.selector.measure_capacity(queue, latency_s, now)
            self._capacities[queue.service] = (now, capacity)
        return capacity

    def _forecast_slots(
        self,
        queue: RankedQueue,
        slots: int,
        latency_s: float,
        now: MonotonicSeconds,
    ) -> list[float]:
        """Return the seconds until the slots of an owner become free, ascending."""
        left_s = []
        for pending in self._assigner.list_running(queue.owner):
            elapsed_s = now - pending.assigned_at
            overdue_left_s = min(_OVERDUE_REMAINDER * elapsed_s, latency_s)
            left_s.append(max(latency_s - elapsed_s, overdue_left_s))
        left_s += [0.0] * (slots - len(left_s))
        left_s.sort()
        # With more requests than slots, the first ones to end free no slot.
        return left_s[len(left_s) - slots :]
