"""Moves of shards and hot keys among the servers of one data centre."""

from __future__ import annotations

from collections import Counter
from math import ceil, inf
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.assignment import MAX_HOT_KEYS
from basilwick.core.placement import (
    HIGH_LOAD,
    LOW_LOAD,
    Unit,
    compute_mean,
    place_units,
    plan_rebalance,
    spread_capacity,
)
from basilwick.core.records import ServerState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from basilwick.core.assigner import AssignerView
    from basilwick.core.assignment import BlockDocument
    from basilwick.core.placement import Capacity
    from basilwick.core.types import (
        BlockId,
        KeyHash,
        MonotonicSeconds,
        ServerName,
        ShardIndex,
    )

__all__ = [
    "MAX_MOVES_IN_FLIGHT",
    "BlockMoves",
    "MovePlanner",
    "compute_base_load",
    "is_balanced",
    "list_draining",
    "list_receivers",
]

#: Most shards that a server may be receiving at once, because a server that has just
#: received new shards can handle little load.
MAX_MOVES_IN_FLIGHT = 8
# A straggler counts as a server of half its slots, so its hottest shards move away.
_STRAGGLER_WEIGHT = 0.5
# Load of a shard without requests, as a share of the mean shard, so that idle shards
# are spread by number.
_BASE_LOAD_SHARE = 0.1
# A key is worth an owner of its own above this share of the mean load of a server,
# and goes back to its shard below the lower share.
_HOT_KEY_SHARE = 0.2
_COLD_KEY_SHARE = 0.05


@define
class BlockMoves:
    """Moves of one block, all made by one write."""

    owners: dict[ShardIndex, ServerName] = field(factory=dict)
    hot: dict[KeyHash, ServerName | None] = field(factory=dict)
    reasons: dict[str, int] = field(factory=dict)

    def add(self, unit: Unit, owner: ServerName | None, reason: str) -> None:
        """Add the move of a unit; no owner returns a hot key to its shard."""
        if unit.key_hash is not None:
            self.hot[unit.key_hash] = owner
        elif owner is not None:
            self.owners[unit.shard] = owner
        self.reasons[reason] = self.reasons.get(reason, 0) + 1


def list_receivers(view: AssignerView) -> dict[ServerName, float]:
    """Return the servers that may get shards, with their relative capacity."""
    return {
        name: server.slots * (_STRAGGLER_WEIGHT if name in view.stragglers else 1.0)
        for name, server in view.servers.items()
        if server.data_centre == view.data_centre
        and server.state is ServerState.ACTIVE
        and name not in view.lost
    }


def list_draining(view: AssignerView) -> set[ServerName]:
    """Return the servers that still serve their shards but give them away."""
    return {
        name
        for name, server in view.servers.items()
        if server.data_centre == view.data_centre
        and server.state is ServerState.DRAINING
        and name not in view.lost
    }


def is_balanced(view: AssignerView, documents: Mapping[BlockId, BlockDocument]) -> bool:
    """Return whether a plan for better balance would certainly be empty.

    Much cheaper than the plan, which matters for blocks of 1,000 shards.
    """
    servers = spread_capacity(list_receivers(view), ())
    base = compute_base_load(view, documents)
    for document in documents.values():
        if document.hot:
            return False
        for shard, ownership in document.shards.items():
            if server := servers.get(ownership.owner):
                server.load += view.shard_loads.get(shard, 0.0) + base
    mean = compute_mean(servers.values())
    return all(
        LOW_LOAD * mean <= server.relative_load <= HIGH_LOAD * mean
        for server in servers.values()
    )


def compute_base_load(
    view: AssignerView, documents: Mapping[BlockId, BlockDocument]
) -> float:
    """Return the load that every shard counts with, in requests a second."""
    total = sum(view.shard_loads.values())
    shards = max(1, sum(len(document.shards) for document in documents.values()))
    return _BASE_LOAD_SHARE * total / shards if total else 1.0


