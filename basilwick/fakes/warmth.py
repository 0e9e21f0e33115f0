"""How a freshly started backend server behaves under load."""

from __future__ import annotations

from attrs import define

__all__ = ["Warmth"]

_REQUESTS_TO_WARM_UP = 100
_COLD_FACTOR = 1.5


@define
class Warmth:
    """Load that a server bears between cold (0) and warm (1).

    A cold server bears one request at a time and warms with each success. Above what
    it bears it gets slower; above twice that it refuses and loses half its warmth.

    Attributes
    ----------
    slots : int
        Requests that the warm server runs at once.
    value : float
        0 when cold, 1 when warm.
    fall_overs : int
        Requests refused because the cold server had too many.
    peak_over_bearable : float
        Most requests at once while cold, as a multiple of what the server bore.
    """

    slots: int
    value: float = 1.0
    fall_overs: int = 0
    peak_over_bearable: float = 0.0

    @property
    def bearable(self) -> float:
        """Requests at once that the server bears."""
        return 1 + (self.slots - 1) * self.value

    def falls_over(self, present: int) -> bool:
        """Return whether one more request is too much for a cold server."""
        if self.value >= 1:
            return False
        share = (present + 1) / self.bearable
        self.peak_over_bearable = max(self.peak_over_bearable, share)
        return share > 2

    def get_factor(self, present: int) -> float:
        """Return the factor on the time of a request among ``present`` ones."""
        if self.value >= 1:
            return 1.0
        # Below 2 at bearable load, so that the router's warm-up can make progress.
        warmed = _COLD_FACTOR - (_COLD_FACTOR - 1) * self.value
        return warmed * max(1.0, present / self.bearable) ** 2

    def record_success(self) -> None:
        """Warm up a little."""
        self.value = min(1.0, self.value + 1 / _REQUESTS_TO_WARM_UP)

    def record_overload(self) -> None:
        """Lose half the warmth."""
        self.fall_overs += 1
        self.value /= 2

    def describe(self) -> str:
        """Return the temperature for ``/load``."""
        return "warm" if self.value >= 1 else "cold"
