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
    """The key has the value of another writer.

    The attempted write either had no effect, or it took effect and was overwritten
    while its response was lost. Either way it is not in force, and a new attempt must
    start from the current value.
    """

    current: Entry | None


@frozen
class Lease:
    """A lease, which the platform gives to one holder for a limited time.

    Attributes
    ----------
    name, holder : str
        Name of the lease and identity of its holder.
    ttl_s : float
        Time to live in seconds.
    expires_at : float
        Local time at which the lease expires, counted from the start of the call that
        acquired it.
    """

    name: str
    holder: str
    ttl_s: float
    expires_at: MonotonicSeconds


@frozen
class ListedInstance:
    """An instance in the platform's list of instances, which lags behind.

    Attributes
    ----------
    name, data_centre : str
        Names of the instance and of its data centre.
    leaving : bool
        Whether the instance is being stopped.
    peer_address : str
        IP address and port of its peer listener, empty if not known.
    """

    name: str
    data_centre: str
    leaving: bool
    peer_address: str = ""


class PlatformService(Protocol):
    """Services of the platform that the router uses.

    Every method raises PlatformUnavailableError if it gets no usable response.
    """

    async def start(self) -> None:
        """Open connections."""

    async def close(self) -> None:
        """Close connections."""

    async def get(self, key: str) -> Entry | None:
        """Return the latest value of a key by a consistent read."""

    async def list_entries(self, prefix: str | Sequence[str]) -> Changes:
        """Return all entries of one or more prefixes by a consistent read."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected: Revision, write_id: str
    ) -> Committed | Conflict:
        """Write a value if the key still has the expected revision, 0 if it is absent.

        If the response is lost, the outcome is found by reading the key and comparing
        ``write_id``; PlatformUnavailableError then means that the outcome is not known
        yet. A value above one megabyte raises TooLargeError.
        """

    async def watch(
        self, prefix: str | Sequence[str], since: Revision, timeout_s: float
    ) -> Changes:
        """Wait for changes after a revision, at most for the given seconds.

        If the revision is older than the platform's log, the result is a snapshot. The
        call is not retried; after a failure, the next call is delayed.
        """

    async def list_instances(self) -> Sequence[ListedInstance]:
        """Return the live and leaving instances; the list lags behind."""

    async def acquire_lease(self, name: str, holder: str, ttl_s: float) -> Lease | None:
        """Acquire a lease or extend the holder's own; None if another holder has it."""

    async def renew_lease(self, lease: Lease) -> Lease | None:
        """Extend a lease; None if it has expired, even if no other holder has it."""

    async def release_lease(self, lease: Lease) -> None:
        """Release a lease; has no effect if another holder has it."""
