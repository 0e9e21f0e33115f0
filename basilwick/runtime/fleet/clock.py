"""Monotonic clock of an instance."""

from __future__ import annotations

from time import CLOCK_BOOTTIME, clock_gettime

__all__ = ["read_clock"]


def read_clock() -> float:
    """Return the monotonic time in seconds, including time in suspend.

    Grants at the servers and the autonomy of a leader also run out while the machine of
    an instance is suspended, so this time has to count.
    """
    return clock_gettime(CLOCK_BOOTTIME)
