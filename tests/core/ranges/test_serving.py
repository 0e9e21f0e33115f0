"""Whether requests for a range of keys wait for its owner."""

from __future__ import annotations

import pytest

from basilwick.core.ranges.serving import describe_owner
from basilwick.core.ranges.table import KeyRange, Phase


class LeavingOwners:
    def may_own(self, server):
        return False

    def choose_owner(self, excluded):
        return None


@pytest.mark.parametrize("phase", [Phase.OWNED, Phase.FENCING, Phase.RELEASING])
def test_requests_do_not_wait_for_a_move_that_cannot_go_on(phase):
    """Callers were held for 0.6 s and then refused while no move could be stored."""
    key_range = KeyRange(0, 9, "s", phase=phase, serving_until=20.0)
    assert describe_owner(key_range, LeavingOwners(), 10.0).moving
    stalled = describe_owner(key_range, LeavingOwners(), 10.0, can_move=False)
    assert not stalled.moving
    assert stalled.server is None
    assert stalled.available_in_s >= 1.0


def test_an_owner_that_stays_serves_while_no_move_can_go_on():
    class StayingOwners(LeavingOwners):
        def may_own(self, server):
            return True

    key_range = KeyRange(0, 9, "s", phase=Phase.OWNED, serving_until=20.0)
    owner = describe_owner(key_range, StayingOwners(), 10.0, can_move=False)
    assert owner.server == "s"
