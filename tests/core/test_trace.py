"""Recorded decisions are replayed."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
from attrs import evolve
from click.testing import CliRunner
from orjson import dumps, loads

from basilwick.cli.main import main
from basilwick.core.assigner import Assigner, AssignerView, StoredBlock
from basilwick.core.errors import InvalidRecordError
from basilwick.core.records import DataCentreRecord, ServerRecord, ServiceRecord
from basilwick.core.trace import Difference, TraceRecorder, replay
from basilwick.core.trace_registry import build_registry

TRACES = sorted((Path(__file__).parents[1] / "traces").glob("*.jsonl"))


def _record_loss(write, **limits):
    """Record the creation of a service and the loss of one of its servers."""
    recorder = TraceRecorder(Assigner(), "assigner", build_registry(), write, **limits)
    view = AssignerView(
        service=ServiceRecord("clue", blocks=2, shards_per_block=4),
        data_centre="a",
        data_centres={"a": DataCentreRecord("a")},
        servers={
            f"s{n}": ServerRecord(f"s{n}", "clue", "a", "127.0.0.1:1") for n in range(3)
        },
        blocks={},
        active_at=lambda id_, generation: float(generation),
        shard_loads={1: 0.1, 2: 7.3},
    )
    rng = Random(5)
    for step in range(6):
        actions = recorder.handle(view, float(step), rng)
        blocks = {a.document.id: StoredBlock(a.document, step + 1) for a in actions}
        view = evolve(view, blocks={**view.blocks, **blocks})
        if step == 1:
            view = evolve(view, lost={"s1": 1.0})
    return view


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_kept_trace_gives_the_stated_actions(path):
    # A change of a decision must be seen and recorded on purpose.
    result = CliRunner().invoke(main, ["replay", str(path)])
    assert result.exit_code == 0, result.output


def test_first_difference_is_reported():
    # A replay that compares only the number of actions misses a wrong owner.
    lines = []
    _record_loss(lines.append)
    assert replay(lines, build_registry()) == 6
    entry = loads(lines[3])
    assert entry["actions"], "the loss of a server gave no action"
    entry["actions"][0]["value"]["document"]["shards"][0][1] += 1
    difference = replay([*lines[:3], dumps(entry), *lines[4:]], build_registry())
    assert isinstance(difference, Difference)
    assert difference.line == 4
    assert difference.stated != difference.replayed


def test_trace_stays_within_its_bound():
    # A trace without bound fills the memory of an instance that has no disk.
    lines = []
    _record_loss(lines.append, max_bytes=3000)
    assert 0 < sum(map(len, lines)) <= 3000
    assert replay(lines, build_registry()) == len(lines) - 1


@pytest.mark.parametrize("line", [b"{", b"{}", b'{"schema": 9}'])
def test_unreadable_trace_is_refused(line):
    with pytest.raises(InvalidRecordError):
        replay([line], build_registry())
