"""Messages between an instance and the leader that decides where its requests go."""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

from attrs import frozen

__all__ = [
    "DispatchRequest",
    "LeaderHeartbeat",
    "CancelRequest",
    "SendFinished",
    "Hello",
    "ItemChange",
    "LinkMessage",
    "Refused",
    "SendOutcome",
    "Assigned",
    "SharedChanges",
]


class SendOutcome(StrEnum):
    """How a send to a server ended, as far as it says something about the server."""

    OK = "ok"
    #: The server answered with a failure of its own.
    FAILED = "failed"
    #: The server said that it did not run the request, for lack of room.
    SHED = "shed"
    #: The server does not own the key, or another server has the address.
    MISDIRECTED = "misdirected"
    #: No connection could be opened.
    UNREACHABLE = "unreachable"
    #: The connection ended without a whole answer.
    LOST = "lost"
    #: No answer in time.
    TIMEOUT = "timeout"
    #: The caller left, or the send was not made.
    WITHDRAWN = "withdrawn"


@frozen
class Hello:
    """First message of an instance on a link.

    Attributes
    ----------
    cores : float
        Processor cores of the instance, 0 if not known.
    """

    instance: str
    data_centre: str
    cores: float = 0.0


@frozen
class DispatchRequest:
    """A request that looks for a server.

    Attributes
    ----------
    number : int
        Identifies the request on its link.
    key : int
        Key of a partitioned service, -1 without one.
    target_left_s, time_left_s : float
        Seconds until the target latency and until the deadline.
    attempt : int
        1 for the first send.
    tried : tuple of str
        Servers that earlier attempts were sent to.
    home_regions : tuple of str
        Regions whose servers may run the request; empty for all.
    data_centre : str
        Where the request is sent from.
    size : int
        Bytes of its body and of its expected answer.
    """

    number: int
    service: str
    key: int
    priority: int
    target_left_s: float
    time_left_s: float
    attempt: int = 1
    tried_servers: tuple[str, ...] = ()
    home_regions: tuple[str, ...] = ()
    data_centre: str = ""
    size_bytes: int = 0


@frozen
class CancelRequest:
    """The request of an ask has ended before its answer."""

    number: int


@frozen
class SendFinished:
    """A granted send has ended.

    Attributes
    ----------
    latency_s : float
        Seconds from the send to the answer, or to the end without one.
    """

    number: int
    outcome: SendOutcome
    latency_s: float


@frozen
class Assigned:
    """Answer to an ask: the server to send to."""

    number: int
    server: str
    address: str


@frozen
class Refused:
    """Answer to an ask: no server has room in time.

    Attributes
    ----------
    retry_after_s : float
        Seconds after which room is expected.
    """

    number: int
    retry_after_s: float
    reason: str


@frozen
class LeaderHeartbeat:
    """Sign of life of the leader.

    Attributes
    ----------
    instances : int
        Number of linked instances, with the leader.
    revision : int
        Revision of the platform's service up to which the leader knows all changes.
    platform_age_s : float
        Seconds since the leader had the last answer of that service.
    own_items_revision : int
        Revision of the last change of the instances' own items.
    max_cores : float
        Processor cores of the strongest linked instance, or of the leader.
    interval_s : float
        Seconds until the next sign of life.
    """

    instances: int
    revision: int = 0
    platform_age_s: float = 0.0
    own_items_revision: int = 0
    max_cores: float = 0.0
    interval_s: float = 0.1


@frozen
class ItemChange:
    """A written item of the platform's service, or a removed key with value None.

    The value's bytes are decoded as Latin-1, which keeps each of them.
    """

    key: str
    value: str | None
    revision: int


@frozen
class SharedChanges:
    """Changes that the leader has read, without those of the instances' own items.

    Attributes
    ----------
    after, revision : int
        Revisions between which the changes are complete.
    after_outage : bool
        Whether the leader had lost the service before.
    """

    after: int
    revision: int
    after_outage: bool
    changes: tuple[ItemChange, ...]


LinkMessage: TypeAlias = (
    Hello
    | DispatchRequest
    | CancelRequest
    | SendFinished
    | Assigned
    | Refused
    | LeaderHeartbeat
    | SharedChanges
)
