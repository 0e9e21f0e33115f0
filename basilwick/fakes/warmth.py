"""Model of how a freshly started backend server warms up under load."""

from __future__ import annotations

from attrs import define

__all__ = ["Warmth"]

_REQUESTS_TO_WARM_UP = 100
_COLD_SLOWDOWN = 1.5


@define
class Warmth:
    """Warm-up state of a server, which sets how many concurrent requests it can handle.

    A cold server handles one request at a time and warms up with each success. Above
    its capacity it gets slower; above twice its capacity it refuses requests, and each
    refusal halves its warmth.

    Attributes
    ----------
    slots : int
        Number of requests that the warm server runs concurrently.
    value : float
        Warmth from 0 (cold) to 1 (warm).
    fall_overs : int
        Number of requests refused because the cold server was overloaded.
    peak_over_bearable : float
        Highest number of concurrent requests while cold, as a multiple of ``bearable``.
    """

    slots: int
    value: float = 1.0
    fall_overs: int = 0
    peak_over_bearable: float = 0.0

    @property
    def bearable(self) -> float:
        """Number of concurrent requests that the server can handle now."""
        return 1 + (self.slots - 1) * self.value

    def check_overload(self, request_count: int) -> bool:
        """Return whether one more request overloads a cold server."""
        if self.value >= 1:
            return False
        load_ratio = (request_count + 1) / self.bearable
        self.peak_over_bearable = max(self.peak_over_bearable, load_ratio)
        return load_ratio > 2

    def get_slowdown(self, request_count: int) -> float:
        """Return the factor on the service time at a number of concurrent requests."""
        if self.value >= 1:
            return 1.0
        # Below 2 up to the server's capacity, so that the router's warm-up can proceed.
        slowdown = _COLD_SLOWDOWN - (_COLD_SLOWDOWN - 1) * self.value
        return slowdown * max(1.0, request_count / self.bearable) ** 2

    def record_success(self) -> None:
        """Warm up by one request."""
        self.value = min(1.0, self.value + 1 / _REQUESTS_TO_WARM_UP)

    def record_overload(self) -> None:
        """Count an overload and halve the warmth."""
        self.fall_overs += 1
        self.value /= 2

    def describe(self) -> str:
        """Return the temperature that ``/load`` reports."""
        return "warm" if self.value >= 1 else "cold"
