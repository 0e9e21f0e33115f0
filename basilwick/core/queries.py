"""Answers the request path's queries from the state of the control decisions."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from basilwick.core.assignment import BlockState
from basilwick.core.errors import ErrorKind, Refusal, make_refusal
from basilwick.core.hashing import compute_key_hash
from basilwick.core.routing import Location, Peer
from basilwick.core.servers import ServerDuties

if TYPE_CHECKING:
    from random import Random

    from basilwick.core.configuration import Configuration
    from basilwick.core.confirmation import Confirmations
    from basilwick.core.membership import Membership
    from basilwick.core.records import ServerRecord, ServiceRecord
    from basilwick.core.roster import Roster
    from basilwick.core.types import (
        BlockId,
        DataCentreName,
        Generation,
        InstanceName,
        MonotonicSeconds,
        ServerName,
        ServiceName,
    )

__all__ = ["RoutingQueries"]


class RoutingQueries:
    """Implements the part of RoutingView that reads state.

    Parameters
    ----------
    self_peer : Peer
        The own instance.
    configuration : Configuration
        Records and block documents.
    confirmations : Confirmations
        Rights of the own instance.
    membership : Membership
        Other instances.
    roster : Roster
        Duties of the instances.
    """

    def __init__(
        self,
        self_peer: Peer,
        configuration: Configuration,
        confirmations: Confirmations,
        membership: Membership,
        roster: Roster,
    ):
        self.self_peer = self_peer
        self.configuration = configuration
        self.confirmations = confirmations
        self.membership = membership
        self.roster = roster
        self.servers = ServerDuties(
            self_peer.name,
            self_peer.data_centre,
            configuration,
            confirmations,
            roster,
        )
        # Generator of the latest event; draws the sample of keys that are counted.
        self._rng: Random | None = None

    @property
    def ready(self) -> bool:
        """Whether configuration, documents and one confirmation are known."""
        return self.roster.self_ready

    def get_service(self, name: ServiceName) -> ServiceRecord | None:
        """Return the record of a service."""
        return self.configuration.services.get(name)

    def locate(
        self, service: ServiceRecord, key: str, now: MonotonicSeconds
    ) -> Location | Refusal:
        """Return where a key is served, or why that is not known."""
        key_hash = compute_key_hash(service.name, key)
        shard = key_hash % service.shard_count
        block = (service.name, shard // service.shards_per_block)
        stored = self.configuration.blocks.get(block)
        if stored is None:
            return make_refusal(
                ErrorKind.NO_OWNER, f"block {block[1]} of {block[0]!r} is not known yet"
            )
        document = stored.document
        is_home = document.home == self.self_peer.data_centre
        if not is_home and not self.roster.list_peers(document.home):
            return make_refusal(
                ErrorKind.CUT_OFF,
                f"no instance of data centre {document.home!r} can be reached",
            )
        ownership = document.get_ownership(shard, key_hash)
        owner = self.configuration.servers.get(ownership.owner)
        # The home data centre itself waits for its shards to become active.
        active_at = (
            self.confirmations.get_usable_at(block, ownership) if is_home else 0.0
        )
        if document.state is not BlockState.ACTIVE:
            owner, active_at = None, inf
        return Location(
            service=service.name,
            shard=shard,
            block=block,
            key_hash=key_hash,
            home=document.home,
            generation=document.generation,
            fence=ownership.fence,
            owner=owner,
            active_at=active_at,
            gateway=self.roster.get_gateway(owner.name) if owner else None,
        )

    def get_permission_end(
        self, block: BlockId, generation: Generation, now: MonotonicSeconds
    ) -> MonotonicSeconds:
        """Return the local time at which the right to send ends, 0 without a right."""
        stored = self.configuration.blocks.get(block)
        if stored is None or stored.document.home != self.self_peer.data_centre:
            return 0.0
        return self.confirmations.get_permission_end(block, generation, now)

    def find_peer(self, name: InstanceName) -> Peer | None:
        """Return a live instance of any data centre."""
        return self.roster.find_peer(name)

    def list_peers(self, data_centre: DataCentreName) -> list[Peer]:
        """Return the live instances of a data centre, this one included."""
        return self.roster.list_peers(data_centre)

    def list_served(self) -> list[ServerRecord]:
        """Return the servers for which this instance is the gateway."""
        names = self.roster.list_served()
        servers = self.configuration.servers
        return [servers[name] for name in names if name in servers]

    def find_successor(self, name: InstanceName, incarnation: str) -> Peer | None:
        """Return the live instance that took over the operations of a process."""
        member = self.membership.get_member(name)
        if member is None or member.peer.incarnation != incarnation:
            return None
        return self.roster.find_peer(member.successor) if member.successor else None

    def map_to_server_clock(
        self, server: ServerName, at: MonotonicSeconds
    ) -> float | None:
        """Return a local time in milliseconds on the server's clock, rounded down."""
        return self.servers.map_to_server_clock(server, at)

    def record_result(
        self, server: ServerName, succeeded: bool, now: MonotonicSeconds
    ) -> None:
        """Count the result of a request as evidence about a server."""
        self.servers.record_result(server, succeeded, now)

    def record_request(self, location: Location, now: MonotonicSeconds) -> None:
        """Count a request that is about to be sent, as load and as running work."""
        if self._rng is not None:
            self.servers.record_request(location, now, self._rng)

    def record_finish(self, location: Location) -> None:
        """Note that a counted request ended."""
        self.servers.record_finish(location)
