"""Interface through which a dispatcher looks up the owners of keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["KeyOwner", "KeyOwnerLookup"]


@frozen
class KeyOwner:
    """Server that owns a key, and the state of its ownership.

    Attributes
    ----------
    server : str or None
        Owner that serves the key now; None while no server does.
    moving : bool
        Whether the key is being handed over to another server.
    available_in_s : float
        Seconds until the key is expected to be served, if no server does so now.
    """

    server: ServerName | None
    moving: bool = False
    available_in_s: float = 0.5


class KeyOwnerLookup(Protocol):
    """Looks up which server owns a key of a partitioned service."""

    def find_owner(
        self, service: ServiceName, key: int, now: MonotonicSeconds
    ) -> KeyOwner:
        """Return the owner of a key."""
