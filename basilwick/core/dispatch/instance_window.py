"""Number of instances that a site has had lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds

__all__ = ["InstanceWindow"]

#: Time in seconds for which instances that are no longer seen are counted at least. An
#: earlier leader that lost the platform's service decides for them for up to 9 s.
_WINDOW_S = 10.0


@define(eq=False)
class InstanceWindow:
    """Largest number of instances in the current and the previous window."""

    _window: int = 0
    _current: int = 1
    _previous: int = 1

    def record(self, count: int, now: MonotonicSeconds) -> None:
        """Record the number of instances that are seen now."""
        window = int(now / _WINDOW_S)
        if window != self._window:
            is_next = window == self._window + 1
            self._previous = self._current if is_next else 1
            self._window, self._current = window, 1
        self._current = max(self._current, count)

    @property
    def largest(self) -> int:
        """Largest number recorded lately."""
        return max(self._current, self._previous)
