"""Works out the tables of docs/CAPACITY.md from measured slopes.

Run with ``python -m benchmarks.capacity``; reads ``benchmarks/results/slopes.json``,
``control_cost.json`` and ``request_cost.json``. ``--write`` renews the page.
"""

from __future__ import annotations

from math import ceil
from pathlib import Path
from sys import argv
from typing import Any

from attrs import asdict, frozen
from orjson import loads

from benchmarks.slopes import fit_slope

__all__ = ["build_tables", "renew_page"]

_RESULTS = Path(__file__).parent / "results"
_PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_START = "<!-- tables: python -m benchmarks.capacity --write -->"
_END = "<!-- end of tables -->"


@frozen
class Target:
    """The size that decides the design."""

    nodes: int = 13_000
    keys: float = 9.2e9
    requests_per_s: float = 190e6
    data_centres: int = 17
    changes_per_day: int = 46_000
    replaced_per_day: int = 910
    core_share: float = 0.028
    memory_bytes: float = 128e6
    bytes_per_s: float = 22e3
    platform_writes_per_s: float = 300.0
    platform_reads_per_s: float = 2_000.0


@frozen
class Layout:
    """How the target size is laid out.

    Attributes
    ----------
    instances : int
        Instances among the nodes; the rest are backend servers.
    shards_per_server : int
        Shards that a backend server owns.
    shards_per_block : int
        Shards of one block document.
    record_bytes : int
        Size of a configuration record.
    watchers_per_data_centre : int
        Instances that hold a watch on the platform.
    """

    instances: int = 6_500
    shards_per_server: int = 16
    shards_per_block: int = 512
    record_bytes: int = 500
    watchers_per_data_centre: int = 2


@frozen
class Row:
    """One line of the page: a target and what was worked out for it."""

    subject: str
    target: str
    worked_out: float
    limit: float
    unit: str
    basis: str
    mechanism: str

    def render(self) -> str:
        """Return the line as Markdown."""
        ratio = self.worked_out / self.limit
        verdict = "ok" if ratio <= 1 else "**falls short**"
        return (
            f"| {self.subject} | {self.target} | {self.worked_out:,.3g} {self.unit} "
            f"| {ratio:.2f} | {verdict} | {self.basis} | {self.mechanism} |"
        )


def _load(name: str) -> Any:
    return loads((_RESULTS / f"{name}.json").read_bytes())


def _load_slopes() -> dict[str, dict[str, float]]:
    slopes = {slope["name"]: slope for slope in _load("slopes")}
    cost = _load("control_cost")
    for name in ("core_share", "payload_bytes_sent_per_s"):
        points = [(point["members"], point[name]) for point in cost]
        slopes[name] = asdict(fit_slope(name, "per member", points))
    return slopes


def _evaluate(slope: dict[str, float], size: float) -> float:
    return slope["slope"] * size + slope["intercept"]


def _solve(slope: dict[str, float], bound: float) -> float:
    return (bound - slope["intercept"]) / slope["slope"]


def _list_document_rows(
    target: Target, layout: Layout, slopes: dict[str, dict[str, float]]
) -> list[Row]:
    shards = (target.nodes - layout.instances) * layout.shards_per_server
    blocks = ceil(shards / layout.shards_per_block)
    document = _evaluate(slopes["block_document_bytes"], layout.shards_per_block)
    memory = blocks * _evaluate(
        slopes["block_document_memory"], layout.shards_per_block
    )
    records = (target.nodes - layout.instances) * layout.record_bytes
    return [
        Row(
            "size of a block document",
            "below 1 MB",
            document,
            1e6,
            "B",
            f"measured slope, {layout.shards_per_block} shards",
            "one document for each block; nothing is kept for a key",
        ),
        Row(
            "memory for all block documents and records",
            "128 MB a node",
            memory + 4 * records,
            target.memory_bytes,
            "B",
            f"measured slope, {shards:,} shards in {blocks} blocks",
            "every instance holds all documents; records at 4 times their encoded size",
        ),
        Row(
            "bytes that a new instance fetches",
            "within 5 s",
            blocks * document + records,
            5 * 10e6,
            "B",
            "calculated, 10 MB/s from a peer",
            "snapshot from a peer in the data centre",
        ),
        Row(
            "choice of gateways in one data centre",
            "15 ms pause",
            _evaluate(
                slopes["duty_choice"],
                (target.nodes - layout.instances)
                * layout.instances
                / target.data_centres**2,
            ),
            0.015,
            "s",
            "measured slope",
            "computed anew on each change of members; cells divide it",
        ),
    ]


