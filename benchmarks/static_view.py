"""Routing view with one server and a fixed gateway, for measurements of one part."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define

from basilwick.core.hashing import compute_key_hash
from basilwick.core.routing import Location, Peer

__all__ = ["StaticView"]

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.records import ServerRecord, ServiceRecord


@define(eq=False)
class StaticView:
    """Names one owner and one gateway for every key."""

    self_peer: Peer
    gateway: Peer
    owner: ServerRecord
    service: ServiceRecord
    ready: bool = True
    map_to_server_clock: Callable[..., Any] = lambda server, at: at * 1000
    record_result: Callable[..., Any] = lambda server, succeeded, now: None
    record_request: Callable[..., Any] = lambda location, now: None
    find_successor: Callable[..., Any] = lambda name, incarnation: None

    def get_service(self, name: str) -> ServiceRecord | None:
        """Return the record of the service."""
        return self.service if name == self.service.name else None

    def locate(self, service: ServiceRecord, key: str, now: float) -> Location:
        """Return the fixed owner with the shard of the key."""
        key_hash = compute_key_hash(service.name, key)
        shard = key_hash % service.shard_count
        return Location(
            service.name,
            shard,
            (service.name, shard // service.shards_per_block),
            key_hash,
            self.self_peer.data_centre,
            1,
            1,
            self.owner,
            0.0,
            self.gateway,
        )

    def get_permission_end(
        self, block: tuple[str, int], generation: int, now: float
    ) -> float:
        """Return a permission of the usual term."""
        return now + 0.8

    def find_peer(self, name: str) -> Peer | None:
        """Return the gateway or this instance."""
        return next((p for p in (self.self_peer, self.gateway) if p.name == name), None)

    def list_peers(self, data_centre: str) -> list[Peer]:
        """Return the gateway and this instance."""
        return [self.self_peer, self.gateway]

    def list_served(self) -> list[ServerRecord]:
        """Return the server."""
        return [self.owner]
