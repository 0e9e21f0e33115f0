"""Interface through which the range controller chooses owners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from basilwick.core.types import ServerName

__all__ = ["OwnerPolicy"]


class OwnerPolicy(Protocol):
    """Decides which servers may own ranges of a service."""

    def may_own(self, server: ServerName) -> bool:
        """Return whether a server may keep its ranges."""

    def choose_owner(self, excluded: ServerName | None) -> ServerName | None:
        """Return the server that should take over a range, None if there is none."""
