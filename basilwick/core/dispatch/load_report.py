"""Loads that servers state in their responses, and what they tell about later times."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from attrs import define, frozen

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["LoadReport", "StatedLoad", "make_load_report"]

#: Largest number of requests or slots that makes sense; a larger one is a fault.
_MAX_COUNT = 100_000
#: Bounds in percent of a slowdown that makes sense. Latencies are divided by it.
_MIN_SLOWDOWN_PERCENT = 10
_MAX_SLOWDOWN_PERCENT = 10_000
_PERCENT = 100
#: Time constant in seconds with which a stated figure gives way to its long-run mean.
#: Requests and slow spells last for some tenths of a second.
_FADE_PERIOD_S = 0.25
#: Age in seconds up to which a report counts for the number of requests sent at once.
#: An older one predates all requests that the server holds.
_FRESH_S = 0.8
#: Time constant in seconds of the long-run means. It spans many slow spells, so that
#: one of them hardly changes the mean.
_MEAN_PERIOD_S = 10.0
#: Largest weight of one report in the long-run means.
_MAX_WEIGHT = 0.15


@frozen
class LoadReport:
    """Load that a server stated in a response.

    Attributes
    ----------
    running, waiting : int
        Requests that the server runs and that wait there, from all instances.
    slots : int
        Requests that the server runs at once.
    slowdown : float or None
        How long work takes at the moment, 1 as usual; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def held(self) -> int:
        """Requests that run or wait at the server."""
        return self.running + self.waiting

    @property
    def slowdown_percent(self) -> int:
        """Slowdown in percent, 0 if not stated."""
        return 0 if self.slowdown is None else round(self.slowdown * _PERCENT)


def make_load_report(
    running: int, waiting: int, slots: int, slowdown_percent: int = 0
) -> LoadReport | None:
    """Return the report of stated figures, None if a count makes no sense.

    A slowdown that makes no sense counts as not stated.
    """
    if not (0 <= running <= _MAX_COUNT and 0 <= waiting <= _MAX_COUNT):
        return None
    if not 1 <= slots <= _MAX_COUNT:
        return None
    if _MIN_SLOWDOWN_PERCENT <= slowdown_percent <= _MAX_SLOWDOWN_PERCENT:
        return LoadReport(running, waiting, slots, slowdown_percent / _PERCENT)
    return LoadReport(running, waiting, slots)


@define(eq=False)
class StatedLoad:
    """Newest load report of a server and the means of earlier ones.

    Attributes
    ----------
    report : LoadReport or None
        Newest report, None before the first one.
    mean_slowdown : float
        Long-run mean of the stated slowdowns.
    mean_utilization : float
        Long-run mean of the requests that the server held per slot.
    states_slowdown : bool
        Whether the server has stated a slowdown.
    """

    report: LoadReport | None = None
    mean_slowdown: float = 1.0
    mean_utilization: float = 0.0
    states_slowdown: bool = False
    _reported_at: MonotonicSeconds = float("-inf")
    _slowdown: float = 1.0
    #: Requests of other origin as of the newest report, the smaller number of the two
    #: newest reports, and the long-run mean.
    _others: float = 0.0
    _confirmed_others: float = 0.0
    _mean_others: float = 0.0
    #: Whether the figures may count the request that the response belongs to. A server
    #: that has stated no request at all doesn't count it.
    _counts_answered: bool = True

    def record(
        self, report: LoadReport, known: int, ran: bool, now: MonotonicSeconds
    ) -> None:
        """Record the report of a response.

        Parameters
        ----------
        known : int
            Requests that this dispatcher has assigned to the server and that have not
            ended, without the one that the response belongs to.
        ran : bool
            Whether the server ran the request that the response belongs to.
        """
        if ran and not report.held:
            self._counts_answered = False
        answered = ran and self._counts_answered
        others = float(max(0, report.held - known - answered))
        # A response overtaken by another one overstates the others for a moment.
        was_recent = now - self._reported_at <= _FRESH_S
        self._confirmed_others = min(others, self._others) if was_recent else others
        elapsed_s = max(0.0, now - self._reported_at)
        weight = min(_MAX_WEIGHT, 1.0 - exp(-elapsed_s / _MEAN_PERIOD_S))
        self._others = others
        self._mean_others += weight * (others - self._mean_others)
        utilization = report.held / report.slots
        self.mean_utilization += weight * (utilization - self.mean_utilization)
        if report.slowdown is not None:
            self.states_slowdown = True
            self._slowdown = report.slowdown
            self.mean_slowdown += weight * (report.slowdown - self.mean_slowdown)
        self.report = report
        self._reported_at = now

    def get_age_s(self, now: MonotonicSeconds) -> float:
        """Return the age of the newest report in seconds, infinite without one."""
        return now - self._reported_at

    def is_fresh(self, now: MonotonicSeconds) -> bool:
        """Return whether the newest report tells about the server's present load."""
        return now - self._reported_at <= _FRESH_S

    def estimate_slowdown(self, now: MonotonicSeconds) -> float:
        """Return the slowdown expected now, which returns to its mean with age."""
        weight = exp((self._reported_at - now) / _FADE_PERIOD_S)
        return self.mean_slowdown + weight * (self._slowdown - self.mean_slowdown)

    def estimate_others(self, now: MonotonicSeconds) -> float:
        """Return the number of requests of other origin that are expected now."""
        weight = exp((self._reported_at - now) / _FADE_PERIOD_S)
        return self._mean_others + weight * (self._others - self._mean_others)

    def estimate_confirmed_others(self, now: MonotonicSeconds) -> float:
        """Return the number of requests of other origin that two reports agree on.

        It fades to 0, so that a server is tried again whatever it stated.
        """
        if not self._confirmed_others:
            return 0.0
        return self._confirmed_others * exp((self._reported_at - now) / _FADE_PERIOD_S)
