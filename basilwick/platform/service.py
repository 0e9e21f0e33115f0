"""Interface of the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import field, frozen

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
class Entry:
    """A stored value.

    Attributes
    ----------
    key : str
        Name of the value.
    value : bytes
        JSON, at most one megabyte.
    revision : int
        Revision of the last write to this key.
    """

    key: str
    value: bytes = field(repr=False)
    revision: Revision


@frozen
class Changes:
    """Entries of a prefix, all of them or those after a revision.

    Attributes
    ----------
    revision : int
        Revision up to which the entries are complete.
    entries : sequence of Entry
        Newest entry of each key.
    snapshot : bool
        Whether the entries are all that the prefix holds.
    """

    revision: Revision
    entries: Sequence[Entry]
    snapshot: bool


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
