"""Load of shards and the hottest keys, measured in bounded memory."""

from __future__ import annotations

from collections import Counter
from heapq import nlargest
from typing import TYPE_CHECKING

from attrs import define, field, frozen
from probables import HeavyHitters
from xxhash import xxh3_64_intdigest

from basilwick.core.assignment import MAX_HOT_KEYS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from basilwick.core.types import KeyHash, MonotonicSeconds, ShardIndex

__all__ = ["LoadMeter", "LoadReport", "merge_reports"]

#: One request in this many is looked at for its key.
SAMPLE_INTERVAL = 16
_WINDOW_S = 5.0
# With four rows of 2,048 counters a key is overestimated by more than 0.14% of the
# sampled requests in fewer than one case in fifty (e / width, exp(-depth)).
_WIDTH = 2048
_DEPTH = 4


@frozen
class LoadReport:
    """Requests a second over one window.

    Attributes
    ----------
    shards : mapping of int to float
        By shard; requests for hot keys are included.
    hot_keys : mapping of int to (int, float)
        Shard and rate of the hottest keys, by key hash.
    """

    shards: Mapping[ShardIndex, float] = field(factory=dict)
    hot_keys: Mapping[KeyHash, tuple[ShardIndex, float]] = field(factory=dict)


def _build_sketch() -> HeavyHitters:
    return HeavyHitters(
        MAX_HOT_KEYS, width=_WIDTH, depth=_DEPTH, hash_function=_hash_rows
    )


def _hash_rows(key: str, depth: int) -> list[int]:
    data = key.encode()
    return [xxh3_64_intdigest(data, seed=row) for row in range(depth)]


@define
class LoadMeter:
    """Counts the requests of one service at one gateway.

    Shards are counted exactly. Keys are found as heavy hitters with a count-min sketch
    (Cormode and Muthukrishnan, 2005) over a sample of the requests.

    Parameters
    ----------
    shard_count : int
        Number of shards of the service.
    """

    _shard_count: int
    _started_at: MonotonicSeconds | None = None
    _counts: Counter[ShardIndex] = field(factory=Counter)
    _sketch: HeavyHitters = field(factory=_build_sketch)
    _report: LoadReport = field(factory=LoadReport)

    def record(self, key_hash: KeyHash, now: MonotonicSeconds, rng: Random) -> None:
        """Count a request."""
        self._roll(now)
        self._counts[key_hash % self._shard_count] += 1
        if rng.random() * SAMPLE_INTERVAL < 1:
            self._sketch.add(f"{key_hash:x}")

    def collect(self, now: MonotonicSeconds) -> LoadReport:
        """Return the load of the latest complete window."""
        self._roll(now)
        return self._report

    def _roll(self, now: MonotonicSeconds) -> None:
        if self._started_at is None:
            self._started_at = now
        elapsed = now - self._started_at
        if elapsed < _WINDOW_S:
            return
        hot_keys = {
            int(text, 16): count * SAMPLE_INTERVAL / elapsed
            for text, count in self._sketch.heavy_hitters.items()
        }
        self._report = LoadReport(
            {shard: count / elapsed for shard, count in self._counts.items()},
            {key: (key % self._shard_count, rate) for key, rate in hot_keys.items()},
        )
        self._started_at = now
        self._counts = Counter()
        self._sketch = _build_sketch()


def merge_reports(
    reports: Iterable[LoadReport], limit: int = MAX_HOT_KEYS
) -> LoadReport:
    """Add up the reports of several gateways and keep the hottest keys."""
    shards: Counter[ShardIndex] = Counter()
    rates: Counter[KeyHash] = Counter()
    shard_of: dict[KeyHash, ShardIndex] = {}
    for report in reports:
        shards.update(report.shards)
        for key_hash, (shard, rate) in report.hot_keys.items():
            rates[key_hash] += rate
            shard_of[key_hash] = shard
    hottest = nlargest(limit, rates, key=lambda key: (rates[key], key))
    return LoadReport(
        dict(shards), {key: (shard_of[key], rates[key]) for key in hottest}
    )
