"""Limits the requests that are in flight to a server, so that its slots stay in use.

A slot that becomes free stays idle until the next request arrives, which takes the way
of the response, of the report to the dispatcher, of its decision and of the request. If
a request already waits at the server, the slot is in use again at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from basilwick.core.dispatch.load_report import LoadReport

__all__ = ["ConcurrencyLimit"]

#: Change of the limit for one response.
_STEP = 0.25
#: Number of waiting requests that a response may state without lowering the limit. A
#: longer queue keeps no more slots in use, and its order can't be changed any more.
_MAX_WAITING = 1


@define(eq=False)
class ConcurrencyLimit:
    """Number of requests beyond its slots that may be in flight to a server.

    It grows while responses of a fully used server state that none waits there, and
    shrinks while they state that several do. A server that states no load gets no more
    requests than it has slots.
    """

    _extra: float = 0.0

    @property
    def extra(self) -> int:
        """Requests beyond the slots that may be in flight."""
        return int(self._extra)

    def record(self, report: LoadReport, in_flight: int) -> None:
        """Adjust the limit by the load that a response states.

        Parameters
        ----------
        in_flight : int
            Requests in flight to the server, with the one that was answered.
        """
        if report.waiting > _MAX_WAITING:
            self._extra = max(0.0, self._extra - _STEP)
        elif not report.waiting and in_flight >= report.slots + self.extra:
            self._extra = min(float(report.slots), self._extra + _STEP)
