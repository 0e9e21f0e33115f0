"""Heartbeats of the leader."""

from __future__ import annotations

import pytest

from basilwick.runtime.fleet.leader_links import compute_heartbeat_interval


@pytest.mark.parametrize("instances", [1, 10, 60, 195, 6_568])
def test_the_heartbeat_rate_is_limited_up_to_the_longest_interval(instances):
    """Ten heartbeats a second to each of 195 instances were 1,950 messages a second."""
    interval_s = compute_heartbeat_interval(instances)
    assert 0.1 <= interval_s <= 0.4
    if interval_s < 0.4:
        assert instances / interval_s <= 600.1
