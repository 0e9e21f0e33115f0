"""Signals of a long-lived process, from its first moment to its end.

The handlers are installed before the slow imports of a command, so this module imports
little itself. They stay until the process ends: an event loop resets those that it
installs when it is closed, and a signal that came later would end the process.
"""

from __future__ import annotations

from signal import SIGHUP, SIGINT, SIGTERM, signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ProcessSignals", "process_signals"]


class ProcessSignals:
    """Records the signals of the process and reports them to a listener."""

    def __init__(self) -> None:
        #: Whether SIGTERM or SIGINT has come.
        self.stop_requested = False
        #: Number of SIGINT.
        self.interrupts = 0
        self._reload_requested = False
        self._listener: Callable[[], None] | None = None

    def hold_stops(self) -> None:
        """Record SIGTERM and SIGINT from now on."""
        signal(SIGTERM, self._record)
        signal(SIGINT, self._record)

    def hold_hangups(self) -> None:
        """Record SIGHUP from now on."""
        signal(SIGHUP, self._record)

    def take_reload(self) -> bool:
        """Return whether SIGHUP has come since the last call."""
        requested, self._reload_requested = self._reload_requested, False
        return requested

    def set_listener(self, listener: Callable[[], None] | None) -> None:
        """Set what is called after each signal, between any two instructions."""
        self._listener = listener

    def _record(self, number: int, _frame: object) -> None:
        if number == SIGHUP:
            self._reload_requested = True
        else:
            self.stop_requested = True
            self.interrupts += number == SIGINT
        if self._listener is not None:
            self._listener()


#: Signals belong to the process, so there is one object for all of its parts.
process_signals = ProcessSignals()
