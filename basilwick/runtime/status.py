"""What the admin port shows of an instance."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING, Any

from basilwick.core.events import WriteAnswered
from basilwick.core.messages import SCHEMA_MAX

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilwick.core.configuration import Configuration, Entry
    from basilwick.core.control import ControlNode
    from basilwick.core.routing import RoutingView
    from basilwick.core.types import InstanceName
    from basilwick.metrics import Metrics
    from basilwick.runtime.control import ControlLoop

__all__ = ["InstanceView"]


class InstanceView:
    """Implements what the admin port asks of an instance.

    Parameters
    ----------
    loop : ControlLoop
        Control decisions and their events.
    """

    def __init__(self, loop: ControlLoop):
        self._loop = loop
        self._node: ControlNode = loop.node

    @property
    def configuration(self) -> Configuration:
        """Records and block documents that the instance knows."""
        return self._node.configuration

    @property
    def routing(self) -> RoutingView:
        """Routing decisions, for explanations."""
        return self._node

    def get_status(self) -> Mapping[str, Any]:
        """Return readiness, members, blocks and servers as JSON data."""
        node, now = self._node, monotonic()
        peer = node.self_peer
        return {
            "instance": peer.name,
            "incarnation": peer.incarnation,
            "data_centre": peer.data_centre,
            "ready": node.ready,
            "platform_age_s": _round_finite(node.confirmations.get_platform_age(now)),
            "is_witness": node.confirmations.is_witness,
            "witness_ready": node.confirmations.witness_ready,
            "members": [
                {"name": other.name, "data_centre": other.data_centre}
                for other in node.roster.list_all()
            ],
            "gateway_of": list(node.roster.list_served()),
            "assigner_of": [
                name
                for name in node.configuration.services
                if node.roster.is_assigner(name)
            ],
            "lost_servers": sorted(node.servers.find_lost(now)),
            "blocks": self._list_blocks(now),
            "shards_by_server": self._count_shards(),
        }

    def list_schema_max(self) -> Mapping[InstanceName, int]:
        """Return the highest record schema that each live instance reads."""
        node, now = self._node, monotonic()
        schemas = {
            member.peer.name: member.schema_max
            for member in node.membership.list_live(now)
        }
        return {**schemas, node.self_peer.name: SCHEMA_MAX}

    def announce(self, entry: Entry) -> None:
        """Put a stored record into force here and pass it on."""
        self._loop.handle(WriteAnswered(entry.key, "", entry.value, entry.revision))

    def update_metrics(self, metrics: Metrics) -> None:
        """Set the gauges of the control decisions."""
        node, now = self._node, monotonic()
        metrics.ready.set(node.ready)
        metrics.revision.set(node.configuration.revision)
        metrics.platform_age_seconds.set(node.confirmations.get_platform_age(now))
        metrics.blocks_permitted.set(
            sum(block["permitted"] for block in self._list_blocks(now))
        )
        members = [other.data_centre for other in node.roster.list_all()]
        for name in node.configuration.data_centres:
            metrics.members.labels(name).set(members.count(name))

    def _list_blocks(self, now: float) -> list[dict[str, Any]]:
        node = self._node
        return [
            {
                "service": document.service,
                "block": document.block,
                "home": document.home,
                "state": document.state.value,
                "generation": document.generation,
                "pending_moves": len(document.list_pending()),
                "permitted": node.get_permission_end(
                    document.id, document.generation, now
                )
                > now,
            }
            for document in (
                stored.document for stored in node.configuration.blocks.values()
            )
        ]

    def _count_shards(self) -> dict[str, int]:
        counts = dict.fromkeys(self._node.configuration.servers, 0)
        for stored in self._node.configuration.blocks.values():
            for ownership in stored.document.shards.values():
                if ownership.owner:
                    counts[ownership.owner] = counts.get(ownership.owner, 0) + 1
        return counts


def _round_finite(seconds: float) -> float | None:
    # JSON has no infinity; None stands for no contact yet.
    return None if seconds == float("inf") else round(seconds, 3)
