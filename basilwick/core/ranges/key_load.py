"""Measured load of the keys of a partitioned service."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["KeyLoad"]

#: Time in seconds over which a key's requests are averaged.
_AVERAGING_S = 0.6
#: Rate per second below which a key is forgotten.
_LEAST_RATE = 0.05


@define
class _KeyRate:
    rate: float
    updated_at: MonotonicSeconds


@define(eq=False)
class KeyLoad:
    """Exponentially averaged request rate of each key in recent use."""

    _rates: dict[int, _KeyRate] = field(factory=dict)

    def record(self, key: int, now: MonotonicSeconds) -> None:
        """Count one request."""
        known = self._rates.get(key)
        if known is None:
            self._rates[key] = _KeyRate(1.0 / _AVERAGING_S, now)
            return
        decay = exp((known.updated_at - now) / _AVERAGING_S)
        known.rate = known.rate * decay + 1.0 / _AVERAGING_S
        known.updated_at = now

    def list_rates(self, now: MonotonicSeconds) -> list[tuple[int, float]]:
        """Return keys in order with their requests per second."""
        rates = []
        for key, known in list(self._rates.items()):
            rate = known.rate * exp((known.updated_at - now) / _AVERAGING_S)
            if rate < _LEAST_RATE:
                del self._rates[key]
            else:
                rates.append((key, rate))
        rates.sort()
        return rates
