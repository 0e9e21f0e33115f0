"""Evidence that a backend server is lost, or slow while it still answers."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.timing import SERVER_SILENT_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from basilwick.core.types import InstanceName, MonotonicSeconds, ServerName

__all__ = ["ServerDetector"]

# A failure that no later result confirms is no evidence of the present state.
_FAILURE_VALID_S = 1.0
# Below three servers a median does not tell which of them is slow.
_MIN_PEERS = 3
_STRAGGLER_RATIO = 3.0
_STRAGGLER_MIN_S = 0.02
_STRAGGLER_AFTER_S = 1.0
_LATENCY_SMOOTHING = 0.1


@define
class _Failures:
    since: MonotonicSeconds
    latest: MonotonicSeconds


@define
class _Latency:
    mean_s: float
    slow_since: MonotonicSeconds | None = None


@define
class ServerDetector:
    """Collects results of calls to servers by the instances of a data centre.

    Only calls count: load and health reports can mislead and have no place here. A
    server is lost when one observer got no answer for SERVER_SILENT_AFTER_S and a
    second observer, if there is one, failed to reach it as well in that time. A single
    observer could be the one that is cut off.
    """

    _failures: dict[ServerName, dict[InstanceName, _Failures]] = field(factory=dict)
    _answered_at: dict[ServerName, MonotonicSeconds] = field(factory=dict)
    _lost: dict[ServerName, MonotonicSeconds] = field(factory=dict)
    _latencies: dict[ServerName, _Latency] = field(factory=dict)

    def record_result(
        self,
        server: ServerName,
        observer: InstanceName,
        succeeded: bool,
        now: MonotonicSeconds,
        started_at: MonotonicSeconds | None = None,
    ) -> None:
        """Record the result of a call, probe or grant renewal.

        Parameters
        ----------
        server, observer : str
            Server that was called, and the instance that called it.
        succeeded : bool
            Whether the server answered; a refusal by the server is an answer.
        now : float
            Local time in seconds.
        started_at : float, optional
            When the call began, ``now`` if not given. For a result reported by a peer,
            the local time of the heartbeat less the age given in it.
        """
        begun_at = now if started_at is None else started_at
        if succeeded:
            self._answered_at[server] = max(
                begun_at, self._answered_at.get(server, begun_at)
            )
            self._failures.pop(server, None)
            self._lost.pop(server, None)
            return
        if begun_at < self._answered_at.get(server, begun_at):
            # The server answered a call that began later.
            return
        failures = self._failures.setdefault(server, {})
        known = failures.get(observer)
        if known is None or now - known.latest > _FAILURE_VALID_S:
            failures[observer] = _Failures(begun_at, now)
        else:
            known.since = min(known.since, begun_at)
            known.latest = now

    def record_latency(
        self, server: ServerName, latency_s: float, now: MonotonicSeconds
    ) -> None:
        """Record how long a server took to answer a request, in seconds."""
        known = self._latencies.setdefault(server, _Latency(latency_s))
        known.mean_s += _LATENCY_SMOOTHING * (latency_s - known.mean_s)
        others = [other.mean_s for other in self._latencies.values()]
        limit = max(_STRAGGLER_MIN_S, _STRAGGLER_RATIO * median(others))
        if len(others) < _MIN_PEERS or known.mean_s <= limit:
            known.slow_since = None
        elif known.slow_since is None:
            known.slow_since = now

    def list_suspected(self, now: MonotonicSeconds) -> set[ServerName]:
        """Return the servers that a second instance should probe."""
        return {
            server
            for server, failures in self._failures.items()
            if server not in self._lost
            and any(now - f.latest <= _FAILURE_VALID_S for f in failures.values())
        }

    def find_lost(
        self, observers: Collection[InstanceName], now: MonotonicSeconds
    ) -> dict[ServerName, MonotonicSeconds]:
        """Return the lost servers and when each was declared lost.

        Parameters
        ----------
        observers : collection of str
            Live instances of the data centre, this one included.
        now : float
            Local time in seconds.
        """
        for server, failures in self._failures.items():
            current = {
                observer: failure
                for observer, failure in failures.items()
                if now - failure.latest <= _FAILURE_VALID_S
            }
            silent = any(
                now - failure.since >= SERVER_SILENT_AFTER_S
                for failure in current.values()
            )
            if silent and len(current) >= min(2, len(observers)):
                self._lost.setdefault(server, now)
        return dict(self._lost)

    def list_stragglers(self, now: MonotonicSeconds) -> set[ServerName]:
        """Return the servers that answer, but much more slowly than their peers."""
        return {
            server
            for server, latency in self._latencies.items()
            if server not in self._lost
            and latency.slow_since is not None
            and now - latency.slow_since >= _STRAGGLER_AFTER_S
        }

    def remove_servers(self, servers: Collection[ServerName]) -> None:
        """Remove the measurements of servers that are no longer in use."""
        for known in (self._failures, self._answered_at, self._lost, self._latencies):
            for server in servers:
                known.pop(server, None)
