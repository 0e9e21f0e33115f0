"""Records: both schemas, validation, and changes that would harm ownership."""

from __future__ import annotations

from random import Random

import pytest
from attrs import evolve
from orjson import dumps, loads

from basilwick.core.errors import InvalidRecordError
from basilwick.core.record_changes import check_change, check_schema, diff_records
from basilwick.core.records import (
    DataCentreRecord,
    DataCentreStatus,
    ServerRecord,
    ServerState,
    ServiceRecord,
    Witness,
    decode_record,
    encode_record,
)

SERVER = ServerRecord("clue-1", "clue", "dc-a", "127.0.0.1:7001")
RETIRED = DataCentreRecord("d", DataCentreStatus.OUT)
SEATS = [Witness(name, f"127.0.0.1:{9000 + i}") for i, name in enumerate("abcdef")]


def _check_witnesses(old, new):
    old, new = (
        DataCentreRecord("d", witnesses=old),
        DataCentreRecord("d", witnesses=new),
    )
    check_change(old, new, schema=2)


@pytest.mark.parametrize("schema", [1, 2])
@pytest.mark.parametrize("state", list(ServerState))
def test_record_survives_both_schemas(schema, state):
    record = ServerRecord("s", "clue", "dc-a", "127.0.0.1:1", state=state)
    for kept in (record, ServiceRecord("clue"), RETIRED):
        assert decode_record(encode_record(kept, schema)) == kept


def test_schema_1_that_is_out_and_drains_is_out():
    # Guards against a retired server that becomes active through conversion.
    data = loads(encode_record(SERVER, 1)) | {"out": True, "drain": True}
    assert decode_record(dumps(data)).state is ServerState.OUT


@pytest.mark.parametrize(
    "record",
    [
        ServerRecord("s", "clue", "dc-a", "127.0.0.1:1", checks_grants=True),
        DataCentreRecord("d", autonomy_s=60.0),
        evolve(RETIRED, confirmed_stopped=True),
    ],
)
def test_schema_1_never_drops_a_value_silently(record):
    # Guards against a data centre whose autonomy reverts to the default unnoticed, by
    # conversion or by a tool that still writes schema 1.
    with pytest.raises(InvalidRecordError, match="write schema 2"):
        encode_record(record, 1)
    with pytest.raises(InvalidRecordError, match="write schema 2"):
        check_change(record, record, schema=1, old_schema=2)


def test_all_faults_are_reported_at_once():
    # Guards against operators who correct one fault per attempt, and against values
    # that are coerced, such as the text "false" read as true.
    data = loads(encode_record(SERVER)) | {
        "name": "a b",
        "address": "localhost:80",
        "slots": 0,
        "connections": True,
        "checks_grants": "false",
        "state": "gone",
        "color": 1,
    }
    with pytest.raises(InvalidRecordError) as caught:
        decode_record(dumps(data))
    names = [fault.split(":")[0] for fault in caught.value.faults]
    assert sorted(names[:-1]) == sorted(
        ["name", "address", "slots", "connections", "checks_grants", "state"]
    )
    assert "unknown name 'color'" in names[-1]


@pytest.mark.parametrize("schema", [0, 3, True, "2", None])
def test_unknown_schema_is_refused(schema):
    with pytest.raises(InvalidRecordError, match="schema"):
        decode_record(dumps({"kind": "service", "name": "a", "schema": schema}))


def test_schema_above_that_of_a_live_instance_is_refused():
    # Guards against a record that part of the instances can't put into force.
    check_schema(1, {"a": 2, "b": 1})
    with pytest.raises(InvalidRecordError, match="because b read"):
        check_schema(2, {"a": 2, "b": 1})


def test_accepted_witness_changes_leave_a_common_seat_in_all_majorities():
    # Guards against a confirmation by one majority that another one does not know.
    rng = Random(7)
    accepted = 0
    for _ in range(2000):
        old, new = (rng.sample(SEATS, rng.randint(1, 5)) for _ in range(2))
        try:
            _check_witnesses(tuple(old), tuple(new))
        except InvalidRecordError:
            continue
        accepted += 1
        sizes = len(old) // 2 + 1 + len(new) // 2 + 1
        assert sizes > len(set(old) | set(new))
    assert accepted > 50


def test_moved_seat_counts_as_two_changes():
    # Guards against an old process at the former address that still confirms.
    moved = (*SEATS[:2], Witness("c", "127.0.0.2:9"))
    with pytest.raises(InvalidRecordError, match="one seat"):
        _check_witnesses(tuple(SEATS[:3]), moved)
    with pytest.raises(InvalidRecordError, match="at least one"):
        _check_witnesses(tuple(SEATS[:1]), ())


def test_change_that_gives_keys_a_second_owner_is_refused():
    # Guards against another shard count, or another address under an owner's name.
    with pytest.raises(InvalidRecordError, match="second owner"):
        check_change(ServiceRecord("clue"), ServiceRecord("clue", blocks=13), schema=2)
    out = ServerRecord("s", "clue", "a", "127.0.0.1:1", state=ServerState.OUT)
    moved = ServerRecord("s", "clue", "a", "127.0.0.1:2")
    check_change(out, moved, schema=2)
    with pytest.raises(InvalidRecordError, match="owns nothing"):
        check_change(out, moved, schema=2, owners=["s"])


@pytest.mark.parametrize("old", [None, RETIRED])
def test_vouching_for_stopped_instances_ends_with_the_outage(old):
    # Guards against a value left over from one outage that gives the blocks away at
    # once when the data centre is next taken out with its instances running.
    check_change(old, evolve(RETIRED, confirmed_stopped=True), schema=2)
    with pytest.raises(InvalidRecordError, match="confirmed_stopped"):
        check_change(old, DataCentreRecord("d", confirmed_stopped=True), schema=2)


def test_difference_names_fields_and_seats():
    old = DataCentreRecord("d", witnesses=tuple(SEATS[:1]))
    new = DataCentreRecord("d", DataCentreStatus.OUT, tuple(SEATS[:2]))
    assert [str(difference) for difference in diff_records(old, new)] == [
        "status: in -> out",
        "witnesses[b]: absent -> 127.0.0.1:9001",
    ]
