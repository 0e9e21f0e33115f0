"""Random schedules in which the platform's service returns from a copy."""

from __future__ import annotations

from restore_schedules import find_failures


def test_a_block_never_has_two_holders_when_the_copy_lacks_the_ranges():
    """A later leader took the missing ranges for a first start and granted all keys."""
    assert find_failures(range(400)) == {}


def test_schedules_show_a_process_that_does_not_know_of_earlier_returns():
    assert find_failures(range(50), knows_earlier_returns=False)
