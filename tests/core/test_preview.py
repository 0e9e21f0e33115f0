"""Preview of what a change of a record moves."""

from __future__ import annotations

from attrs import evolve

from basilwick.core.assignment import BlockDocument, Ownership, block_key
from basilwick.core.configuration import Configuration, Entry
from basilwick.core.preview import preview_change
from basilwick.core.records import (
    DataCentreRecord,
    DataCentreStatus,
    ServerRecord,
    ServerState,
    ServiceRecord,
    encode_record,
    get_kind,
    record_key,
)

HOME = DataCentreRecord("dc-a")
SERVERS = [
    ServerRecord(f"clue-{n}", "clue", f"dc-{dc}", f"127.0.0.1:700{n}")
    for n, dc in enumerate("aab")
]


def _build(*records):
    documents = [
        BlockDocument("clue", 0, 1, "dc-a", {0: Ownership("clue-0", 1)}),
        BlockDocument(
            "clue",
            1,
            1,
            "dc-b",
            {9: Ownership("clue-2", 1)},
            {7: Ownership("clue-0", 1)},
        ),
    ]
    entries = [
        Entry(block_key("clue", document.block), document.encode(), 1)
        for document in documents
    ]
    entries += [
        Entry(record_key(get_kind(record), record.name), encode_record(record), 2)
        for record in (ServiceRecord("clue"), HOME, *SERVERS, *records)
    ]
    configuration = Configuration()
    configuration.apply_entries(entries)
    return configuration


def test_leaving_server_gives_up_its_shards_and_hot_keys():
    # Guards against hot keys that move although the preview names only shards.
    draining = evolve(SERVERS[0], state=ServerState.DRAINING)
    preview = preview_change(_build(), SERVERS[0], draining)
    moved = [(block.block, block.shards, block.hot_keys) for block in preview.blocks]
    assert moved == [(0, (0,), 0), (1, (), 1)]
    assert preview.warnings == ()
    assert preview_change(_build(), draining, SERVERS[0]).blocks == ()


def test_leaving_data_centre_gives_up_its_blocks():
    # Guards against taking out the last data centre, and against vouching for instances
    # that still run, without notice.
    out = evolve(HOME, status=DataCentreStatus.OUT, confirmed_stopped=True)
    preview = preview_change(_build(), HOME, out)
    assert [block.leaves_home for block in preview.blocks] == [True, False]
    warnings = " ".join(preview.warnings)
    assert "no other data centre is in" in warnings
    assert "second owner" in warnings
    other = _build(DataCentreRecord("dc-b"))
    plain = evolve(HOME, status=DataCentreStatus.OUT)
    assert "nowhere" not in " ".join(preview_change(other, HOME, plain).warnings)
