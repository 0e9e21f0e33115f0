"""Tells refused callers when to return, and recognizes those that do."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from attrs import define, field

if TYPE_CHECKING:
    from random import Random

    from basilwick.core.dispatch.ranked_queue import PriorityLine
    from basilwick.core.dispatch.wait_queues import PendingRequest
    from basilwick.core.types import MonotonicSeconds, ServiceName

__all__ = ["ReturnTimes"]

#: Callers honour a retry-after time up to this part of the time that they have left.
_USABLE_PART = 1.0 / 3.0
#: Shortest retry-after time in seconds.
_MIN_RETRY_AFTER_S = 0.05
#: Where callers can't wait until there is room, their returns are spread over this last
#: part of the time for which they may wait.
_LATE_SPREAD = 0.4
#: Jitter of the other retry-after times.
_JITTER = 0.1
#: Width in seconds of the intervals in which deadlines count as equal. A caller's
#: deadline is the same for its attempts, but for the delays on their way here.
_DEADLINE_WIDTH_S = 0.05
#: Time in seconds by which a caller may return too early.
_EARLY_TOLERANCE_S = 0.02
#: Refusals with the same deadline within this time in seconds are of different callers;
#: a later one before the told time repeats an earlier one.
_SAME_ARRIVAL_S = 0.1

_Key: TypeAlias = "tuple[ServiceName, int, int]"


@define
class _Return:
    refused_at: MonotonicSeconds
    due_at: MonotonicSeconds


@define(eq=False)
class ReturnTimes:
    """Spreads the returns of refused callers over the time when they find room.

    Attempts have ids of their own, so a caller that returns is recognized by its
    service, its priority and its deadline.

    Parameters
    ----------
    rng : random.Random
        Source of the spread.
    """

    _rng: Random
    #: Expected returns by service, priority and interval of the deadline.
    _returns: dict[_Key, list[_Return]] = field(init=False, factory=dict)
    _expired_at: MonotonicSeconds = float("-inf")

    def choose(
        self,
        pending: PendingRequest,
        line: PriorityLine,
        room_in_s: float,
        requests_per_s: float,
        now: MonotonicSeconds,
    ) -> float:
        """Return the seconds after which a refused caller should return.

        Parameters
        ----------
        line : PriorityLine
            Requests of the same queue and priority.
        room_in_s : float
            Seconds until requests of that priority are expected to find room.
        requests_per_s : float
            Requests of that priority per second that find room then.
        """
        usable_s = max(0.0, _USABLE_PART * (pending.deadline - now))
        next_at = max(line.next_return_at, now + room_in_s)
        wait_s = next_at - now
        if wait_s <= usable_s:
            line.next_return_at = next_at + 1.0 / max(requests_per_s, 1.0)
            wait_s *= 1.0 + _JITTER * (self._rng.random() - 0.5)
            wait_s = min(wait_s, usable_s)
        else:
            wait_s = usable_s * (1.0 - _LATE_SPREAD * self._rng.random())
        wait_s = max(_MIN_RETRY_AFTER_S, wait_s)
        self._expect(pending, wait_s, now)
        return wait_s

    def claim_return(self, pending: PendingRequest, now: MonotonicSeconds) -> bool:
        """Return whether a request probably is a refused caller's return."""
        for key in self._list_keys(pending):
            returns = self._returns.get(key, [])
            for index, expected in enumerate(returns):
                if expected.due_at - _EARLY_TOLERANCE_S <= now:
                    del returns[index]
                    return True
        return False

    def _remove_expired(self, now: MonotonicSeconds) -> None:
        """Discard the expected returns of callers whose deadline has passed."""
        if now - self._expired_at < 1.0:
            return
        self._expired_at = now
        first = int(now / _DEADLINE_WIDTH_S) - 1
        self._returns = {
            key: returns
            for key, returns in self._returns.items()
            if key[2] >= first and returns
        }

    def _expect(
        self, pending: PendingRequest, wait_s: float, now: MonotonicSeconds
    ) -> None:
        """Expect a caller's return, unless it repeats before it was told to."""
        for key in self._list_keys(pending):
            for expected in self._returns.get(key, ()):
                if (
                    expected.refused_at + _SAME_ARRIVAL_S
                    < now
                    < expected.due_at - _EARLY_TOLERANCE_S
                ):
                    return
        self._remove_expired(now)
        key = self._list_keys(pending)[0]
        self._returns.setdefault(key, []).append(_Return(now, now + wait_s))

    def _list_keys(self, pending: PendingRequest) -> list[_Key]:
        request = pending.request
        interval = int(pending.deadline / _DEADLINE_WIDTH_S)
        return [
            (request.service, request.priority, interval + offset)
            for offset in (0, -1, 1)
        ]
