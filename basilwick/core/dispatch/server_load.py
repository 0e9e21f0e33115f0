"""What is known of the load and speed of one backend server."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.dispatch.messages import SendOutcome

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["ServerLoad", "WarmUpBucket"]

#: Weight of the newest sample in the moving averages.
_SMOOTHING = 0.15
#: Time in seconds over which the steady work time is averaged.
_STEADY_S = 3.0
#: Time in seconds over which the measured speed of a server that gets no requests is
#: forgotten, so that a former straggler is tried again.
_FORGET_S = 8.0
#: Time in seconds for which failures count.
_FAILURES_COUNT_S = 2.0
#: First and longest time in seconds for which an unreachable server gets nothing.
_FIRST_BLOCK_S = 0.25
_LONGEST_BLOCK_S = 2.0
#: Work that a failed request stands for, in units of the mean work.
_FAILURE_COST = 3.0
#: Share of the warm-up rate that may be sent at one moment.
_BURST_S = 0.1
_FAILURES = (SendOutcome.FAILED, SendOutcome.LOST, SendOutcome.SHED)
#: Time in seconds without an answer after which a server counts as not reached. A
#: request that had less time left says nothing.
_SILENT_AFTER_S = 0.5


@define
class WarmUpBucket:
    """Token bucket for a cold server."""

    tokens: float = 1.0
    updated_at: MonotonicSeconds = 0.0

    def try_take(self, rate: float, now: MonotonicSeconds) -> bool:
        """Take one request of a rate per second."""
        burst = max(1.0, rate * _BURST_S)
        self.tokens = min(burst, self.tokens + (now - self.updated_at) * rate)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@define(eq=False)
class ServerLoad:
    """Running requests, work time and failures of a server.

    Attributes
    ----------
    running : int
        Requests sent and not ended.
    work_s : float
        Moving average of the time to an answer, in seconds, that follows each change.
    steady_latency_s : float
        The same over seconds. Keys are placed by it, since a short slowness of a server
        is over before keys have moved.
    failure_share : float
        Moving average of the share of failed sends.
    blocked_until : float
        Local time before which the server gets nothing.
    """

    in_flight: int = 0
    work_s: float = 0.0
    steady_latency_s: float = 0.0
    failure_share: float = 0.0
    blocked_until: MonotonicSeconds = 0.0
    warm_up_bucket: WarmUpBucket = field(factory=WarmUpBucket)
    _measured_at: MonotonicSeconds = float("-inf")
    _answered_at: MonotonicSeconds = float("-inf")
    _blocks: int = 0

    def estimate_latency(
        self, typical_latency_s: float, now: MonotonicSeconds
    ) -> float:
        """Return the expected time of a request in seconds."""
        if not self.work_s:
            return typical_latency_s
        weight = exp((self._measured_at - now) / _FORGET_S)
        return typical_latency_s + weight * (self.work_s - typical_latency_s)

    def score(
        self, typical_latency_s: float, slots: int, now: MonotonicSeconds
    ) -> float:
        """Return the cost of sending here, in seconds; the least one is best."""
        cost = self.estimate_latency(typical_latency_s, now)
        cost *= 1.0 + 0.25 * self.in_flight / max(1, slots)
        if now - self._measured_at <= _FAILURES_COUNT_S:
            cost += self.failure_share * _FAILURE_COST * typical_latency_s
        return cost

    def finish(
        self, outcome: SendOutcome, latency_s: float, now: MonotonicSeconds
    ) -> None:
        """Free a slot and learn from the outcome."""
        self.in_flight = max(0, self.in_flight - 1)
        silent = outcome is SendOutcome.TIMEOUT and self._was_silent(latency_s, now)
        no_contact = silent or outcome is SendOutcome.UNREACHABLE
        if outcome is SendOutcome.TIMEOUT and not silent:
            outcome = SendOutcome.WITHDRAWN
        if outcome is SendOutcome.WITHDRAWN:
            return
        failed = outcome in _FAILURES or no_contact
        self.failure_share += _SMOOTHING * (failed - self.failure_share)
        self._measured_at = now
        if no_contact:
            self._block(now)
        elif outcome is SendOutcome.OK:
            self._blocks = 0
            self._measure_work(latency_s, now)

    def _was_silent(self, latency_s: float, now: MonotonicSeconds) -> bool:
        """Return whether a server answered nothing while a request waited for it."""
        return latency_s >= _SILENT_AFTER_S and self._answered_at < now - latency_s

    def _measure_work(self, latency_s: float, now: MonotonicSeconds) -> None:
        if not self.work_s:
            self.work_s = self.steady_latency_s = latency_s
        passed_s = now - self._answered_at
        self._answered_at = now
        self.work_s += _SMOOTHING * (latency_s - self.work_s)
        weight = min(_SMOOTHING, 1.0 - exp(-passed_s / _STEADY_S))
        self.steady_latency_s += weight * (latency_s - self.steady_latency_s)

    def _block(self, now: MonotonicSeconds) -> None:
        if now < self.blocked_until:
            return
        self._blocks = min(self._blocks + 1, 8)
        pause_s = min(_LONGEST_BLOCK_S, _FIRST_BLOCK_S * 2 ** (self._blocks - 1))
        self.blocked_until = now + pause_s
