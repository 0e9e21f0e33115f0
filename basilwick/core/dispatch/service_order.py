"""Order in which waiting requests compete for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from basilwick.core.dispatch.ranked_queue import RankedQueue
    from basilwick.core.dispatch.service_shares import ServiceShares
    from basilwick.core.dispatch.wait_forecast import WaitForecaster
    from basilwick.core.dispatch.wait_queues import PendingRequest
    from basilwick.core.types import MonotonicSeconds

__all__ = ["ServiceOrder"]


@define(eq=False)
class ServiceOrder:
    """Selects the request that gets a slot among queues that compete for it."""

    _forecaster: WaitForecaster
    _shares: ServiceShares

    def select(
        self, queues: list[RankedQueue], now: MonotonicSeconds
    ) -> tuple[RankedQueue, PendingRequest]:
        """Return the request that is served next, and its queue.

        On-time requests go before late ones. An urgent late request goes before a less
        urgent on-time one only if its deadline would pass otherwise.
        """
        for queue in queues:
            due = self._shares.find_line_below_floor(queue, now)
            if due is not None:
                return queue, due.get_first()[1]
        on_time = [
            (line.priority, line.on_time[0][0], index, line.on_time[0][1])
            for index, queue in enumerate(queues)
            for line in queue.lines
            if line.on_time
        ]
        late = [
            (line.priority, line.late[0][0], index, line.late[0][1])
            for index, queue in enumerate(queues)
            for line in queue.lines
            if line.late
        ]
        chosen = min(on_time) if on_time else min(late)
        if on_time and late:
            first_late = min(late)
            if first_late[0] < chosen[0] and self._must_start(
                queues[first_late[2]], first_late[3], now
            ):
                chosen = first_late
        return queues[chosen[2]], chosen[3]

    def _must_start(
        self, queue: RankedQueue, pending: PendingRequest, now: MonotonicSeconds
    ) -> bool:
        """Return whether late requests of a priority can't give way any longer."""
        forecast = self._forecaster.forecast(queue, now)
        waiting = len(queue.get_line(pending.request.priority).late)
        rate = max(forecast.requests_per_s, 1.0)
        return now + waiting / rate + forecast.latency_s >= pending.deadline
