"""Hashes that map items to candidates."""

from __future__ import annotations

from basilwick.core.hashing import assign_bounded, rank_candidates

ITEMS = [f"item-{number}" for number in range(60)]


def test_bounded_assignment_spreads_evenly():
    # Plain rendezvous hashing of few items leaves some candidates with none.
    assigned = assign_bounded(ITEMS, ["a", "b", "c"])
    counts = [list(assigned.values()).count(name) for name in "abc"]
    assert counts == [20, 20, 20]


def test_assignment_does_not_depend_on_order():
    # Instances that list members in another order must choose the same holder.
    assert assign_bounded(ITEMS, ["a", "b", "c"]) == assign_bounded(
        ITEMS[::-1], ["c", "b", "a"]
    )


def test_ranking_keeps_order_of_the_remaining_candidates():
    ranked = rank_candidates("x", ["a", "b", "c", "d"])
    assert rank_candidates("x", ranked[1:]) == ranked[1:]
