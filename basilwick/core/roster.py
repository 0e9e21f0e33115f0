"""Duties of the known instances, kept up to date with membership and records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.duties import Duties
from basilwick.core.hashing import rank_candidates
from basilwick.core.records import ServerState

if TYPE_CHECKING:
    from basilwick.core.configuration import Configuration
    from basilwick.core.membership import Membership
    from basilwick.core.routing import Peer
    from basilwick.core.types import (
        DataCentreName,
        InstanceName,
        MonotonicSeconds,
        ServerName,
        ServiceName,
    )

__all__ = ["Roster"]


class Roster:
    """Answers which instance holds which duty, the own instance included.

    Parameters
    ----------
    self_peer : Peer
        The own instance.
    membership : Membership
        The other instances.
    configuration : Configuration
        Servers and services.
    """

    def __init__(
        self, self_peer: Peer, membership: Membership, configuration: Configuration
    ):
        self._self = self_peer
        self._membership = membership
        self._configuration = configuration
        self._basis: object = None
        self._duties = Duties({}, {}, ())
        self._peers: dict[InstanceName, Peer] = {}
        self.self_ready = False
        self.self_leaving = False

    def refresh(self, now: MonotonicSeconds) -> None:
        """Recompute the duties when members, servers or services changed."""
        live = self._membership.list_live(now)
        self._peers = {member.peer.name: member.peer for member in live}
        self._peers[self._self.name] = self._self
        candidates: dict[DataCentreName, list[InstanceName]] = {}
        for member in live:
            if member.ready and not member.leaving:
                candidates.setdefault(member.peer.data_centre, []).append(
                    member.peer.name
                )
        if self.self_ready and not self.self_leaving:
            candidates.setdefault(self._self.data_centre, []).append(self._self.name)
        servers: dict[DataCentreName, list[ServerName]] = {}
        for server in self._configuration.servers.values():
            if server.state is not ServerState.OUT:
                servers.setdefault(server.data_centre, []).append(server.name)
        for names in (*candidates.values(), *servers.values()):
            names.sort()
        basis = (candidates, servers, set(self._configuration.services))
        if basis != self._basis:
            self._basis = basis
            self._duties = Duties(candidates, servers, self._configuration.services)

    @property
    def is_watcher(self) -> bool:
        """Whether the own instance holds a watch on the platform."""
        return self._self.name in self.list_watchers(self._self.data_centre)

    @property
    def is_first_watcher(self) -> bool:
        """Whether the own instance exchanges summaries with other data centres."""
        return self.list_watchers(self._self.data_centre)[:1] == [self._self.name]

    def list_watchers(self, data_centre: DataCentreName) -> list[InstanceName]:
        """Return the watchers of a data centre, best first."""
        return self._duties.list_watchers(data_centre)

    def is_assigner(self, service: ServiceName) -> bool:
        """Return whether the own instance assigns a service's blocks homed here."""
        holder = self._duties.get_assigner(service, self._self.data_centre)
        return holder == self._self.name

    def get_gateway(self, server: ServerName) -> Peer | None:
        """Return the instance through which requests for a server pass."""
        name = self._duties.get_gateway(server)
        return self._peers.get(name) if name else None

    def list_served(self) -> list[ServerName]:
        """Return the servers for which the own instance is the gateway."""
        return self._duties.list_served(self._self.name)

    def find_peer(self, name: InstanceName) -> Peer | None:
        """Return a live instance of any data centre."""
        return self._peers.get(name)

    def list_all(self) -> list[Peer]:
        """Return the live instances of all data centres, the own one included."""
        return list(self._peers.values())

    def list_peers(self, data_centre: DataCentreName) -> list[Peer]:
        """Return the live instances of a data centre, the own one included."""
        return [
            peer for peer in self._peers.values() if peer.data_centre == data_centre
        ]

    def choose_successor(self, now: MonotonicSeconds) -> InstanceName:
        """Return the instance that takes over the own operations, empty when none."""
        names = [
            member.peer.name
            for member in self._membership.list_live(now, self._self.data_centre)
            if member.ready and not member.leaving
        ]
        return next(iter(rank_candidates(f"successor\0{self._self.name}", names)), "")
