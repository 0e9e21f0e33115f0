"""Interval and transit delay of the leader's heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from basilwick.core.dispatch.messages import LeaderHeartbeat
    from basilwick.core.types import MonotonicSeconds

__all__ = ["MIN_HEARTBEAT_INTERVAL_S", "TransitDelay", "compute_heartbeat_interval"]

#: Shortest interval in seconds between the leader's heartbeats. The interval grows with
#: the number of linked instances, which limits the total rate of heartbeats.
MIN_HEARTBEAT_INTERVAL_S = 0.1
_MAX_HEARTBEATS_PER_S = 600.0
_MAX_HEARTBEAT_INTERVAL_S = 0.4


@define(eq=False)
class TransitDelay:
    """Time for which heartbeats of a link are held up on their way.

    The clocks of two instances differ, so only the time beyond that of the fastest
    heartbeat is known.
    """

    _shortest_s: float = float("inf")

    def estimate(
        self, heartbeat: LeaderHeartbeat, arrived_at: MonotonicSeconds
    ) -> float:
        """Return the delay in seconds beyond that of the fastest heartbeat."""
        if heartbeat.sent_at == 0.0:
            return 0.0
        offset_s = arrived_at - heartbeat.sent_at
        self._shortest_s = min(self._shortest_s, offset_s)
        return offset_s - self._shortest_s


def compute_heartbeat_interval(instance_count: int) -> float:
    """Return the interval in seconds between heartbeats to a number of instances."""
    return min(
        _MAX_HEARTBEAT_INTERVAL_S,
        max(MIN_HEARTBEAT_INTERVAL_S, instance_count / _MAX_HEARTBEATS_PER_S),
    )
