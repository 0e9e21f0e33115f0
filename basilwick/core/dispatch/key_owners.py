"""What dispatch has to know of the owners of keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["KeyOwner", "KeyOwnerLookup"]


@frozen
class KeyOwner:
    """Owner of a key.

    Attributes
    ----------
    server : str or None
        Owner that serves the key now, None while nobody does.
    moving : bool
        Whether the key is being handed to another server.
    available_in_s : float
        Seconds until the key is expected to be served, if nobody serves it.
    """

    server: ServerName | None
    moving: bool = False
    available_in_s: float = 0.5


class KeyOwnerLookup(Protocol):
    """Knows which server owns a key of a partitioned service."""

    def find_owner(
        self, service: ServiceName, key: int, now: MonotonicSeconds
    ) -> KeyOwner:
        """Return the owner of a key."""
