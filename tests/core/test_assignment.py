"""Block documents."""

from __future__ import annotations

import pytest

from basilwick.core.assignment import (
    MAX_HOT_KEYS,
    SEVERAL_OWNERS,
    BlockDocument,
    BlockState,
    Ownership,
)
from basilwick.core.errors import InvalidRecordError

KEY = 10  # Key of shard 0 in a service of two shards.


def _build_document(hot=None):
    return BlockDocument(
        "clue",
        0,
        1,
        "dc-a",
        {0: Ownership("s1", 1), 1: Ownership("s3", 1)},
        hot or {},
        shard_count=2,
    )


def test_move_raises_fence_and_keeps_previous_owner():
    moved = _build_document().move_shards({0: "s2"})
    assert moved.generation == 2
    assert moved.shards[0] == Ownership("s2", 2, "s1")
    assert moved.move_shards({0: "s3"}).shards[0] == Ownership("s3", 3, SEVERAL_OWNERS)


def test_settled_moves_leave_no_previous_owner():
    moved = _build_document().move_shards({0: "s2"})
    assert moved.settle_moves(2).list_pending() == []
    assert moved.settle_moves(0, acknowledged={"s1": 2}).list_pending() == []
    assert moved.settle_moves(1, acknowledged={"s1": 1}).list_pending() != []


def test_hot_key_waits_for_the_owner_of_its_shard():
    # Without moved_from the shard's owner and the new one serve the key at once.
    moved = _build_document().move_shards({}, {KEY: "s2"})
    assert moved.hot[KEY] == Ownership("s2", 2, "s1")
    both = _build_document().move_shards({0: "s4"}, {KEY: "s2"})
    assert (both.hot[KEY], both.shards[0]) == (
        Ownership("s2", 2, "s1"),
        Ownership("s4", 2, "s1"),
    )


def test_returned_hot_key_waits_for_its_own_owner():
    # Dropping the entry at once would let the shard's owner start too early.
    back = _build_document({KEY: Ownership("s2", 1)}).move_shards({}, {KEY: None})
    assert back.get_ownership(0, KEY) == Ownership("s1", 2, "s2")
    settled = back.settle_moves(2)
    assert settled.hot == {}
    # The fence of the key must not fall back to that of the shard.
    assert settled.get_ownership(0, KEY) == Ownership("s1", 2)


def test_returning_hot_key_follows_its_shard():
    # An entry left behind with the old owner would keep the key away from its shard.
    back = _build_document({KEY: Ownership("s2", 1)}).move_shards({}, {KEY: None})
    moved = back.move_shards({0: "s4"})
    assert moved.hot[KEY] == Ownership("s4", 3, SEVERAL_OWNERS)
    assert moved.settle_moves(2).hot == moved.hot
    assert moved.settle_moves(3).get_ownership(0, KEY) == Ownership("s4", 3)


def test_released_block_has_no_owner_with_rights():
    released = _build_document({KEY: Ownership("s2", 1)}).release("dc-b")
    assert (released.home, released.state) == ("dc-b", BlockState.RELEASING)
    assert {o.owner for o in released.iter_ownerships()} == {""}
    assert released.settle_moves(0, acknowledged={"s1": 2}).state == "releasing"
    settled = released.settle_moves(2)
    assert (settled.state, settled.hot) == (BlockState.RELEASED, {})
    active = settled.activate("dc-b", {0: "s5", 1: "s6"})
    assert active.shards[0] == Ownership("s5", 4)


def test_document_of_largest_block_fits_the_platform():
    # The platform refuses values above 1 MB; such a block could never move again.
    shards = {n: Ownership(f"server-{n:05}", 1 << 40, "x") for n in range(1000)}
    hot = {
        (1 << 63) + n: Ownership(f"hot-{n:05}", 1 << 40) for n in range(MAX_HOT_KEYS)
    }
    document = BlockDocument("clue", 0, 1 << 40, "dc-a", shards, hot, shard_count=1000)
    assert len(document.encode()) < 100_000
    with pytest.raises(ValueError, match="hot keys"):
        document.move_shards({}, {1: "s2"})


def test_document_survives_encoding():
    document = _build_document({KEY: Ownership("s2", 1)}).move_shards(
        {0: "s2"}, {}, "w"
    )
    assert BlockDocument.decode(document.encode()) == document


@pytest.mark.parametrize("value", [b"", b"{}", b"[]", b'{"schema": 9}'])
def test_unreadable_document_is_refused(value):
    with pytest.raises(InvalidRecordError):
        BlockDocument.decode(value)
