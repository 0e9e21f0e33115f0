"""Quantiles of recent latencies."""

from __future__ import annotations

__all__ = ["LatencyWindow"]

_RECORDS_PER_SORT = 16


class LatencyWindow:
    """Sliding window over the most recent latencies of one server.

    The samples are sorted only once per 16 records, so that the cost per request is far
    below that of handling it. The quantiles lag by at most that number of samples.

    Parameters
    ----------
    size : int, default=128
        Number of latencies kept.
    """

    __slots__ = ("_position", "_samples", "_since_refresh", "_size", "_sorted")

    def __init__(self, size: int = 128):
        self._size = size
        self._samples: list[float] = []
        self._position = 0
        self._since_refresh = 0
        self._sorted: list[float] = []

    def record(self, latency_s: float) -> None:
        """Add a latency in seconds; a full window drops its oldest one."""
        if len(self._samples) < self._size:
            self._samples.append(latency_s)
        else:
            self._samples[self._position] = latency_s
            self._position = (self._position + 1) % self._size
        self._since_refresh += 1
        if self._since_refresh >= _RECORDS_PER_SORT or not self._sorted:
            self._sorted = sorted(self._samples)
            self._since_refresh = 0

    def clear(self) -> None:
        """Remove all latencies."""
        self._samples.clear()
        self._sorted = []
        self._position = self._since_refresh = 0

    def quantile(self, fraction: float) -> float | None:
        """Return a quantile in seconds, None before the first record."""
        if not self._sorted:
            return None
        index = min(int(fraction * len(self._sorted)), len(self._sorted) - 1)
        return self._sorted[index]
