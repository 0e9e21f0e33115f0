"""Decides which requests an instance accepts while it stops."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["StopAdmission"]


@frozen
class StopAdmission:
    """Accepts the requests whose responses are delivered before the instance ends.

    A small response is delivered as soon as its server has sent it, whatever the pace
    of the caller. A large one may take until the request's deadline.

    Attributes
    ----------
    ends_at : float
        Local time at which the instance ends.
    refuses_small_from : float
        Local time from which requests with small responses are refused as well if
        their deadlines are later than the end.
    """

    ends_at: MonotonicSeconds
    refuses_small_from: MonotonicSeconds

    def accepts(
        self, now: MonotonicSeconds, deadline: MonotonicSeconds, large_response: bool
    ) -> bool:
        """Return whether a request that arrives now is accepted.

        Parameters
        ----------
        deadline : float
            Local time after which the response is useless to the caller.
        large_response : bool
            Whether the response may exceed what the kernel buffers for a caller.
        """
        if deadline <= self.ends_at:
            return True
        return not large_response and now < self.refuses_small_from
