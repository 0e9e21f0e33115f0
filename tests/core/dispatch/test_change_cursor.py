"""Following the changes that the leader has read."""

from __future__ import annotations

import pytest

from basilwick.core.dispatch.change_cursor import MAX_LEADER_STALENESS_S, ChangeCursor
from basilwick.core.dispatch.messages import ItemChange, LeaderHeartbeat, SharedChanges


def share(after, revision, *rows):
    changes = tuple(ItemChange(key, "v", at) for key, at in rows)
    return SharedChanges(after, revision, False, changes)


def test_changes_are_taken_in_order_and_once():
    cursor = ChangeCursor(10)
    assert [c.key for c in cursor.accept(share(10, 12, ("a", 11), ("b", 12)))] == [
        "a",
        "b",
    ]
    assert cursor.accept(share(10, 12, ("a", 11), ("b", 12))) == []
    assert [c.key for c in cursor.accept(share(11, 14, ("b", 12), ("c", 14)))] == ["c"]
    assert cursor.revision == 14


def test_changes_behind_a_gap_are_not_taken():
    """An instance that applied them would never learn the missing ones."""
    cursor = ChangeCursor(10)
    assert cursor.accept(share(11, 13, ("a", 12))) == []
    assert cursor.revision == 10
    assert not cursor.is_current(LeaderHeartbeat(3, 13), 0.0, 0.0)


def test_an_instance_without_a_list_takes_nothing():
    cursor = ChangeCursor()
    assert cursor.accept(share(0, 5, ("a", 4))) == []
    assert not cursor.is_current(LeaderHeartbeat(3, 0), 0.0, 0.0)


@pytest.mark.parametrize(
    ("beat", "heard_at", "current"),
    [
        (LeaderHeartbeat(3, 10, 0.0), 5.0, True),
        (LeaderHeartbeat(3, 9, 0.0), 5.0, True),
        (LeaderHeartbeat(3, 11, 0.0), 5.0, False),
        (LeaderHeartbeat(3, 10, MAX_LEADER_STALENESS_S + 0.1), 5.0, False),
        (LeaderHeartbeat(3, 10, 0.5), 5.0 - MAX_LEADER_STALENESS_S, False),
        (None, 5.0, False),
    ],
)
def test_an_instance_is_current_by_a_leader_that_knows_the_newest_changes(
    beat, heard_at, current
):
    """A leader that lost the platform's service kept the others from reading it."""
    assert ChangeCursor(10).is_current(beat, heard_at, 5.0) is current


def test_the_revision_never_goes_back():
    cursor = ChangeCursor(10)
    cursor.advance(8)
    assert cursor.revision == 10
