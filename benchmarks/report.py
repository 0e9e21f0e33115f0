"""Summaries of results and their output."""

from __future__ import annotations

from sys import stdout
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram
from orjson import OPT_INDENT_2, OPT_SORT_KEYS, dumps

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from basilwick.fakes.load_generator import Result

__all__ = ["print_report", "summarize_kinds", "summarize_latency"]


def _build_histogram(results: Iterable[Result]) -> HdrHistogram:
    """Return a histogram of the time from intended sending to the end, in us."""
    histogram = HdrHistogram(1, 120_000_000, 3)
    for result in results:
        histogram.record_value(
            max(1, round((result.ended_at - result.scheduled_at) * 1e6))
        )
    return histogram


def summarize_latency(results: Sequence[Result]) -> dict[str, float]:
    """Return count and percentiles in milliseconds."""
    histogram = _build_histogram(results)
    summary: dict[str, float] = {"requests": len(results)}
    for percentile in (50, 99, 99.9):
        value = histogram.get_value_at_percentile(percentile) / 1000
        summary[f"p{percentile:g}_ms"] = round(value, 2)
    return summary


def summarize_kinds(results: Iterable[Result]) -> dict[str, int]:
    """Return the number of results of each kind."""
    counts: dict[str, int] = {}
    for result in results:
        counts[result.kind] = counts.get(result.kind, 0) + 1
    return dict(sorted(counts.items()))


def print_report(
    name: str, data: dict[str, Any], header: Sequence[str], rows: Iterable[Sequence]
) -> None:
    """Print all data as JSON, then a short table."""
    text = dumps({"benchmark": name} | data, option=OPT_INDENT_2 | OPT_SORT_KEYS)
    stdout.write(text.decode() + "\n\n")
    lines = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        stdout.write("  ".join(cells).rstrip() + "\n")
