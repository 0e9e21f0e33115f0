"""Where a request for a key goes, as the request path sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from basilwick.core.errors import Refusal
    from basilwick.core.records import ServerRecord, ServiceRecord
    from basilwick.core.types import (
        BlockId,
        DataCentreName,
        Fence,
        Generation,
        InstanceName,
        KeyHash,
        MonotonicSeconds,
        ServerName,
        ServiceName,
        ShardIndex,
    )

__all__ = ["Location", "Peer", "RoutingView"]


@frozen
class Peer:
    """An instance that requests can be forwarded to.

    Attributes
    ----------
    name, incarnation : str
        Name of the instance and random identity of its process.
    data_centre : str
        Data centre of the instance.
    forward_address : str
        IP number and port that takes forwarded requests.
    """

    name: InstanceName
    incarnation: str
    data_centre: DataCentreName
    forward_address: str


@frozen
class Location:
    """Where a key is served.

    Attributes
    ----------
    service : str
        Service of the key.
    shard : int
        Shard of the key.
    block : tuple of str and int
        Block of the shard.
    key_hash : int
        Hash of the key within its service.
    home : str
        Data centre that serves the block.
    generation : int
        Generation of the block document that the rest was read from.
    fence : int
        Fence of the shard or hot key.
    owner : ServerRecord or None
        Backend server that owns the key, None while none is assigned.
    active_at : float
        Time on the local monotonic clock from which the owner may be used; infinite
        while the generation is not known to a majority of witnesses.
    gateway : Peer or None
        Instance through which requests for the owner pass, None when no live instance
        of the home data centre is known.
    """

    service: ServiceName
    shard: ShardIndex
    block: BlockId
    key_hash: KeyHash
    home: DataCentreName
    generation: Generation
    fence: Fence
    owner: ServerRecord | None
    active_at: MonotonicSeconds
    gateway: Peer | None


class RoutingView(Protocol):
    """Interface of the control decisions that the request path uses.

    All calls are cheap.
    """

    @property
    def self_peer(self) -> Peer:
        """Name, incarnation and address of the own instance."""

    @property
    def ready(self) -> bool:
        """Whether configuration, documents and one confirmation are known."""

    def get_service(self, name: ServiceName) -> ServiceRecord | None:
        """Return the record of a service."""

    def locate(
        self, service: ServiceRecord, key: str, now: MonotonicSeconds
    ) -> Location | Refusal:
        """Return where a key is served, or why that is not known."""

    def get_permission_end(
        self, block: BlockId, generation: Generation, now: MonotonicSeconds
    ) -> MonotonicSeconds:
        """Return the local time at which the right to send ends, 0 without a right."""

    def map_to_server_clock(
        self, server: ServerName, at: MonotonicSeconds
    ) -> float | None:
        """Return a local time in milliseconds on the server's clock, rounded down.

        None when the server reports no clock or has not responded yet.
        """

    def find_peer(self, name: InstanceName) -> Peer | None:
        """Return a live instance of any data centre."""

    def find_successor(self, name: InstanceName, incarnation: str) -> Peer | None:
        """Return the instance that a departed one announced for its ledger."""

    def list_peers(self, data_centre: DataCentreName) -> list[Peer]:
        """Return the live instances of a data centre, this one included."""

    def list_served(self) -> list[ServerRecord]:
        """Return the servers for which this instance is the gateway."""

    def record_result(
        self, server: ServerName, succeeded: bool, now: MonotonicSeconds
    ) -> None:
        """Report an answer, or its absence, as evidence about a server."""

    def record_request(self, location: Location, now: MonotonicSeconds) -> None:
        """Count a request as load of its shard and key, and as running work."""

    def record_finish(self, location: Location) -> None:
        """Note that a counted request ended."""