def _list_control_rows(
    target: Target, layout: Layout, slopes: dict[str, dict[str, float]]
) -> list[Row]:
    members = layout.instances / target.data_centres
    fitting = min(
        _solve(slopes["core_share"], target.core_share),
        _solve(slopes["payload_bytes_sent_per_s"], target.bytes_per_s),
    )
    changes_per_s = target.changes_per_day / 86_400
    spread = changes_per_s * layout.record_bytes * 2
    return [
        Row(
            "control processor time, one data centre as one group",
            "2.8% of a core",
            _evaluate(slopes["core_share"], members),
            target.core_share,
            "core",
            f"measured slope, {members:.0f} members",
            "heartbeats to every member",
        ),
        Row(
            "control bytes, one data centre as one group",
            "22 KB/s",
            _evaluate(slopes["payload_bytes_sent_per_s"], members),
            target.bytes_per_s,
            "B/s",
            f"measured slope, {members:.0f} members",
            "heartbeats to every member",
        ),
        Row(
            "control bytes, cells of 12 instances",
            "22 KB/s",
            _evaluate(slopes["payload_bytes_sent_per_s"], 12),
            target.bytes_per_s,
            "B/s",
            f"measured slope; up to {fitting:.0f} members fit",
            "cells with witnesses and blocks of their own; not built",
        ),
        Row(
            "bytes for configuration changes",
            "22 KB/s",
            spread,
            target.bytes_per_s,
            "B/s",
            f"calculated, {changes_per_s:.2f} changes/s",
            "differences pushed once to each instance and passed on once",
        ),
    ]


def _list_platform_rows(target: Target, layout: Layout) -> list[Row]:
    watchers = target.data_centres * layout.watchers_per_data_centre
    changes = target.changes_per_day / 86_400
    servers = target.nodes - layout.instances
    per_data_centre = ceil(
        servers * layout.shards_per_server / target.data_centres
        / layout.shards_per_block
    )  # fmt: skip
    reads = watchers * (changes + 1 / 5)
    joins = target.replaced_per_day / 86_400
    return [
        Row(
            "platform reads at rest",
            "2,000/s",
            reads + joins,
            target.platform_reads_per_s,
            "1/s",
            f"calculated, {watchers} watches",
            "two watchers a data centre, the others learn from them",
        ),
        Row(
            "platform writes at rest",
            "300/s (several hundred)",
            2 * changes,
            target.platform_writes_per_s,
            "1/s",
            "calculated, record and history",
            "writes only for changes, none for liveness",
        ),
        Row(
            "platform writes when a data centre leaves",
            "300/s (several hundred)",
            3 * per_data_centre / 10,
            target.platform_writes_per_s,
            "1/s",
            f"calculated, {per_data_centre} blocks, 3 writes each, over 10 s",
            "one document for each block",
        ),
    ]


def _list_request_rows(target: Target, layout: Layout) -> list[Row]:
    cost = _load("request_cost")
    rate = cost["cases"]["entry and gateway"]["requests_per_s"]
    needed = ceil(target.requests_per_s / rate)
    return [
        Row(
            "processes that 190 million requests/s need",
            f"{layout.instances:,} instances of one process",
            needed,
            layout.instances,
            "processes",
            f"measured, {rate:,.0f}/s a process when entry and gateway differ",
            "more processes an instance, each an instance of its own in a cell",
        ),
    ]


def build_tables() -> str:
    """Return the page's tables as Markdown."""
    target, layout = Target(), Layout()
    slopes = _load_slopes()
    rows = [
        *_list_request_rows(target, layout),
        *_list_control_rows(target, layout, slopes),
        *_list_document_rows(target, layout, slopes),
        *_list_platform_rows(target, layout),
    ]
    return "\n".join(
        [
            "| subject | target | worked out | ratio | verdict | basis | mechanism |",
            "|---|---|---|---|---|---|---|",
            *(row.render() for row in rows),
        ]
    )


def renew_page(page: str) -> str:
    """Return the page with fresh tables between its markers."""
    before, rest = page.split(_START)
    _, after = rest.split(_END)
    return f"{before}{_START}\n\n{build_tables()}\n\n{_END}{after}"


def main() -> None:
    """Print the tables, or renew the page when asked to."""
    if "--write" in argv[1:]:
        _PAGE.write_text(renew_page(_PAGE.read_text()))
        return
    print(build_tables())


if __name__ == "__main__":
    main()
