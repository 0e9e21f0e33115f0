"""An instance follows the changes that the leader passes on."""

from __future__ import annotations

import pytest

from basilwick.core.dispatch.change_cursor import MAX_LEADER_STALENESS_S, ChangeCursor
from basilwick.core.dispatch.messages import ItemChange, LeaderHeartbeat, SharedChanges


def make_shared_changes(after, revision, *changed_items):
    changes = tuple(ItemChange(key, "v", at) for key, at in changed_items)
    return SharedChanges(after, revision, False, changes)


def test_each_change_is_accepted_once_and_in_order():
    cursor = ChangeCursor(10)
    assert [
        c.key for c in cursor.accept(make_shared_changes(10, 12, ("a", 11), ("b", 12)))
    ] == [
        "a",
        "b",
    ]
    assert cursor.accept(make_shared_changes(10, 12, ("a", 11), ("b", 12))) == []
    assert [
        c.key for c in cursor.accept(make_shared_changes(11, 14, ("b", 12), ("c", 14)))
    ] == ["c"]
    assert cursor.revision == 14


def test_changes_after_a_gap_are_not_accepted():
    """An instance that accepted them would never read the missing changes."""
    cursor = ChangeCursor(10)
    assert cursor.accept(make_shared_changes(11, 13, ("a", 12))) == []
    assert cursor.revision == 10
    assert not cursor.is_current(LeaderHeartbeat(3, 13), 0.0, 0.0)


def test_changes_are_not_accepted_before_the_first_list():
    cursor = ChangeCursor()
    assert cursor.accept(make_shared_changes(0, 5, ("a", 4))) == []
    assert not cursor.is_current(LeaderHeartbeat(3, 0), 0.0, 0.0)


@pytest.mark.parametrize(
    ("heartbeat", "heard_at", "expected"),
    [
        (LeaderHeartbeat(3, 10, 0.0), 5.0, True),
        (LeaderHeartbeat(3, 9, 0.0), 5.0, True),
        (LeaderHeartbeat(3, 11, 0.0), 5.0, False),
        (LeaderHeartbeat(3, 10, MAX_LEADER_STALENESS_S + 0.1), 5.0, False),
        (LeaderHeartbeat(3, 10, 0.5), 5.0 - MAX_LEADER_STALENESS_S, False),
        (None, 5.0, False),
    ],
)
def test_an_instance_is_current_only_if_its_leader_is(heartbeat, heard_at, expected):
    """A leader that had lost the platform's service kept the others from reading it."""
    assert ChangeCursor(10).is_current(heartbeat, heard_at, 5.0) is expected


def test_the_revision_never_goes_back():
    cursor = ChangeCursor(10)
    cursor.advance(8)
    assert cursor.revision == 10
