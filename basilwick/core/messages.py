"""Messages between instances, as the decision modules see them."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilwick.core.configuration import Entry
    from basilwick.core.types import (
        BlockId,
        DataCentreName,
        Generation,
        InstanceName,
        KeyHash,
        MonotonicSeconds,
        Revision,
        ServerName,
        ShardIndex,
    )

__all__ = [
    "SCHEMA_MAX",
    "Announcement",
    "Heartbeat",
    "MemberSummary",
    "Message",
    "Revocation",
    "ServerLoad",
    "ServerObservation",
    "Summary",
]


#: Highest record schema that this program reads.
SCHEMA_MAX = 2


@frozen
class ServerObservation:
    """What one instance saw of a backend server.

    Attributes
    ----------
    server : str
        Name of the server.
    silent_for : float
        Seconds since the last answer of any kind.
    failing : bool
        Whether the sender considers the server lost.
    """

    server: ServerName
    silent_for: float
    failing: bool


@frozen
class Revocation:
    """The server no longer accepts shards that left it up to a generation."""

    server: ServerName
    block: BlockId
    generation: Generation


@frozen
class ServerLoad:
    """Load that the gateway of a server observed.

    Attributes
    ----------
    server : str
        Name of the server.
    requests_per_s : float
        Rate of all requests.
    shards : mapping of int to float
        Requests a second by shard.
    hot_keys : mapping of int to (int, float)
        Shard and requests a second by key hash.
    """

    server: ServerName
    requests_per_s: float
    shards: Mapping[ShardIndex, float] = field(factory=dict)
    hot_keys: Mapping[KeyHash, tuple[ShardIndex, float]] = field(factory=dict)


@frozen
class Heartbeat:
    """Sign of life that confirms block generations.

    Attributes
    ----------
    instance, incarnation, data_centre : str
        Sender, random identity of its process, and its data centre.
    peer_address, forward_address : str
        Addresses at which the sender can be reached.
    sent_at : float
        Reading of the sender's clock.
    echoed_at : float
        Last reading received from the receiver, 0 when none was received.
    echoed_incarnation : str
        Incarnation of the receiver that the reading belongs to.
    ready, leaving, witness_ready : bool
        State of the sender.
    config_revision : int
        Revision up to which the sender's configuration is complete.
    schema_max : int
        Highest record schema that the sender reads.
    platform_age : float
        Seconds since the newest contact with the platform that the sender knows of.
    generations_version : int
        Version of the sender's generation list, 0 when the sender is no witness.
    generations : mapping of (str, int) to int, or None
        The list, None when the receiver has reported this version as received.
    generations_seen : int
        Version of the receiver's list that the sender holds.
    observations, revocations, loads : tuple
        Reports about backend servers.
    successor : str
        Instance that takes over the operations of a leaving one.
    """

    instance: InstanceName
    incarnation: str
    data_centre: DataCentreName
    peer_address: str
    forward_address: str
    sent_at: MonotonicSeconds
    echoed_at: MonotonicSeconds = 0.0
    echoed_incarnation: str = ""
    ready: bool = False
    leaving: bool = False
    witness_ready: bool = False
    config_revision: Revision = 0
    schema_max: int = SCHEMA_MAX
    platform_age: float = float("inf")
    generations_version: int = 0
    generations: Mapping[BlockId, Generation] | None = None
    generations_seen: int = 0
    observations: tuple[ServerObservation, ...] = ()
    revocations: tuple[Revocation, ...] = ()
    loads: tuple[ServerLoad, ...] = ()
    successor: InstanceName = ""


@frozen
class Announcement:
    """Changed documents, pushed to other instances.

    Attributes
    ----------
    entries : tuple of Entry
        Changed documents.
    since, revision : int
        The entries are all changes after ``since`` up to ``revision``; both are 0 when
        the entries are single documents without that promise.
    data_centre : str
        Data centre of the sender.
    """

    data_centre: DataCentreName
    entries: tuple[Entry, ...]
    since: Revision = 0
    revision: Revision = 0


@frozen
class MemberSummary:
    """One member of a summary; ``silent_for`` is the age of its last message, in s."""

    instance: InstanceName
    incarnation: str
    data_centre: DataCentreName
    peer_address: str
    forward_address: str
    ready: bool
    leaving: bool
    silent_for: float
    successor: InstanceName = ""
    schema_max: int = SCHEMA_MAX


@frozen
class Summary:
    """Members known to the sender, and its configuration revision."""

    data_centre: DataCentreName
    peer_address: str
    config_revision: Revision
    members: tuple[MemberSummary, ...]


Message: TypeAlias = Heartbeat | Announcement | Summary
