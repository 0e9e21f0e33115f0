"""Local clock of an instance."""

from __future__ import annotations

from time import CLOCK_BOOTTIME, clock_gettime

__all__ = ["read_clock"]


def read_clock() -> float:
    """Return seconds that also count while the machine is suspended.

    Holds of keys and the autonomy of a leader run on at the servers while an instance
    stands still, so time that it did not see has to count.
    """
    return clock_gettime(CLOCK_BOOTTIME)
