"""Requests of an instance for the changes that it lacks."""

from __future__ import annotations

import pytest
from attrs import define, field

from basilwick.core.dispatch.change_cursor import ChangeCursor
from basilwick.core.dispatch.messages import LeaderHeartbeat
from basilwick.runtime.fleet.catch_up import LeaderCatchUp


@define
class RecordingLink:
    heartbeat: tuple = (LeaderHeartbeat(3, 9, 0.1), 0.0)
    sends_missing_changes: bool = True
    transfer_at: float = 0.0
    requests: list = field(factory=list)

    def hear(self, now):
        self.heartbeat = (LeaderHeartbeat(3, 9, 0.1), now)

    def request_changes(self, after):
        self.requests.append(after)


def test_the_leader_is_asked_once_and_again_after_the_changes_came():
    link = RecordingLink()
    catch_up = LeaderCatchUp(link)
    for _ in range(3):
        assert catch_up.expects_changes(ChangeCursor(4), 0.1)
    assert link.requests == [4]
    catch_up.finish()
    assert catch_up.expects_changes(ChangeCursor(7), 0.2)
    assert link.requests == [4, 7]


def test_an_instance_that_knows_nothing_asks_for_everything():
    link = RecordingLink()
    assert LeaderCatchUp(link).expects_changes(ChangeCursor(), 0.1)
    assert link.requests == [-1]


def test_an_instance_reads_by_itself_if_no_part_comes():
    """An instance waited for a leader that did not know the changes either."""
    link = RecordingLink()
    catch_up = LeaderCatchUp(link)
    assert catch_up.expects_changes(ChangeCursor(4), 0.1)
    link.hear(2.6)
    assert not catch_up.expects_changes(ChangeCursor(4), 2.6)
    link.hear(4.0)
    assert not catch_up.expects_changes(ChangeCursor(4), 4.0)
    link.hear(8.0)
    link.transfer_at = 8.0
    assert catch_up.expects_changes(ChangeCursor(4), 8.0)
    assert link.requests == [4, 4]


def test_an_instance_waits_while_parts_come():
    link = RecordingLink()
    catch_up = LeaderCatchUp(link)
    for second in range(10):
        link.hear(second)
        link.transfer_at = second - 0.5
        assert catch_up.expects_changes(ChangeCursor(4), second)


@pytest.mark.parametrize(
    "link",
    [
        RecordingLink(heartbeat=(None, 0.0)),
        RecordingLink(heartbeat=(LeaderHeartbeat(3, 0, 0.1), 0.0)),
        RecordingLink(heartbeat=(LeaderHeartbeat(3, 9, 5.0), 0.0)),
        RecordingLink(sends_missing_changes=False),
    ],
)
def test_a_leader_that_cannot_know_the_changes_is_not_asked(link):
    assert not LeaderCatchUp(link).expects_changes(ChangeCursor(4), 0.1)
    assert link.requests == []
