"""Interface of the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from basilwick.core.configuration import Changes, Entry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.types import Revision

__all__ = [
    "Changes",
    "Committed",
    "Conflict",
    "Entry",
    "ListedInstance",
    "PlatformService",
]


@frozen
class Committed:
    """The write took effect."""

    revision: Revision


@frozen
class Conflict:
    """Another writer was first; nothing was written."""

    current: Entry | None


@frozen
class ListedInstance:
    """One line of the platform's lagging list of instances."""

    name: str
    data_centre: str
    leaving: bool


class PlatformService(Protocol):
    """What the router needs from the platform.

    Every method raises PlatformUnavailableError when no usable answer came.
    """

    async def start(self) -> None:
        """Open connections."""

    async def close(self) -> None:
        """Close connections."""

    async def get(self, key: str) -> Entry | None:
        """Return the newest value of a key by a consistent read."""

    async def list_entries(self, prefix: str) -> Changes:
        """Return all entries of a prefix by a consistent read."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected: Revision, write_id: str
    ) -> Committed | Conflict:
        """Write a value if the key still has the expected revision, 0 for absent.

        A lost answer is resolved by reading the key back and comparing ``write_id``;
        PlatformUnavailableError then means that the outcome is not known yet.
        """

    async def watch(self, prefix: str, since: Revision, timeout_s: float) -> Changes:
        """Wait for changes after a revision, at most for the given seconds."""

    async def list_instances(self) -> Sequence[ListedInstance]:
        """Return the lagging list of live and leaving instances."""
