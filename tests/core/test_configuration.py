"""Configuration: nothing goes back, and nothing is believed complete too early."""

from __future__ import annotations

from random import Random

import pytest

from basilwick.core.assignment import BlockDocument, Ownership, block_key
from basilwick.core.configuration import LOG_LENGTH, Changes, Configuration, Entry
from basilwick.core.records import (
    DataCentreRecord,
    ServiceRecord,
    encode_record,
    get_kind,
    record_key,
)


def _entry(record, revision):
    key = record_key(get_kind(record), record.name)
    return Entry(key, encode_record(record), revision)


def _block(generation, revision, owner="s1"):
    document = BlockDocument("clue", 0, generation, "dc-a", {0: Ownership(owner, 1)})
    return Entry(block_key("clue", 0), document.encode(), revision)


def test_old_revision_offered_again_is_not_applied():
    # Guards against a slow peer that puts an older record back into force.
    configuration = Configuration()
    new = _entry(ServiceRecord("clue", default_deadline_ms=500), 7)
    assert configuration.apply(Changes(7, [new], snapshot=True)) == [new]
    old = _entry(ServiceRecord("clue"), 6)
    assert configuration.apply(Changes(6, [old], snapshot=True)) == []
    assert configuration.services["clue"].default_deadline_ms == 500
    assert configuration.revision == 7


def test_watch_that_skips_revisions_does_not_count_as_complete():
    # Guards against a watcher that reconnects later than it left off and believes that
    # it knows the changes in between.
    configuration = Configuration(revision=4)
    late = Changes(9, [_entry(ServiceRecord("clue"), 9)], snapshot=False, since=6)
    assert len(configuration.apply(late)) == 1
    assert configuration.revision == 4
    unknown = Changes(10, [], snapshot=False)
    configuration.apply(unknown)
    assert configuration.revision == 4
    configuration.apply(Changes(10, [], snapshot=False, since=4))
    assert configuration.revision == 10


@pytest.mark.parametrize("revision", [3, 11])
def test_lower_generation_of_a_block_never_replaces_a_higher_one(revision):
    # Guards against a block that goes back to a former owner, also when a restored
    # platform gives the old document a higher revision.
    configuration = Configuration()
    configuration.apply_entries([_block(5, 10, "new")])
    assert configuration.apply_entries([_block(4, revision, "old")]) == []
    stored = configuration.blocks[("clue", 0)]
    assert stored.document.shards[0].owner == "new"
    assert stored.revision == max(revision, 10)
    assert configuration.apply_entries([_block(6, 9, "next")])
    assert configuration.blocks[("clue", 0)].revision == max(revision, 10)


@pytest.mark.parametrize("seed", range(20))
def test_replicas_converge_whatever_the_order_of_delivery(seed):
    # Guards against instances that stay different because changes came late, twice or
    # in another order, and against a key that returns to an older revision meanwhile.
    rng = Random(seed)
    history = []
    for revision in range(1, 120):
        if rng.random() < 0.3:
            history.append(_block(revision, revision, f"s{revision}"))
        else:
            name = f"s{rng.randrange(8)}"
            record = ServiceRecord(name, default_deadline_ms=revision)
            history.append(_entry(record, revision))
    source = Configuration()
    source.apply(Changes(len(history), history, snapshot=True))
    replica = Configuration()
    for _ in range(60):
        before = {entry.key: entry.revision for entry in replica.list_entries()}
        replica.apply_entries(rng.choices(history, k=rng.randrange(6)))
        after = {entry.key: entry.revision for entry in replica.list_entries()}
        assert all(after[key] >= revision for key, revision in before.items())
        assert replica.revision == 0
    replica.apply(source.changes_since(replica.revision))
    assert replica.list_entries() == source.list_entries()
    assert replica.services == source.services
    assert replica.blocks == source.blocks
    assert replica.revision == source.revision


def test_unreadable_value_leaves_the_last_readable_one_in_force():
    # Guards against a record of a later schema that stops an older instance.
    configuration = Configuration()
    record = _entry(ServiceRecord("clue"), 1)
    configuration.apply(Changes(2, [record, _block(3, 2)], snapshot=True))
    broken = [Entry(record.key, b"{}", 3), Entry(block_key("clue", 0), b"{}", 4)]
    assert configuration.apply(Changes(4, broken, False, since=2)) == []
    assert "clue" in configuration.services
    assert configuration.blocks[("clue", 0)].document.generation == 3
    assert set(configuration.unreadable) == {record.key, block_key("clue", 0)}


def test_instance_that_lags_gets_every_change_or_a_snapshot():
    # Guards against changes that fall out of the log unnoticed.
    configuration = Configuration()
    newest = LOG_LENGTH + 10
    for number in range(1, newest + 1):
        entry = _entry(ServiceRecord(f"s{number % 50}"), number)
        configuration.apply(Changes(number, [entry], False, since=number - 1))
    for since in (0, 9, 10, newest - 3, newest):
        changes = configuration.changes_since(since)
        assert changes.snapshot == (since < 10)
        follower = Configuration(revision=since)
        follower.apply(changes)
        assert follower.revision == newest
        known = {entry.key for entry in changes.entries}
        assert len(known) == min(50, newest - since if since >= 10 else 50)


def test_keys_outside_of_records_and_blocks_are_not_held():
    # Guards against history filling the memory of every instance.
    configuration = Configuration()
    configuration.apply(Changes(1, [Entry("history/a", b"{}", 1)], snapshot=True))
    assert configuration.changes_since(0).entries == []


def test_larger_autonomy_of_record_and_predecessor_is_kept():
    # Guards against a take-over before the term that a cut-off data centre still uses.
    configuration = Configuration()
    configuration.apply_entries([_entry(DataCentreRecord("dc-a", autonomy_s=900.0), 1)])
    configuration.apply_entries([_entry(DataCentreRecord("dc-a", autonomy_s=60.0), 2)])
    assert configuration.autonomy_s["dc-a"] == 900.0
    configuration.apply_entries([_entry(DataCentreRecord("dc-a", autonomy_s=60.0), 3)])
    assert configuration.autonomy_s["dc-a"] == 60.0
    late = DataCentreRecord("dc-b", autonomy_s=60.0, replaced_autonomy_s=900.0)
    configuration.apply_entries([_entry(late, 4)])
    assert configuration.autonomy_s["dc-b"] == 900.0
