"""Finds out that the servers of a whole data centre can't be reached from another one.

Each failed connection takes as long as its timeout, and spends a retry of the service.
After a few of them nobody has to try every other server of that data centre as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.types import DataCentreName, MonotonicSeconds, ServerName

__all__ = ["DataCentreReachability"]

#: Number of servers that must be unreachable, while none of the others has responded.
#: That several fail at once by chance is much rarer than a cut. A data centre with
#: fewer servers never counts as cut off.
_MIN_FAILED_SERVERS = 4
#: Time in seconds for which a failed connection counts.
_FAILURE_PERIOD_S = 2.0
#: Interval in seconds between attempts to reach a data centre that is cut off.
_PROBE_INTERVAL_S = 0.25


@define(eq=False)
class _Path:
    """Connections from one data centre to the servers of another."""

    failed_at: dict[ServerName, MonotonicSeconds] = field(factory=dict)
    cut: bool = False
    probe_at: MonotonicSeconds = float("-inf")


@define(eq=False)
class DataCentreReachability:
    """Tells which data centres can't be reached, by the outcomes of sends."""

    _paths: dict[tuple[DataCentreName, DataCentreName], _Path] = field(factory=dict)

    def record_response(self, source: DataCentreName, target: DataCentreName) -> None:
        """Record that a server of the target data centre responded."""
        self._paths.pop((source, target), None)

    def record_failure(
        self,
        source: DataCentreName,
        target: DataCentreName,
        server: ServerName,
        now: MonotonicSeconds,
    ) -> None:
        """Record that no connection to a server of the target could be opened."""
        path = self._paths.setdefault((source, target), _Path())
        path.failed_at[server] = now
        recent = [at for at in path.failed_at.values() if at > now - _FAILURE_PERIOD_S]
        if path.cut or len(recent) >= _MIN_FAILED_SERVERS:
            path.cut = True
            path.probe_at = now + _PROBE_INTERVAL_S

    def may_send(
        self, source: DataCentreName, target: DataCentreName, now: MonotonicSeconds
    ) -> bool:
        """Return whether a request may be sent to a server of the target.

        While the target is cut off, one request in an interval finds out whether it
        still is.
        """
        path = self._paths.get((source, target))
        if path is None or not path.cut:
            return True
        if now < path.probe_at:
            return False
        path.probe_at = now + _PROBE_INTERVAL_S
        return True

    def list_cut_off(
        self, source: DataCentreName, now: MonotonicSeconds
    ) -> list[DataCentreName]:
        """Return the data centres that are cut off and whose next probe is not due."""
        return [
            target
            for (start, target), path in self._paths.items()
            if start == source and path.cut and now < path.probe_at
        ]
