"""What an instance holds for its callers, within its memory and descriptors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from attrs import define, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilwick.core.types import MonotonicSeconds

__all__ = [
    "CallerBudget",
    "IdleConnection",
    "UnreadConnection",
    "choose_connections_to_abort",
    "choose_connections_to_close",
    "get_max_caller_bytes",
    "get_max_connections",
]

T = TypeVar("T")

#: Memory in bytes that an instance needs for itself on a large site, where an idle
#: process of a small site takes about 43 MB.
_OWN_BYTES = 64 << 20
#: Share of the rest that callers' bytes may take. Python objects and the buffers of
#: sockets need as much again.
_CALLER_SHARE = 1 / 3
#: Least number of bytes for callers, so that a single request is served on any machine.
_MIN_CALLER_BYTES = 4 << 20
#: Share of the descriptors for callers' connections. Each request needs another one for
#: the connection to its server; the rest is for links and the platform's service.
_DESCRIPTOR_SHARE = 0.4
#: Part (1/n) of the bytes that are left over by bodies and by answers that are read
#: ahead, so that they alone never make an instance refuse requests.
_READ_AHEAD_RESERVE_DIVISOR = 2
#: Time in seconds for which a caller may read nothing while the bytes for callers are
#: used up. A lost packet delays a caller that reads by less.
_UNREAD_LIMIT_S = 1.0
#: Part (1/n) of the connections that are closed at once, so that a crowd of new ones
#: does not make each of them search all others.
_CLOSE_DIVISOR = 32


def get_max_caller_bytes(memory_bytes: int) -> int:
    """Return the bytes that may be held for callers, 0 for no limit.

    Parameters
    ----------
    memory_bytes : int
        Memory of the instance, 0 if not known.
    """
    if not memory_bytes:
        return 0
    return max(_MIN_CALLER_BYTES, round((memory_bytes - _OWN_BYTES) * _CALLER_SHARE))


def get_max_connections(descriptors: int) -> int:
    """Return the largest number of callers' connections, 0 for no limit.

    Parameters
    ----------
    descriptors : int
        Descriptors of the instance, 0 if not known.
    """
    return max(1, int(descriptors * _DESCRIPTOR_SHARE)) if descriptors else 0


@define(eq=False)
class CallerBudget:
    """Counts the bytes that are held for all callers together.

    Parameters
    ----------
    max_bytes : int
        Bytes above which new requests are refused, 0 for no limit.

    Attributes
    ----------
    held_bytes : int
        Bytes that are held now.
    """

    max_bytes: int = 0
    held_bytes: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether new requests must be refused."""
        return bool(self.max_bytes) and self.held_bytes >= self.max_bytes

    @property
    def short(self) -> bool:
        """Whether what is left is kept for requests that have been read."""
        return bool(self.max_bytes) and not self.may_read_ahead(0)

    @property
    def reserve_bytes(self) -> int:
        """Bytes that answers which are read ahead leave over."""
        return self.max_bytes // _READ_AHEAD_RESERVE_DIVISOR

    def add(self, size: int) -> None:
        """Count bytes that are held from now on; a negative size releases them."""
        self.held_bytes += size

    def may_read_ahead(self, size: int) -> bool:
        """Return whether a part of an answer may be read before it can be sent."""
        return self.held_bytes + size <= self.max_bytes - self.reserve_bytes


@frozen
class IdleConnection(Generic[T]):
    """A connection without a request that is handled or waits.

    Attributes
    ----------
    connection : object
        Connection that can be closed without losing a request.
    active_at : float
        Local time at which it was opened or received data last.
    carried_requests : bool
        Whether it has carried a request.
    """

    connection: T
    active_at: MonotonicSeconds
    carried_requests: bool


@frozen
class UnreadConnection(Generic[T]):
    """A connection whose caller does not read its answers.

    Attributes
    ----------
    connection : object
        Connection that can be aborted.
    unread_since : float
        Local time since which the caller has read nothing.
    unread_bytes : int
        Bytes that wait for the caller.
    """

    connection: T
    unread_since: MonotonicSeconds
    unread_bytes: int


def choose_connections_to_close(
    idle: Iterable[IdleConnection[T]],
    unread: Iterable[UnreadConnection[T]],
    max_connections: int,
    now: MonotonicSeconds,
) -> list[T]:
    """Choose the connections that make room for new ones.

    Idle ones that have never carried a request go first, and the longest idle of each
    kind. A caller that keeps a connection for its next request keeps it as long as
    possible. Callers that don't read their answers come last.
    """
    count = max(1, max_connections // _CLOSE_DIVISOR)
    ordered = sorted(idle, key=lambda one: (one.carried_requests, one.active_at))
    chosen = [one.connection for one in ordered]
    if not chosen:
        chosen = [
            one.connection
            for one in sorted(unread, key=lambda one: one.unread_since)
            if now - one.unread_since >= _UNREAD_LIMIT_S
        ]
    return chosen[:count]


def choose_connections_to_abort(
    unread: Iterable[UnreadConnection[T]], budget: CallerBudget, now: MonotonicSeconds
) -> list[T]:
    """Choose the connections whose unread answers leave no room for other requests.

    Those that hold most go first, until answers may be read ahead again.
    """
    excess = budget.held_bytes - budget.max_bytes + budget.reserve_bytes
    chosen = []
    for one in sorted(unread, key=lambda one: -one.unread_bytes):
        if excess <= 0:
            break
        if now - one.unread_since >= _UNREAD_LIMIT_S:
            chosen.append(one.connection)
            excess -= one.unread_bytes
    return chosen
