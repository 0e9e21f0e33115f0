"""Handover of the lead to an instance on a much stronger machine."""

from __future__ import annotations

from itertools import permutations
from random import Random

import pytest

from basilwick.core.dispatch.leader_strength import LeaderHandover, Strength

WEAK = Strength(1.0, 10.0)


@pytest.mark.parametrize(
    ("strength", "expected"),
    [
        (Strength(1.5, 10.0), True),
        (Strength(1.0, 40.0), True),
        (Strength(1.4, 39.0), False),
        (Strength(2.0, 5.0), False),
        (Strength(0.4, 100.0), False),
        (Strength(2.0, 0.0), False),
        (Strength(0.0, 100.0), False),
    ],
)
def test_only_clear_differences_count(strength, expected):
    """Similar machines would pass the lead on, and each change interrupts the site."""
    assert strength.is_much_above(WEAK) == expected


def test_no_chain_of_handovers_returns_to_its_start():
    rng = Random(1)
    for _ in range(300):
        group = [
            Strength(rng.choice((0.4, 1.0, 1.5, 2.2)), rng.choice((5.5, 11, 40, 100)))
            for _ in range(3)
        ]
        for a, b, c in permutations(group):
            assert not (a.is_much_above(b) and b.is_much_above(a))
            chain = a.is_much_above(b) and b.is_much_above(c)
            assert not (chain and c.is_much_above(a))


def test_a_leader_hands_over_once_the_stronger_instance_stays_linked():
    """An instance whose link broke again and again would have become the leader."""
    handover = LeaderHandover(WEAK)
    strong = {"i1": Strength(2.0, 100.0)}
    assert handover.choose_successor(strong, 0.0) is None
    assert handover.choose_successor({}, 3.0) is None
    assert handover.choose_successor(strong, 4.0) is None
    assert handover.choose_successor(strong, 7.9) is None
    assert handover.choose_successor(strong, 8.0) == "i1"
    handover.record_handover(8.0)
    for now in (9.0, 60.0, 127.0):
        assert handover.choose_successor(strong, now) is None
    assert handover.choose_successor(strong, 128.0) == "i1"
