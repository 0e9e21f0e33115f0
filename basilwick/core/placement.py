"""Which backend server gets which shards, by measured load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, frozen

from basilwick.core.hashing import rank_candidates
from basilwick.core.timing import MOVE_WAIT_S

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

    from basilwick.core.types import KeyHash, ServerName, ServiceName, ShardIndex

__all__ = [
    "HIGH_LOAD",
    "LOW_LOAD",
    "Capacity",
    "Unit",
    "compute_mean",
    "place_units",
    "plan_rebalance",
    "spread_capacity",
]

#: A server above this multiple of the mean load gives shards away.
HIGH_LOAD = 1.25
#: A server below this multiple of the mean load receives shards. Without it a server
#: that joins ten others would get none, because they stay below HIGH_LOAD.
LOW_LOAD = 0.75
# Moves stop once the servers are within these multiples; the gap to the limits above
# keeps a server near a limit from starting moves again and again.
_ENOUGH_ABOVE = 1.1
_ENOUGH_BELOW = 0.9
# Tight, so that measured load rather than the initial placement decides later moves.
_SLACK = 1.05
# A better balance counts for this long, the shortest time between two moves of a shard.
_GAIN_HORIZON_S = 30.0
# Fixed cost of a move as a share of the mean load: its block is written twice.
_MOVE_COST = 0.005
# A hot key takes one of few entries, so it must beat the best shard by this share.
_HOT_KEY_ADVANTAGE = 0.05


@frozen
class Unit:
    """A shard or a hot key, the smallest thing that moves.

    Attributes
    ----------
    service : str
        Service of the shard.
    shard : int
        The shard, or the shard of the hot key.
    owner : str
        Present owner, empty for none.
    load : float
        Requests a second.
    key_hash : int or None
        The hot key, None for a shard.
    movable : bool
        Whether it may be moved for better balance now.
    """

    service: ServiceName
    shard: ShardIndex
    owner: ServerName
    load: float
    key_hash: KeyHash | None = None
    movable: bool = True

    @property
    def name(self) -> str:
        """Text by which the unit is hashed."""
        suffix = "" if self.key_hash is None else f"/{self.key_hash:016x}"
        return f"{self.service}/{self.shard}{suffix}"


@define
class Capacity:
    """How much a server holds and may still receive.

    Attributes
    ----------
    weight : float
        Relative capacity.
    load : float
        Requests a second of the units that it owns.
    room : float
        Number of units that it may still receive, infinite for no limit.
    """

    weight: float = 1.0
    load: float = 0.0
    room: float = float("inf")

    @property
    def relative_load(self) -> float:
        """Load divided by weight."""
        return self.load / self.weight

    def take(self, unit: Unit) -> None:
        """Count a unit that the server receives."""
        self.load += unit.load
        self.room -= 1


def place_units(
    units: Iterable[Unit], servers: Mapping[ServerName, Capacity]
) -> dict[Unit, ServerName]:
    """Choose an owner for units that need one; hottest first.

    Rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018):
    a unit goes to the first server in its rendezvous order whose load stays below the
    bound, or to the least loaded one if a unit is too hot for all. Every instance that
    sees the same loads comes to the same placement, and the choice for one unit depends
    little on the others.

    Parameters
    ----------
    units : iterable of Unit
        Units without a usable owner.
    servers : mapping of str to Capacity
        Servers that can receive; the units placed are added to them.

    Returns
    -------
    dict of Unit to str
        The server of each unit; units that no server has room for are missing.
    """
    waiting = sorted(units, key=lambda unit: (-unit.load, unit.name))
    weight = sum(server.weight for server in servers.values())
    if not weight:
        return {}
    load = sum(server.load for server in servers.values())
    bound = _SLACK * (load + sum(unit.load for unit in waiting)) / weight
    placed = {}
    for unit in waiting:
        name = _choose_server(unit, servers, bound)
        if name is not None:
            servers[name].take(unit)
            placed[unit] = name
    return placed


def _choose_server(
    unit: Unit, servers: Mapping[ServerName, Capacity], bound: float
) -> ServerName | None:
    ranked = rank_candidates(
        unit.name, (name for name, server in servers.items() if server.room >= 1)
    )
    for name in ranked:
        if (servers[name].load + unit.load) / servers[name].weight <= bound:
            return name
    return min(
        ranked,
        key=lambda name: (servers[name].load + unit.load) / servers[name].weight,
        default=None,
    )


def spread_capacity(
    weights: Mapping[ServerName, float], units: Iterable[Unit]
) -> dict[ServerName, Capacity]:
    """Return the servers with the load of the units that they own."""
    servers = {name: Capacity(weight) for name, weight in weights.items()}
    for unit in units:
        if unit.owner in servers:
            servers[unit.owner].load += unit.load
    return servers


def compute_mean(servers: Collection[Capacity]) -> float:
    """Return the load of all servers divided by their weight."""
    weight = sum(server.weight for server in servers)
    return sum(server.load for server in servers) / weight if weight else 0.0


def plan_rebalance(
    units: Iterable[Unit],
    servers: Mapping[ServerName, Capacity],
    splittable: Iterable[Unit] = (),
) -> dict[Unit, ServerName]:
    """Choose moves that even out measured load; few, and only where they pay.

    Greedy pairing of the most and least loaded servers, as for the load-aware key
    ranges of Slicer (Adya et al., 2016): each move is the one that lowers the higher
    load of the pair most, so that few moves are needed. It must pay: the load taken off
    the pair's higher server, over 30 s, must exceed the requests held during the move.

    Parameters
    ----------
    units : iterable of Unit
        All units that have an owner; only movable ones move.
    servers : mapping of str to Capacity
        Servers with the load that they hold; planned moves are added to them.
    splittable : iterable of Unit
        Hot keys that could get an owner of their own; their load is part of a shard's.

    Returns
    -------
    dict of Unit to str
        The new server of each unit that moves.
    """
    mean = compute_mean(servers.values())
    if not mean:
        return {}
    held: dict[ServerName, list[Unit]] = {name: [] for name in servers}
    keys: dict[ServerName, list[Unit]] = {name: [] for name in servers}
    for listed, found in ((units, held), (splittable, keys)):
        for unit in listed:
            if unit.movable and unit.load > 0 and unit.owner in found:
                found[unit.owner].append(unit)
    givers = {n for n, s in servers.items() if s.relative_load > HIGH_LOAD * mean}
    takers = {n for n, s in servers.items() if s.relative_load < LOW_LOAD * mean}

    def is_worth_moving(source: ServerName, target: ServerName) -> bool:
        high = servers[source].relative_load / mean
        low = servers[target].relative_load / mean
        return low < 1 < high and (
            (source in givers and high > _ENOUGH_ABOVE)
            or (target in takers and low < _ENOUGH_BELOW)
        )

    moves: dict[Unit, ServerName] = {}
    # Every move uses up a unit, so the loop ends.
    while pair := _choose_pair(servers, held, keys, mean, is_worth_moving):
        unit, target = pair
        for found in (held, keys):
            found[unit.owner] = [
                other for other in found[unit.owner] if not _overlap(unit, other)
            ]
        servers[unit.owner].load -= unit.load
        servers[target].take(unit)
        moves[unit] = target
    return moves


def _overlap(moved: Unit, other: Unit) -> bool:
    # A shard's load includes that of its keys, so only one of them can move at once.
    return moved.shard == other.shard


def _choose_pair(
    servers: Mapping[ServerName, Capacity],
    held: Mapping[ServerName, list[Unit]],
    keys: Mapping[ServerName, list[Unit]],
    mean: float,
    is_worth_moving: Callable[[ServerName, ServerName], bool],
) -> tuple[Unit, ServerName] | None:
    by_load = sorted(servers, key=lambda name: (servers[name].relative_load, name))
    open_targets = [name for name in by_load if servers[name].room >= 1]
    if not open_targets:
        return None
    lowest = open_targets[0]
    # A server whose units are too hot to move must not keep others from giving theirs.
    for source in reversed(by_load):
        if not is_worth_moving(source, lowest):
            continue
        chosen = _choose_unit(servers[source], servers[lowest], held[source], mean)
        key = _choose_unit(servers[source], servers[lowest], keys[source], mean)
        if key and (not chosen or key[0] > chosen[0] + _HOT_KEY_ADVANTAGE * mean):
            chosen = key
        if chosen:
            return chosen[1], lowest
    return None


def _choose_unit(
    source: Capacity, target: Capacity, units: Sequence[Unit], mean: float
) -> tuple[float, Unit] | None:
    best = None
    for unit in units:
        after = max(
            (source.load - unit.load) / source.weight,
            (target.load + unit.load) / target.weight,
        )
        gain = source.relative_load - after
        cost = unit.load * MOVE_WAIT_S / _GAIN_HORIZON_S + _MOVE_COST * mean
        if gain > cost and (best is None or gain > best[0]):
            best = (gain, unit)
    return best
