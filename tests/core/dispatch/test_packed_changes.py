"""Changes in compact form, and their parts."""

from __future__ import annotations

from zlib import compress

import pytest

from basilwick.core.dispatch.known_items import ItemVersion
from basilwick.core.dispatch.packed_changes import (
    MissingBaseError,
    PackedChanges,
    PartCollector,
    pack_changes,
    split_parts,
    unpack_changes,
)

FORMER = ItemVersion("c", b"".join(b"{%d}" % n for n in range(9000)), 4)
PRESENT = ItemVersion("c", FORMER.value.replace(b"{70}", b"{x}"), 9)
SMALL = ItemVersion("s", bytes(range(256)), 8)
REMOVED = ItemVersion("r", None, 7)


def find_former(key):
    return FORMER if key == "c" else None


def test_changes_survive_packing():
    items = [PRESENT, SMALL, REMOVED]
    assert unpack_changes(pack_changes(items), -1) == items
    packed = pack_changes(items, find_former)
    assert unpack_changes(packed, 4, find_former) == items
    assert len(packed) < 1000 < len(pack_changes(items))


def test_changes_up_to_the_known_revision_are_left_out():
    packed = pack_changes([PRESENT, SMALL, REMOVED])
    assert unpack_changes(packed, 8) == [PRESENT]


@pytest.mark.parametrize("known", [None, PRESENT, ItemVersion("c", None, 4)])
def test_a_patch_of_an_unknown_version_is_not_applied(known):
    packed = pack_changes([PRESENT], find_former)
    with pytest.raises(MissingBaseError):
        unpack_changes(packed, 4, lambda key: known)


@pytest.mark.parametrize(
    "data",
    [b"", b"x", compress(b"[[1]]\n"), compress(b"no"), pack_changes([SMALL])[:9]],
)
def test_invalid_data_is_rejected(data):
    with pytest.raises(ValueError, match="invalid packed changes"):
        unpack_changes(data, -1)


def make_parts(number, size):
    changes = PackedChanges(4, 9, True, False, bytes(n % 251 for n in range(size)))
    return changes, list(split_parts(number, changes))


@pytest.mark.parametrize("size", [0, 1, 12_288, 12_289, 100_000])
def test_parts_are_joined(size):
    collector = PartCollector()
    changes, parts = make_parts(1, size)
    results = [collector.add(part) for part in parts]
    assert results == [None] * (len(parts) - 1) + [changes]


def test_parts_of_a_broadcast_may_come_between_others():
    collector = PartCollector()
    first, first_parts = make_parts(1, 30_000)
    second, second_parts = make_parts(2, 20_000)
    received = [collector.add(p) for p in [*first_parts[:1], *second_parts]]
    received += [collector.add(p) for p in first_parts[1:]]
    assert [c for c in received if c is not None] == [second, first]


def test_parts_with_a_gap_are_rejected_and_the_next_changes_arrive():
    collector = PartCollector()
    _, parts = make_parts(1, 40_000)
    collector.add(parts[0])
    with pytest.raises(ValueError, match="does not follow"):
        collector.add(parts[2])
    changes, parts = make_parts(2, 20_000)
    assert [collector.add(part) for part in parts][-1] == changes


def test_parts_of_changes_that_never_end_are_discarded():
    collector = PartCollector()
    for number in range(100):
        collector.add(make_parts(number, 20_000)[1][0])
    assert len(collector._parts) <= 8
