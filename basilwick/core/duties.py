"""Which instance is gateway of a server, assigner of a service, or watcher."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.hashing import assign_bounded, rank_candidates

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from basilwick.core.types import (
        DataCentreName,
        InstanceName,
        ServerName,
        ServiceName,
    )

__all__ = ["WATCHERS_PER_DATA_CENTRE", "Duties"]

#: Two watchers keep changes flowing while the loss of one is being noticed.
WATCHERS_PER_DATA_CENTRE = 2


class Duties:
    """Duties of the instances of all data centres, from one membership view.

    Duties are a matter of efficiency and not of safety: two instances with different
    views may both act, and compare-and-swap and permissions keep them apart.

    Parameters
    ----------
    candidates : mapping of str to iterable of str
        Names of the live, ready, non-leaving instances by data centre.
    servers : mapping of str to iterable of str
        Names of the servers by data centre.
    services : iterable of str
        Names of all services.
    """

    def __init__(
        self,
        candidates: Mapping[DataCentreName, Iterable[InstanceName]],
        servers: Mapping[DataCentreName, Iterable[ServerName]],
        services: Iterable[ServiceName],
    ):
        self._candidates = {
            data_centre: tuple(sorted(names))
            for data_centre, names in candidates.items()
        }
        self._services = tuple(sorted(services))
        self._gateways: dict[ServerName, InstanceName] = {}
        for data_centre, names in servers.items():
            instances = self._candidates.get(data_centre, ())
            self._gateways |= assign_bounded(list(names), instances)

    def get_gateway(self, server: ServerName) -> InstanceName | None:
        """Return the instance through which requests for a server pass."""
        return self._gateways.get(server)

    def list_served(self, instance: InstanceName) -> list[ServerName]:
        """Return the servers for which an instance is the gateway."""
        return [name for name, holder in self._gateways.items() if holder == instance]

    def get_assigner(
        self, service: ServiceName, data_centre: DataCentreName
    ) -> InstanceName | None:
        """Return the instance that assigns a service's blocks of a data centre."""
        instances = self._candidates.get(data_centre, ())
        return assign_bounded(self._services, instances).get(service)

    def list_watchers(self, data_centre: DataCentreName) -> list[InstanceName]:
        """Return the instances that hold a watch on the platform, best first."""
        ranked = rank_candidates(
            f"watcher\0{data_centre}", self._candidates.get(data_centre, ())
        )
        return ranked[:WATCHERS_PER_DATA_CENTRE]
