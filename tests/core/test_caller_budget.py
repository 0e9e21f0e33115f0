"""Choice of the connections that make room, and the size of the budget."""

from __future__ import annotations

import pytest

from basilwick.core.caller_budget import (
    CallerBudget,
    IdleConnection,
    UnreadConnection,
    choose_connections_to_abort,
    choose_connections_to_close,
    get_max_caller_bytes,
    get_max_connections,
)

MB = 1 << 20


def test_a_crowd_that_sends_nothing_goes_before_callers_that_keep_a_connection():
    """Kept connections were closed for connections that never carry a request."""
    kept = [IdleConnection(f"kept{at}", float(at), True) for at in range(3)]
    silent = [IdleConnection(f"silent{at}", 10.0 + at, False) for at in range(3)]
    unread = [UnreadConnection("unread", 0.0, MB), UnreadConnection("late", 19.5, MB)]
    idle = [*kept, *silent]
    assert choose_connections_to_close(idle, unread, 40, 20.0) == ["silent0"]
    assert choose_connections_to_close(idle, unread, 128, 20.0) == [
        "silent0", "silent1", "silent2", "kept0",
    ]  # fmt: skip
    assert choose_connections_to_close([], unread, 128, 20.0) == ["unread"]
    assert choose_connections_to_close([], [], 40, 20.0) == []


def test_answers_that_are_read_late_are_aborted_only_as_far_as_needed():
    """One caller that pauses for a moment must not lose its answer to a crowd."""
    budget = CallerBudget(8 * MB, held_bytes=8 * MB)
    unread = [
        UnreadConnection("small", 0.0, MB // 2),
        UnreadConnection("large", 0.0, 2 * MB),
        UnreadConnection("pausing", 9.5, 4 * MB),
    ]
    budget.add(-2 * MB)
    assert choose_connections_to_abort(unread, budget, 10.0) == ["large"]
    budget.add(MB // 2)
    assert choose_connections_to_abort(unread, budget, 10.0) == ["large", "small"]
    budget.add(-4 * MB)
    assert choose_connections_to_abort(unread, budget, 10.0) == []


@pytest.mark.parametrize(
    ("memory_mb", "least", "most"), [(200, 40, 60), (552, 90, 200)]
)
def test_the_budget_is_well_inside_the_memory(memory_mb, least, most):
    assert least * MB < get_max_caller_bytes(memory_mb * MB) < most * MB


def test_settings_without_limits_bound_nothing():
    """A site that states no memory is served as before."""
    assert (get_max_caller_bytes(0), get_max_connections(0)) == (0, 0)
    budget = CallerBudget(held_bytes=1 << 40)
    assert not budget.exhausted


def test_reading_ahead_alone_never_exhausts_the_budget():
    """Slow callers of large answers made an instance refuse all others."""
    budget = CallerBudget(8 * MB)
    while budget.may_read_ahead(MB):
        budget.add(MB)
    assert budget.held_bytes == 4 * MB
    assert not budget.exhausted