class MovePlanner:
    """Plans the moves of one decision; loads and limits add up over the steps.

    Parameters
    ----------
    view : AssignerView
        Facts of the decision.
    documents : mapping of (str, int) to BlockDocument
        Active blocks whose home is here, as they are after writes still in progress.
    is_locked : callable
        Whether a block cannot be written now.
    now : float
        Local time in seconds.
    """

    def __init__(
        self,
        view: AssignerView,
        documents: Mapping[BlockId, BlockDocument],
        is_locked: Callable[[BlockId], bool],
        now: MonotonicSeconds,
    ):
        self.moves: dict[BlockId, BlockMoves] = {}
        self._view = view
        self._documents = documents
        self._is_locked = is_locked
        self._receivers = list_receivers(view)
        self._draining = list_draining(view)
        self._base_load = compute_base_load(view, documents)
        self._units = [
            unit
            for document in documents.values()
            for unit in self._list_units(document)
        ]
        self._in_flight: Counter[ServerName] = Counter()
        self._departed: set[ServerName] = set()
        for id_, document in documents.items():
            self._count_pending(id_, document, now)
        self._servers = spread_capacity(self._receivers, self._units)

    def _list_units(self, document: BlockDocument) -> list[Unit]:
        loads = {
            shard: self._view.shard_loads.get(shard, 0.0) for shard in document.shards
        }
        units = []
        for key_hash, ownership in document.hot.items():
            shard = document.get_shard(key_hash)
            if ownership.owner != document.shards[shard].owner:
                rate = self._view.hot_keys.get(key_hash, (shard, 0.0))[1]
                loads[shard] = max(0.0, loads[shard] - rate)
                units.append(
                    Unit(document.service, shard, ownership.owner, rate, key_hash)
                )
        units.extend(
            Unit(
                document.service, shard, ownership.owner, loads[shard] + self._base_load
            )
            for shard, ownership in document.shards.items()
        )
        return units

    def _count_pending(
        self, id_: BlockId, document: BlockDocument, now: MonotonicSeconds
    ) -> None:
        active: dict[int, bool] = {}
        for ownership in document.iter_ownerships():
            self._departed.add(ownership.owner)
            if ownership.moved_from is None:
                continue
            if ownership.fence not in active:
                active[ownership.fence] = (
                    self._view.active_at(id_, ownership.fence) <= now
                )
            if not active[ownership.fence]:
                self._in_flight[ownership.owner] += 1
                self._departed.add(ownership.moved_from)
        self._departed -= {"", *self._receivers, *self._draining}

    def _get_block(self, unit: Unit) -> BlockId:
        return (unit.service, unit.shard // self._view.service.shards_per_block)

    def _add(self, moves: Mapping[Unit, ServerName], reason: str) -> None:
        for unit, owner in moves.items():
            self._in_flight[owner] += 1
            self.moves.setdefault(self._get_block(unit), BlockMoves()).add(
                unit, owner, reason
            )

    def _limit_room(self, limit: float) -> None:
        for name, server in self._servers.items():
            server.room = max(0.0, limit - self._in_flight[name])

    def place_block(self, shards: Iterable[ShardIndex]) -> dict[ShardIndex, ServerName]:
        """Place all shards of a block that is created, taken or activated here."""
        loads = self._view.shard_loads
        units = [
            Unit(self._view.service.name, n, "", loads.get(n, 0.0) + self._base_load)
            for n in shards
        ]
        self._limit_room(inf)
        placed = place_units(units, self._servers)
        return {unit.shard: owner for unit, owner in placed.items()}

    def plan_departures(self) -> None:
        """Move shards off servers that are lost, out or draining; hottest first.

        The shards of a single lost server all move at once, however many they are,
        because a second wave would start only after the wait of the first and miss the
        2 s within which a key is served again. When several servers are lost, a
        receiver has at most the larger of MAX_MOVES_IN_FLIGHT and an even share of one
        lost server's shards in flight; the rest follows in waves.
        """
        waiting = [u for u in self._units if not self._is_locked(self._get_block(u))]
        urgent = [
            unit
            for unit in waiting
            if unit.owner not in self._receivers and unit.owner not in self._draining
        ]
        unowned = [unit for unit in urgent if not unit.owner]
        self._limit_room(inf)
        self._add(place_units(unowned, self._servers), "unowned")
        lost = [unit for unit in urgent if unit.owner]
        if lost:
            self._limit_room(self._compute_loss_limit(lost))
            self._add(place_units(lost, self._servers), "server lost or out")
        planned = [unit for unit in waiting if unit.owner in self._draining]
        self._limit_room(MAX_MOVES_IN_FLIGHT)
        self._add(place_units(planned, self._servers), "server draining")

    def _compute_loss_limit(self, lost: Iterable[Unit]) -> float:
        if len(self._departed) <= 1:
            return inf
        most = max(Counter(unit.owner for unit in lost).values())
        return max(MAX_MOVES_IN_FLIGHT, ceil(most / max(1, len(self._receivers))))

    def plan_rebalance(self, is_settled: Callable[[Unit], bool]) -> None:
        """Even out measured load, with hot keys on owners of their own if needed.

        Parameters
        ----------
        is_settled : callable
            Whether a unit has not moved for long enough.
        """
        units = [
            Unit(u.service, u.shard, u.owner, u.load, u.key_hash, is_movable)
            for u in self._units
            for is_movable in (
                not self._is_locked(self._get_block(u)) and is_settled(u),
            )
        ]
        mean = self._compute_mean_load()
        self._return_cold_keys(units, mean)
        self._limit_room(MAX_MOVES_IN_FLIGHT)
        moves = plan_rebalance(units, self._servers, self._list_splittable(units, mean))
        self._add(self._drop_excess_keys(moves), "rebalance")

    def _compute_mean_load(self) -> float:
        load = sum(server.load for server in self._servers.values())
        return load / max(1, len(self._servers))

    def _return_cold_keys(self, units: list[Unit], mean: float) -> None:
        if not self._view.shard_loads:
            return
        for unit in list(units):
            cold = unit.key_hash is not None and unit.load < _COLD_KEY_SHARE * mean
            if cold and unit.movable:
                units.remove(unit)
                block = self.moves.setdefault(self._get_block(unit), BlockMoves())
                block.add(unit, None, "hot key cooled")

    def _list_splittable(self, units: Iterable[Unit], mean: float) -> list[Unit]:
        by_shard = {u.shard: u for u in units if u.key_hash is None and u.movable}
        listed = []
        for key_hash, (shard, rate) in self._view.hot_keys.items():
            unit = by_shard.get(shard)
            if unit is None or rate < _HOT_KEY_SHARE * mean:
                continue
            if key_hash not in self._documents[self._get_block(unit)].hot:
                load = min(rate, unit.load)
                listed.append(Unit(unit.service, shard, unit.owner, load, key_hash))
        return listed

    def _drop_excess_keys(
        self, moves: Mapping[Unit, ServerName]
    ) -> dict[Unit, ServerName]:
        kept: dict[Unit, ServerName] = {}
        counts = {id_: len(doc.hot) for id_, doc in self._documents.items()}
        for unit, owner in moves.items():
            id_ = self._get_block(unit)
            if unit.key_hash is not None and (
                unit.key_hash not in self._documents[id_].hot
            ):
                counts[id_] += 1
                if counts[id_] > MAX_HOT_KEYS:
                    continue
            kept[unit] = owner
        return kept

    @property
    def servers(self) -> Mapping[ServerName, Capacity]:
        """Load and room of the receiving servers, planned moves included."""
        return self._servers
