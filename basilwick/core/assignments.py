"""Work of the own instance as assigner: views, decisions and writes in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.assigner_view import AssignerView
from basilwick.core.records import DataCentreStatus
from basilwick.core.writes import BlockWrites

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from basilwick.core.configuration import Configuration
    from basilwick.core.confirmation import Confirmations
    from basilwick.core.events import Action
    from basilwick.core.roster import Roster
    from basilwick.core.servers import ServerDuties
    from basilwick.core.types import DataCentreName, MonotonicSeconds, ServiceName
    from basilwick.core.writes import AssignerDecision

__all__ = ["Assignments"]


class Assignments:
    """Lets the assigners of the own instance decide on what it knows.

    Parameters
    ----------
    data_centre : str
        Data centre of the own instance.
    configuration : Configuration
        Records and block documents.
    confirmations : Confirmations
        When generations became known to a majority of witnesses.
    roster : Roster
        Which services the own instance assigns.
    servers : ServerDuties
        Lost servers, loads and revocations.
    create_assigner : callable
        Returns the assigner of a service.
    """

    def __init__(
        self,
        data_centre: DataCentreName,
        configuration: Configuration,
        confirmations: Confirmations,
        roster: Roster,
        servers: ServerDuties,
        create_assigner: Callable[[], AssignerDecision],
    ):
        self._data_centre = data_centre
        self._configuration = configuration
        self._confirmations = confirmations
        self._roster = roster
        self._servers = servers
        self._create_assigner = create_assigner
        self._assigners: dict[ServiceName, AssignerDecision] = {}
        self._writes = BlockWrites()
        self._out_seen_at: dict[DataCentreName, MonotonicSeconds] = {}

    def decide(self, now: MonotonicSeconds, rng: Random) -> list[Action]:
        """Return the writes that the own assigners call for."""
        actions: list[Action] = []
        for name in self._configuration.services:
            if not self._roster.is_assigner(name):
                self._assigners.pop(name, None)
                continue
            if name not in self._assigners:
                self._assigners[name] = self._create_assigner()
            view = self._build_view(name, now)
            writes = self._assigners[name].decide(view, now, rng)
            actions.extend(self._writes.submit(writes))
        return actions

    def finish_write(self, key: str, write_id: str) -> None:
        """Note that a write ended, with whatever outcome."""
        self._writes.finish(key, write_id)

    def record_statuses(self, now: MonotonicSeconds) -> None:
        """Record since when each data centre has been out by its record."""
        for name, record in self._configuration.data_centres.items():
            if record.status is DataCentreStatus.OUT:
                self._out_seen_at.setdefault(name, now)
            else:
                self._out_seen_at.pop(name, None)

    def _build_view(self, service: ServiceName, now: MonotonicSeconds) -> AssignerView:
        configuration = self._configuration
        load = self._servers.merge_loads(service, now)
        return AssignerView(
            service=configuration.services[service],
            data_centre=self._data_centre,
            data_centres=configuration.data_centres,
            servers={
                name: server
                for name, server in configuration.servers.items()
                if server.service == service
            },
            blocks={
                block: stored
                for block, stored in configuration.blocks.items()
                if block[0] == service
            },
            active_at=self._confirmations.get_active_at,
            out_seen_at=self._out_seen_at,
            autonomy_s=configuration.autonomy_s,
            writing=self._writes.get_documents(),
            live_data_centres={peer.data_centre for peer in self._roster.list_all()},
            lost=self._servers.find_lost(now),
            revoked=self._servers.collect_revoked(),
            stragglers=self._servers.detector.list_stragglers(now),
            shard_loads=load.shards,
            hot_keys=load.hot_keys,
        )
