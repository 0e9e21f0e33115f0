"""Measured load of the keys of a partitioned service."""

from __future__ import annotations

from bisect import bisect_left
from math import exp, sqrt
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.types import MonotonicSeconds

__all__ = ["KeyLoad", "list_between"]

#: Time constants in seconds of two averages of a key's request rate: the long one
#: measures a steady load, the short one shows a change of the load early.
_LONG_WINDOW_S = 3.0
_SHORT_WINDOW_S = 0.6
#: Deviation of the short average from the long one, in standard deviations at a steady
#: load, above which the load counts as changed.
_CHANGE_SIGMAS = 3.0
#: Number of neighbouring keys whose common rate is measured as well.
_BLOCK_KEYS = 512
#: The same as `_CHANGE_SIGMAS` for a block. Missing a change of many keys costs more
#: than a move for a fluctuation.
_BLOCK_CHANGE_SIGMAS = 2.0
#: Requests per second below which a key is dropped from the measurement.
_MIN_RATE = 0.05


@define
class _KeyRate:
    """Exponential moving averages of the requests per second of one key."""

    long_average: float
    short_average: float
    updated_at: MonotonicSeconds

    def record(self, now: MonotonicSeconds) -> None:
        elapsed_s = now - self.updated_at
        self.long_average = (
            self.long_average * exp(-elapsed_s / _LONG_WINDOW_S) + 1.0 / _LONG_WINDOW_S
        )
        self.short_average = (
            self.short_average * exp(-elapsed_s / _SHORT_WINDOW_S)
            + 1.0 / _SHORT_WINDOW_S
        )
        self.updated_at = now

    def estimate(self, now: MonotonicSeconds, measured_s: float) -> float:
        """Return the present rate.

        Parameters
        ----------
        now : float
            Local time.
        measured_s : float
            Time in seconds since the first request of any key.
        """
        return self.estimate_with_change(now, measured_s)[0]

    def estimate_with_change(
        self,
        now: MonotonicSeconds,
        measured_s: float,
        change_sigmas: float = _CHANGE_SIGMAS,
    ) -> tuple[float, bool]:
        """Return the present rate, and whether it changed lately."""
        elapsed_s = now - self.updated_at
        long_average = (
            self.long_average
            * exp(-elapsed_s / _LONG_WINDOW_S)
            / _compute_window_coverage(measured_s, _LONG_WINDOW_S)
        )
        short_average = self.short_average * exp(-elapsed_s / _SHORT_WINDOW_S)
        deviation = sqrt(
            max(long_average, 1.0 / _LONG_WINDOW_S) / (2.0 * _SHORT_WINDOW_S)
        )
        changed = abs(short_average - long_average) > change_sigmas * deviation
        return (short_average if changed else long_average), changed


def _compute_window_coverage(measured_s: float, window_s: float) -> float:
    """Return the share of its final value that the average of a steady load reached."""
    return max(1.0 - exp(-measured_s / window_s), _SHORT_WINDOW_S / window_s)


@define(eq=False)
class KeyLoad:
    """Measures the request rate of each key in recent use.

    A change of the load shows within a second, while the random fluctuation of a steady
    load is averaged out, so that it gives no reason to move keys.
    """

    _rates: dict[int, _KeyRate] = field(factory=dict)
    #: Rates of blocks of neighbouring keys.
    _block_rates: dict[int, _KeyRate] = field(factory=dict)
    _first_request_at: MonotonicSeconds | None = None

    def record(self, key: int, now: MonotonicSeconds) -> None:
        """Count one request."""
        if self._first_request_at is None:
            self._first_request_at = now
        _record(self._rates, key, now)
        _record(self._block_rates, key // _BLOCK_KEYS, now)

    def list_rates(self, now: MonotonicSeconds) -> list[tuple[int, float]]:
        """Return the keys in order with their requests per second."""
        if self._first_request_at is None:
            return []
        measured_s = now - self._first_request_at
        rates = []
        for key, key_rate in list(self._rates.items()):
            rate = key_rate.estimate(now, measured_s)
            if rate < _MIN_RATE:
                del self._rates[key]
            else:
                rates.append((key, rate))
        rates.sort()
        return rates

    def list_rates_by_block(self, now: MonotonicSeconds) -> list[tuple[int, float]]:
        """Return the keys in order with rates that follow a change of their block.

        Many keys of moderate rate that become busy together change too little, each by
        itself, to be told from random fluctuation within a second.
        """
        rates = self.list_rates(now)
        if self._first_request_at is None:
            return rates
        measured_s = now - self._first_request_at
        factors = {}
        totals: dict[int, float] = {}
        for key, rate in rates:
            block = key // _BLOCK_KEYS
            totals[block] = totals.get(block, 0.0) + rate
        for block, block_rate in list(self._block_rates.items()):
            if block not in totals:
                del self._block_rates[block]
                continue
            rate, changed = block_rate.estimate_with_change(
                now, measured_s, _BLOCK_CHANGE_SIGMAS
            )
            if changed:
                factors[block] = rate / totals[block]
        if not factors:
            return rates
        return [(k, rate * factors.get(k // _BLOCK_KEYS, 1.0)) for k, rate in rates]


def _record(rates: dict[int, _KeyRate], index: int, now: MonotonicSeconds) -> None:
    rate = rates.get(index)
    if rate is None:
        rates[index] = _KeyRate(1.0 / _LONG_WINDOW_S, 1.0 / _SHORT_WINDOW_S, now)
    else:
        rate.record(now)


def list_between(
    rates: Sequence[tuple[int, float]], first: int, last: int
) -> Sequence[tuple[int, float]]:
    """Return the entries of a span of keys, both inclusive, from ordered rates."""
    return rates[bisect_left(rates, (first, 0.0)) : bisect_left(rates, (last + 1, 0.0))]
