"""Events that the control decisions react to, and the actions they answer with."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from attrs import field, frozen

if TYPE_CHECKING:
    from basilwick.core.configuration import Changes, Entry
    from basilwick.core.grants import Grant, GrantReply
    from basilwick.core.messages import Message
    from basilwick.core.types import MonotonicSeconds, Revision, ServerName

__all__ = [
    "Action",
    "ChangesFetched",
    "CompareAndSwap",
    "Event",
    "FetchChanges",
    "GetGrants",
    "GrantsAnswered",
    "LeaveRequested",
    "MessageReceived",
    "PlatformAnswered",
    "ProbeAnswered",
    "ProbeServer",
    "PutGrants",
    "ReadPlatform",
    "SendMessage",
    "Tick",
    "WatchPlatform",
    "WriteAnswered",
]


@frozen
class Tick:
    """Time passed; sent at least every TICK_INTERVAL_S."""


@frozen
class MessageReceived:
    """A message of another instance arrived."""

    message: Message


@frozen
class PlatformAnswered:
    """A read or watch of the platform ended.

    Attributes
    ----------
    started_at : float
        Local time at which the call was sent.
    changes : Changes or None
        The answer, None when the call failed.
    is_watch : bool
        Whether the call was a watch.
    """

    started_at: MonotonicSeconds
    changes: Changes | None
    is_watch: bool


@frozen
class WriteAnswered:
    """A compare-and-swap ended.

    Attributes
    ----------
    key, write_id : str
        Key and identity of the write.
    value : bytes
        Value of the write.
    revision : int or None
        Revision of the write when it took effect.
    current : Entry or None
        Stored value when another write was first.
    is_known : bool
        Whether it is known if the write took effect.
    """

    key: str
    write_id: str
    value: bytes = field(repr=False)
    revision: Revision | None = None
    current: Entry | None = None
    is_known: bool = True


@frozen
class ChangesFetched:
    """A peer answered a fetch of changes, or failed to (None)."""

    peer_address: str
    changes: Changes | None


@frozen
class GrantsAnswered:
    """A backend server answered a call to its grants, or failed to.

    Attributes
    ----------
    server : str
        Name of the server.
    started_at : float
        Local time at which the call was sent.
    grant : Grant or None
        The grant that was sent, None for a read.
    reply : GrantReply or None
        The answer, None when there was none.
    """

    server: ServerName
    started_at: MonotonicSeconds
    grant: Grant | None
    reply: GrantReply | None


@frozen
class ProbeAnswered:
    """A backend server answered a probe, or failed to."""

    server: ServerName
    succeeded: bool


@frozen
class LeaveRequested:
    """The own instance is to stop."""


Event: TypeAlias = (
    Tick
    | MessageReceived
    | PlatformAnswered
    | WriteAnswered
    | ChangesFetched
    | GrantsAnswered
    | ProbeAnswered
    | LeaveRequested
)


@frozen
class SendMessage:
    """Send a message to the instance at a peer address."""

    peer_address: str
    message: Message


@frozen
class ReadPlatform:
    """Read all records and block documents."""


@frozen
class WatchPlatform:
    """Wait for changes of records and block documents after a revision, or a time."""

    since: Revision
    timeout_s: float


@frozen
class CompareAndSwap:
    """Write a value if its key still has the expected revision."""

    key: str
    value: bytes = field(repr=False)
    expected: Revision
    write_id: str
    reason: str


@frozen
class FetchChanges:
    """Ask the instance at a peer address for changes after a revision."""

    peer_address: str
    since: Revision


@frozen
class GetGrants:
    """Read the grants of a backend server, and with them its clock."""

    server: ServerName
    address: str


@frozen
class PutGrants:
    """Send a grant to a backend server."""

    server: ServerName
    address: str
    grant: Grant


@frozen
class ProbeServer:
    """Try whether a backend server answers."""

    server: ServerName
    address: str


Action: TypeAlias = (
    SendMessage
    | ReadPlatform
    | WatchPlatform
    | CompareAndSwap
    | FetchChanges
    | GetGrants
    | PutGrants
    | ProbeServer
)
