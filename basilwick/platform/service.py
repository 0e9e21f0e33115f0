"""Interface of the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from basilwick.core.configuration import Changes, Entry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.types import MonotonicSeconds, Revision

__all__ = [
    "Changes",
    "Committed",
    "Conflict",
    "Entry",
    "Lease",
    "ListedInstance",
    "PlatformService",
]


@frozen
class Committed:
    """The write took effect."""

    revision: Revision


@frozen
class Conflict:
    """The key has another writer's value.

    The own write had no effect, or it did and was then replaced while its answer was
    lost. Either way it is not in force, and a new plan starts from the current value.
    """

    current: Entry | None


@frozen
class Lease:
    """A right that the platform gives to one holder for a time.

    Attributes
    ----------
    name, holder : str
        Name of the lease and identity of its holder.
    ttl_s : float
        Seconds for which it was given.
    expires_at : float
        Local time at which it ends, counted from before the call that took it.
    """

    name: str
    holder: str
    ttl_s: float
    expires_at: MonotonicSeconds


@frozen
class ListedInstance:
    """One line of the platform's lagging list of instances.

    Attributes
    ----------
    name, data_centre : str
        Name of the instance and where it runs.
    leaving : bool
        Whether it is being stopped.
    peer_address : str
        IP number and port of its peer listener, empty when not known.
    """

    name: str
    data_centre: str
    leaving: bool
    peer_address: str = ""


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

    async def list_entries(self, prefix: str | Sequence[str]) -> Changes:
        """Return all entries of one or more prefixes by a consistent read."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected: Revision, write_id: str
    ) -> Committed | Conflict:
        """Write a value if the key still has the expected revision, 0 for absent.

        A lost answer is resolved by reading the key back and comparing ``write_id``;
        PlatformUnavailableError then means that the outcome is not known yet. A value
        above one megabyte raises TooLargeError.
        """

    async def watch(
        self, prefix: str | Sequence[str], since: Revision, timeout_s: float
    ) -> Changes:
        """Wait for changes after a revision, at most for the given seconds.

        A revision older than the platform's log gives a snapshot. There is one attempt;
        the next call after a failure is delayed.
        """

    async def list_instances(self) -> Sequence[ListedInstance]:
        """Return the lagging list of live and leaving instances."""

    async def acquire_lease(self, name: str, holder: str, ttl_s: float) -> Lease | None:
        """Take a lease, or extend it when the holder has it; None if another has it."""

    async def renew_lease(self, lease: Lease) -> Lease | None:
        """Extend a lease; None when it lapsed, even if nobody took it since."""

    async def release_lease(self, lease: Lease) -> None:
        """Give a lease up; no effect when another holder has it."""
