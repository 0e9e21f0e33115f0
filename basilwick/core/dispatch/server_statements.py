"""What servers state in their responses about whether they want requests.

A statement binds as long as the server's process lives, or for the stated time. The
registration that the server writes does not end it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilwick.core.types import MonotonicSeconds, ServerName

__all__ = ["LeavingServer", "ServerStatements"]

#: Processes whose statements are remembered.
_MAX_PROCESSES = 2000
#: Longest pause in seconds that is kept, whatever a server states.
_MAX_PAUSE_S = 3600.0


@frozen
class LeavingServer:
    """Server process that has stated that it leaves.

    Attributes
    ----------
    started_ms : int
        Unix time in milliseconds at which the process started.
    """

    name: ServerName
    started_ms: int


@frozen
class _Pause:
    started_ms: int
    ends_at: MonotonicSeconds


@define(eq=False)
class ServerStatements:
    """Servers that leave, and servers that want no requests for a while."""

    #: Start of the process that leaves, by server.
    _leaving: dict[ServerName, int] = field(factory=dict)
    _pauses: dict[ServerName, _Pause] = field(factory=dict)

    def record_leaving(self, server: LeavingServer) -> bool:
        """Record that a process leaves; returns whether this was not known."""
        if self._leaving.get(server.name, -1) >= server.started_ms:
            return False
        self._leaving.pop(server.name, None)
        self._leaving[server.name] = server.started_ms
        while len(self._leaving) > _MAX_PROCESSES:
            del self._leaving[next(iter(self._leaving))]
        return True

    def is_leaving(self, name: ServerName, started_ms: int) -> bool:
        """Return whether a process has stated that it leaves."""
        return self._leaving.get(name) == started_ms

    def list_leaving(self) -> list[LeavingServer]:
        """Return the processes that have stated that they leave."""
        return [LeavingServer(*entry) for entry in self._leaving.items()]

    def record_pause(
        self,
        name: ServerName,
        started_ms: int,
        seconds: float,
        now: MonotonicSeconds,
    ) -> bool:
        """Record that a process wants no requests for some seconds.

        Returns whether it was not pausing before.
        """
        was_paused = self.get_pause_left(name, started_ms, now) > 0.0
        ends_at = now + min(seconds, _MAX_PAUSE_S)
        known = self._pauses.get(name)
        if known is not None and known.started_ms == started_ms:
            ends_at = max(ends_at, known.ends_at)
        self._pauses[name] = _Pause(started_ms, ends_at)
        return not was_paused

    def get_pause_left(
        self, name: ServerName, started_ms: int, now: MonotonicSeconds
    ) -> float:
        """Return for how many seconds a process wants no requests."""
        pause = self._pauses.get(name)
        if pause is None or pause.started_ms != started_ms:
            return 0.0
        return max(0.0, pause.ends_at - now)

    def remove_ended_pauses(self, now: MonotonicSeconds) -> list[ServerName]:
        """Forget the pauses that have ended; returns their servers."""
        ended = [n for n, pause in self._pauses.items() if pause.ends_at <= now]
        for name in ended:
            del self._pauses[name]
        return ended

    def iterate_paused(self) -> Iterator[tuple[ServerName, int]]:
        """Iterate over the names and starts of processes that may be pausing."""
        for name, pause in self._pauses.items():
            yield name, pause.started_ms
