"""Churn and imbalance of placement beside plain alternatives, as JSON.

Three strategies see the same shards, Zipf loads and changes of servers:

- ``basilwick``: the assigner, until it makes no more writes;
- ``consistent hashing``: a ring with 100 points a server;
- ``full reassignment``: all shards by load from scratch at each change.

Churn is the share of the load whose owner changed; imbalance is the highest load of a
server relative to the mean.
"""

from __future__ import annotations

from bisect import bisect
from collections import Counter
from random import Random

from attrs import evolve
from click import command, echo, option
from orjson import OPT_INDENT_2, dumps
from xxhash import xxh3_64_intdigest

from basilwick.core.assigner import Assigner, AssignerView, StoredBlock
from basilwick.core.records import DataCentreRecord, ServerRecord, ServiceRecord

SERVICE = ServiceRecord("clue")
SHARDS = range(SERVICE.shard_count)
SIZES = (20, 7, 6, 10)
KEYS = 20_000
POINTS = 100


def draw_loads(skew: float, rng: Random) -> tuple[dict[int, float], dict]:
    """Return requests a second by shard, and of the 32 hottest keys."""
    weights = [1 / (rank + 1) ** skew for rank in range(KEYS)]
    scale = 10_000 / sum(weights)
    loads = Counter(dict.fromkeys(SHARDS, 0.0))
    hot_keys = {}
    for rank, weight in enumerate(weights):
        key_hash = rng.getrandbits(64)
        loads[key_hash % len(SHARDS)] += weight * scale
        if rank < 32:
            hot_keys[key_hash] = (key_hash % len(SHARDS), weight * scale)
    return dict(loads), hot_keys


class BasilwickStrategy:
    """The assigner with a platform that answers at once."""

    def __init__(self, seed: int):
        self._assigner = Assigner()
        self._rng = Random(seed)
        self._blocks: dict = {}
        self._now = 0.0

    def place(self, names: list[str], loads: dict, hot_keys: dict) -> dict:
        """Run for 300 s and return the owner of each shard and hot key."""
        servers = {
            name: ServerRecord(name, "clue", "a", "127.0.0.1:1") for name in names
        }
        view = AssignerView(
            service=SERVICE,
            data_centre="a",
            data_centres={"a": DataCentreRecord("a")},
            servers=servers,
            blocks=self._blocks,
            active_at=lambda id_, generation: 0.0,
            shard_loads=loads,
            hot_keys=hot_keys,
        )
        for _ in range(300):
            self._now += 1.0
            for action in self._assigner.decide(view, self._now, self._rng):
                stored = StoredBlock(action.document, action.document.generation)
                self._blocks = {**self._blocks, action.document.id: stored}
            view = evolve(view, blocks=self._blocks)
        owners: dict = {}
        for stored in self._blocks.values():
            for shard, ownership in stored.document.shards.items():
                owners[shard, None] = ownership.owner
            for key_hash, ownership in stored.document.hot.items():
                owners[stored.document.get_shard(key_hash), key_hash] = ownership.owner
        return owners


class RingStrategy:
    """Plain consistent hashing (Karger et al., 1997)."""

    def __init__(self, seed: int):
        self._seed = seed

    def place(self, names: list[str], loads: dict, hot_keys: dict) -> dict:
        """Return the owner of each shard by the next point on the ring."""
        ring = sorted(
            (xxh3_64_intdigest(f"{name}/{n}".encode(), seed=self._seed), name)
            for name in names
            for n in range(POINTS)
        )
        points = [point for point, _ in ring]
        return {
            (shard, None): ring[
                bisect(points, xxh3_64_intdigest(f"shard/{shard}".encode())) % len(ring)
            ][1]
            for shard in SHARDS
        }


class ReassignStrategy:
    """Longest processing time first, from scratch at each change."""

    def __init__(self, seed: int):
        self._seed = seed

    def place(self, names: list[str], loads: dict, hot_keys: dict) -> dict:
        """Return the owner of each shard, hottest shards first to the least loaded."""
        held = dict.fromkeys(names, 0.0)
        owners = {}
        for shard in sorted(SHARDS, key=lambda shard: (-loads[shard], shard)):
            name = min(held, key=lambda name: (held[name], name))
            held[name] += loads[shard]
            owners[shard, None] = name
        return owners


STRATEGIES = {
    "basilwick": BasilwickStrategy,
    "consistent hashing": RingStrategy,
    "full reassignment": ReassignStrategy,
}


def split_loads(owners: dict, loads: dict, hot_keys: dict) -> dict:
    """Return the load of each hot key that is known, and of the rest of each shard."""
    parts = {(shard, None): load for shard, load in loads.items()}
    for key_hash, (shard, rate) in hot_keys.items():
        parts[shard, key_hash] = rate
        parts[shard, None] -= rate
    return parts


def get_owner(owners: dict, part: tuple) -> str:
    """Return the owner of a part, which is that of its shard by default."""
    return owners.get(part) or owners[part[0], None]


def measure(before: dict, after: dict, names: list[str], change: tuple) -> dict:
    """Compare two placements under the loads after the change."""
    loads, hot_keys = change
    parts = split_loads(after, loads, hot_keys)
    held = dict.fromkeys(names, 0.0)
    moved = 0.0
    for part, load in parts.items():
        owner = get_owner(after, part)
        held[owner] += load
        moved += load * (bool(before) and get_owner(before, part) != owner)
    total = sum(loads.values())
    moved_shards = sum(
        owner != after[part] for part, owner in before.items() if part[1] is None
    )
    return {
        "churn": round(moved / total, 4),
        "moved_shards": moved_shards,
        "imbalance": round(max(held.values()) * len(names) / total, 3),
    }


def run_changes(name: str, size: int, skew: float, seed: int) -> dict:
    """Measure one strategy through a start, a join, a leave and a hot key."""
    rng = Random(seed)
    strategy = STRATEGIES[name](seed)
    normal = draw_loads(skew, rng)
    names = [f"s{n}" for n in range(size)]
    joined = [*names, "joined"]
    left = joined[1:]
    # One key gets half the load of a server on top.
    key_hash = rng.getrandbits(64)
    rate = 10_000 / size / 2
    shard = key_hash % len(SHARDS)
    loads = {**normal[0], shard: normal[0][shard] + rate}
    heated = (loads, {**normal[1], key_hash: (shard, rate)})
    results, before = {}, {}
    for step, servers, change in (
        ("start", names, normal),
        ("join", joined, normal),
        ("leave", left, normal),
        ("hot key", left, heated),
    ):
        after = strategy.place(servers, *change)
        results[step] = measure(before, after, servers, change)
        before = after
    return results


@command()
@option("--skew", default=0.9, show_default=True, help="Exponent of the Zipf law.")
@option("--seeds", default=3, show_default=True, help="Number of runs.")
def main(skew: float, seeds: int) -> None:
    """Print churn and imbalance, the median over the runs."""
    report = {}
    for size in SIZES:
        report[f"{size} servers"] = {
            name: summarize([run_changes(name, size, skew, s) for s in range(seeds)])
            for name in STRATEGIES
        }
    settings = {"skew": skew, "seeds": seeds, "keys": KEYS, "shards": len(SHARDS)}
    echo(dumps({"settings": settings, "results": report}, option=OPT_INDENT_2))


def summarize(runs: list[dict]) -> dict:
    """Return the median of each measure."""
    return {
        step: {
            measure_: sorted(run[step][measure_] for run in runs)[len(runs) // 2]
            for measure_ in runs[0][step]
        }
        for step in runs[0]
    }


if __name__ == "__main__":
    main()
