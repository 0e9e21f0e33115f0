"""Load and latency of one backend server, as measured from its responses."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.dispatch.concurrency_limit import ConcurrencyLimit
from basilwick.core.dispatch.load_report import StatedLoad
from basilwick.core.dispatch.messages import SendOutcome
from basilwick.core.dispatch.token_bucket import TokenBucket

if TYPE_CHECKING:
    from basilwick.core.dispatch.load_report import LoadReport
    from basilwick.core.types import MonotonicSeconds

__all__ = ["ServerLoad"]

#: Weight of the newest sample in the moving averages.
_SAMPLE_WEIGHT = 0.15
#: Time constant in seconds of the steady latency.
_STEADY_PERIOD_S = 3.0
#: Time constant in seconds with which the latency expected of a server without requests
#: returns to the typical one, so that a formerly slow server is tried again.
_LATENCY_DECAY_S = 8.0
#: Time in seconds after the newest response or failure for which failures add to the
#: cost.
_FAILURE_WINDOW_S = 2.0
#: First and longest time in seconds for which an unreachable server gets no requests.
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
#: Cost of a failed request, in units of the service's typical latency.
_FAILURE_COST_FACTOR = 3.0
_FAILURES = (SendOutcome.FAILED, SendOutcome.LOST, SendOutcome.SHED)
#: Time in seconds without any response after which a server counts as unreachable. A
#: request that timed out sooner doesn't tell whether its server can be reached.
_UNREACHABLE_AFTER_S = 0.5


@define(eq=False)
class ServerLoad:
    """Requests in flight, latency and failures of a server.

    Attributes
    ----------
    in_flight : int
        Requests that were assigned to the server and have not ended.
    mean_latency_s : float
        Moving average of the latency in seconds that follows changes quickly.
    steady_latency_s : float
        Moving average over a few seconds. Keys are placed by it, since a server that is
        slow for a short time has recovered before its keys have moved.
    unloaded_latency_s : float
        Moving average over a few seconds of the latency divided by the slowdown that
        the server stated with it. 0 before the first response; equal to the steady
        latency if no slowdown is stated.
    failure_ratio : float
        Moving average of the share of requests that failed.
    blocked_until : float
        Local time before which the server gets no requests.
    rate_bucket : TokenBucket
        Limits requests while the server is cold or states a rate limit.
    stated : StatedLoad
        What the server states about its load.
    concurrency_limit : ConcurrencyLimit
        Limits the requests in flight beyond the slots of the server.
    """

    in_flight: int = 0
    mean_latency_s: float = 0.0
    steady_latency_s: float = 0.0
    unloaded_latency_s: float = 0.0
    failure_ratio: float = 0.0
    blocked_until: MonotonicSeconds = 0.0
    rate_bucket: TokenBucket = field(factory=TokenBucket)
    stated: StatedLoad = field(factory=StatedLoad)
    concurrency_limit: ConcurrencyLimit = field(factory=ConcurrencyLimit)
    _sampled_at: MonotonicSeconds = float("-inf")
    _responded_at: MonotonicSeconds = float("-inf")
    _unloaded_at: MonotonicSeconds = float("-inf")
    _backoffs: int = 0

    def estimate_latency(
        self, typical_latency_s: float, now: MonotonicSeconds
    ) -> float:
        """Return the expected latency of a request in seconds.

        Parameters
        ----------
        typical_latency_s : float
            Mean latency of the service in seconds.
        """
        if not self.mean_latency_s:
            return typical_latency_s
        weight = exp((self._sampled_at - now) / _LATENCY_DECAY_S)
        return typical_latency_s + weight * (self.mean_latency_s - typical_latency_s)

    def estimate_stated_latency(
        self, typical_latency_s: float, now: MonotonicSeconds
    ) -> float:
        """Return the expected latency in seconds, by the slowdown that is stated.

        Parameters
        ----------
        typical_latency_s : float
            Mean latency of the service in seconds.
        """
        if not self.stated.states_slowdown or not self.unloaded_latency_s:
            return self.estimate_latency(typical_latency_s, now)
        latency_s = self.unloaded_latency_s * self.stated.estimate_slowdown(now)
        weight = exp((self._unloaded_at - now) / _LATENCY_DECAY_S)
        return typical_latency_s + weight * (latency_s - typical_latency_s)

    def estimate_mean_latency(self, typical_latency_s: float) -> float:
        """Return the latency in seconds to expect at the usual slowdown."""
        latency_s = self.unloaded_latency_s * self.stated.mean_slowdown
        return latency_s or typical_latency_s

    def estimate_stated_cost(
        self,
        typical_latency_s: float,
        slots: int,
        others: float,
        now: MonotonicSeconds,
    ) -> float:
        """Return the cost in seconds of sending a request, by the stated load.

        Requests that the server has no slot for wait there, so they add their time.

        Parameters
        ----------
        others : float
            Requests of other origin that the server holds.
        """
        cost = self.estimate_stated_latency(typical_latency_s, now)
        load = self.in_flight + others
        excess = max(0.0, load + 1.0 - slots)
        cost *= 1.0 + (0.25 * load + excess) / max(1, slots)
        if now - self._sampled_at <= _FAILURE_WINDOW_S:
            cost += self.failure_ratio * _FAILURE_COST_FACTOR * typical_latency_s
        return cost

    def record_report(
        self, report: LoadReport, ran: bool, now: MonotonicSeconds
    ) -> None:
        """Record a stated load; the request of its response is no longer in flight.

        Parameters
        ----------
        ran : bool
            Whether the server ran that request.
        """
        self.stated.record(report, self.in_flight, ran, now)

    def estimate_cost(
        self, typical_latency_s: float, slots: int, now: MonotonicSeconds
    ) -> float:
        """Return the cost in seconds of sending a request to this server."""
        cost = self.estimate_latency(typical_latency_s, now)
        cost *= 1.0 + 0.25 * self.in_flight / max(1, slots)
        if now - self._sampled_at <= _FAILURE_WINDOW_S:
            cost += self.failure_ratio * _FAILURE_COST_FACTOR * typical_latency_s
        return cost

    def finish(
        self,
        outcome: SendOutcome,
        latency_s: float,
        now: MonotonicSeconds,
        report: LoadReport | None = None,
    ) -> None:
        """Free the slot of a request and update the averages by its outcome.

        Parameters
        ----------
        report : LoadReport, optional
            Load that the server stated in its response.
        """
        if report is not None:
            self.concurrency_limit.record(report, self.in_flight)
        self.in_flight = max(0, self.in_flight - 1)
        if report is not None:
            self.record_report(report, outcome is not SendOutcome.SHED, now)
        if outcome is SendOutcome.UNREACHABLE:
            self.rate_bucket.give_back()
        unresponsive = outcome is SendOutcome.TIMEOUT and self._was_unresponsive(
            latency_s, now
        )
        unreachable = unresponsive or outcome is SendOutcome.UNREACHABLE
        if outcome is SendOutcome.TIMEOUT and not unresponsive:
            outcome = SendOutcome.WITHDRAWN
        if outcome is SendOutcome.WITHDRAWN:
            return
        failed = outcome in _FAILURES or unreachable
        self.failure_ratio += _SAMPLE_WEIGHT * (failed - self.failure_ratio)
        self._sampled_at = now
        if unreachable:
            self._back_off(now)
        elif outcome is SendOutcome.OK:
            self._backoffs = 0
            self._record_latency(latency_s, now)
            self._record_unloaded_latency(latency_s, report, now)

    def observe(
        self,
        outcome: SendOutcome,
        latency_s: float,
        now: MonotonicSeconds,
        report: LoadReport,
    ) -> None:
        """Record the load that a server stated to a request of another dispatcher."""
        self.record_report(report, outcome is not SendOutcome.SHED, now)
        if outcome is SendOutcome.OK:
            self._record_unloaded_latency(latency_s, report, now)

    def _was_unresponsive(self, latency_s: float, now: MonotonicSeconds) -> bool:
        """Return whether the server answered no request while this one waited."""
        return (
            latency_s >= _UNREACHABLE_AFTER_S and self._responded_at < now - latency_s
        )

    def _record_latency(self, latency_s: float, now: MonotonicSeconds) -> None:
        if not self.mean_latency_s:
            self.mean_latency_s = self.steady_latency_s = latency_s
        elapsed_s = now - self._responded_at
        self._responded_at = now
        self.mean_latency_s += _SAMPLE_WEIGHT * (latency_s - self.mean_latency_s)
        weight = min(_SAMPLE_WEIGHT, 1.0 - exp(-elapsed_s / _STEADY_PERIOD_S))
        self.steady_latency_s += weight * (latency_s - self.steady_latency_s)

    def _record_unloaded_latency(
        self, latency_s: float, report: LoadReport | None, now: MonotonicSeconds
    ) -> None:
        slowdown = None if report is None else report.slowdown
        unloaded_s = latency_s / (slowdown or 1.0)
        if not self.unloaded_latency_s:
            self.unloaded_latency_s = unloaded_s
        elapsed_s = now - self._unloaded_at
        self._unloaded_at = now
        weight = min(_SAMPLE_WEIGHT, 1.0 - exp(-elapsed_s / _STEADY_PERIOD_S))
        self.unloaded_latency_s += weight * (unloaded_s - self.unloaded_latency_s)

    def _back_off(self, now: MonotonicSeconds) -> None:
        if now < self.blocked_until:
            return
        self._backoffs = min(self._backoffs + 1, 8)
        backoff_s = min(_MAX_BACKOFF_S, _MIN_BACKOFF_S * 2 ** (self._backoffs - 1))
        self.blocked_until = now + backoff_s
