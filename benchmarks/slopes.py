"""Measures how documents and duty tables grow, for the capacity page.

Run with ``python -m benchmarks.slopes``; prints JSON with the points, the fitted
slope and the largest deviation from the fit.
"""

from __future__ import annotations

import tracemalloc
from statistics import linear_regression, median
from time import perf_counter
from typing import TYPE_CHECKING

from attrs import asdict, frozen
from orjson import OPT_INDENT_2, dumps

from basilwick.core.assignment import BlockDocument, Ownership
from basilwick.core.hashing import assign_bounded

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

_REPEATS = 7
_SHARD_COUNTS = (64, 256, 1024, 4096)
_SERVERS_PER_BLOCK = 50
_DUTY_SIZES = ((20, 3), (100, 50), (200, 100), (400, 200), (700, 380))


@frozen
class Slope:
    """A straight line fitted to measured points."""

    name: str
    unit: str
    points: Sequence[tuple[float, float]]
    slope: float
    intercept: float
    largest_deviation: float


def fit_slope(name: str, unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Fit a line; the deviation is relative to the largest measured value."""
    line = linear_regression([x for x, _ in points], [y for _, y in points])
    largest = max(y for _, y in points)
    deviation = max(abs(line.slope * x + line.intercept - y) for x, y in points)
    return Slope(
        name, unit, points, line.slope, line.intercept, deviation / (largest or 1)
    )


def time_call(call: Callable[[], object]) -> float:
    """Return the median seconds of a few calls."""
    durations = []
    for _ in range(_REPEATS):
        start = perf_counter()
        call()
        durations.append(perf_counter() - start)
    return median(durations)


def _build_document(shards: int) -> BlockDocument:
    return BlockDocument(
        service="catalogue",
        block=0,
        generation=1000,
        home="dc-a",
        shards={
            shard: Ownership(f"catalogue-{shard % _SERVERS_PER_BLOCK:04d}", 900 + shard)
            for shard in range(shards)
        },
    )


def _measure_memory(document: BlockDocument) -> int:
    value = document.encode()
    tracemalloc.start()
    decoded = BlockDocument.decode(value)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del decoded
    return size


def measure_documents() -> list[Slope]:
    """Measure size, memory and decoding time of a block document by shards."""
    documents = [(count, _build_document(count)) for count in _SHARD_COUNTS]
    encoded = [(count, document.encode()) for count, document in documents]
    return [
        fit_slope(
            "block_document_bytes", "B/shard", [(c, len(value)) for c, value in encoded]
        ),
        fit_slope(
            "block_document_memory",
            "B/shard",
            [(count, _measure_memory(document)) for count, document in documents],
        ),
        fit_slope(
            "block_document_decode",
            "s/shard",
            [
                (count, time_call(lambda value=value: BlockDocument.decode(value)))
                for count, value in encoded
            ],
        ),
    ]


def measure_duties() -> Slope:
    """Measure the choice of gateways by the product of servers and instances."""
    points = []
    for servers, instances in _DUTY_SIZES:
        items = [f"server-{number}" for number in range(servers)]
        candidates = [f"instance-{number}" for number in range(instances)]
        points.append(
            (
                servers * instances,
                time_call(lambda i=items, c=candidates: assign_bounded(i, c)),
            )
        )
    return fit_slope("duty_choice", "s/(server x instance)", points)


def main() -> None:
    """Print all slopes as JSON."""
    slopes = [*measure_documents(), measure_duties()]
    print(dumps([asdict(slope) for slope in slopes], option=OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
