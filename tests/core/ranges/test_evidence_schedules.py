"""Random schedules of evidence that earlier terms and server processes have ended."""

from __future__ import annotations

import pytest
from evidence_schedules import FAULTS, find_failures


def test_a_block_never_has_two_holders_when_evidence_shortens_waits():
    """A key was given away while an earlier leader could still renew its grant."""
    failures, shortened, ended_servers = find_failures(range(400))
    assert failures == {}
    assert shortened > 100
    assert ended_servers > 100


@pytest.mark.parametrize("fault", FAULTS)
def test_schedules_show_evidence_that_is_none(fault):
    """The checker must notice a wait that is shortened without reason."""
    failures, _, _ = find_failures(range(300), fault)
    assert failures
