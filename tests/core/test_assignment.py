"""Block documents."""

from __future__ import annotations

import pytest

from basilwick.core.assignment import SEVERAL_OWNERS, BlockDocument, Ownership
from basilwick.core.errors import InvalidRecordError


def _build_document():
    return BlockDocument(
        "clue", 0, 1, "dc-a", {0: Ownership("s1", 1)}, {7: Ownership("s2", 1)}
    )


def test_move_raises_fence_and_keeps_previous_owner():
    moved = _build_document().move_shards({0: "s2"})
    assert moved.generation == 2
    assert moved.shards[0] == Ownership("s2", 2, "s1")
    assert moved.move_shards({0: "s3"}).shards[0] == Ownership("s3", 3, SEVERAL_OWNERS)


def test_settled_moves_leave_no_previous_owner():
    settled = _build_document().move_shards({0: "s2"}).settle_moves(2)
    assert settled.list_pending() == []


def test_document_survives_encoding():
    document = _build_document().move_shards({0: "s2"}, {7: "s3"}, "w1")
    assert BlockDocument.decode(document.encode()) == document


@pytest.mark.parametrize("value", [b"", b"{}", b"[]", b'{"schema": 9}'])
def test_unreadable_document_is_refused(value):
    with pytest.raises(InvalidRecordError):
        BlockDocument.decode(value)
