"""What the decisions on key ranges have to know of servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from basilwick.core.types import ServerName

__all__ = ["OwnerPolicy"]


class OwnerPolicy(Protocol):
    """What the control has to know of servers."""

    def may_own(self, server: ServerName) -> bool:
        """Return whether a server may keep its ranges."""

    def choose_owner(self, avoid: ServerName | None) -> ServerName | None:
        """Return the server that should take over a range."""
