"""Moves under uneven demand that changes within seconds, on servers of three speeds."""

from __future__ import annotations

import pytest
from demand_play import DemandPlay

from basilwick.core.ranges.placement import OwnedSpan, ServerCapacity
from basilwick.core.ranges.table import KEY_COUNT
from basilwick.core.ranges.uneven_demand import find_excess_keys, plan_uneven_moves

WIDTH = 256
SPEEDS = {"slow": 0.6, "typical": 1.0, "fast": 1.4}
CAPACITIES = [
    ServerCapacity(f"{name}{index}", 2, 0.2 / speed)
    for index in range(6)
    for name, speed in SPEEDS.items()
]
NAMES = [capacity.server for capacity in CAPACITIES]
RANGES = 3 * len(NAMES)


def make_spans():
    """Return spans of which each server has several, far from one another."""
    return [
        OwnedSpan(index * WIDTH, (index + 1) * WIDTH - 1, NAMES[index * 7 % len(NAMES)])
        for index in range(RANGES)
    ]


def make_even_rates(spans, utilization):
    capacities = {c.server: c.requests_per_s for c in CAPACITIES}
    return [
        (span.first + offset, utilization * capacities[span.owner] / 12)
        for span in spans
        for offset in (10, 60, 110, 160)
    ]


def plan(spans, rates, range_count=RANGES, capacities=CAPACITIES):
    return plan_uneven_moves(spans, sorted(rates), capacities, {}, range_count)


def test_a_balanced_load_is_left_alone():
    spans = make_spans()
    assert not plan(spans, make_even_rates(spans, 0.8))


def test_a_key_that_fills_a_server_moves_to_one_of_the_fastest_alone():
    """Requests for its other keys waited behind those for the hot key."""
    spans = make_spans()
    hot = spans[0].first + 60
    assert spans[0].owner.startswith("slow")
    rates = [*make_even_rates(spans, 0.6)]
    rates[1] = (hot, 10.0)
    moves = plan(spans, rates)
    (move,) = [m for m in moves if m.first <= hot <= m.last]
    assert (move.first, move.last) == (hot, hot)
    assert move.target.startswith("fast")
    owners = {span.first: span.owner for span in spans}
    left = [m for m in moves if owners[m.first // WIDTH * WIDTH] == move.target]
    assert left
    assert not any(m.target == move.target for m in moves if m is not move)


def test_the_two_busiest_keys_do_not_share_a_server():
    spans = make_spans()
    rates = make_even_rates(spans, 0.3)
    rates[0], rates[2] = (10, 8.0), (110, 9.0)
    moves = plan(spans, rates)
    targets = {key: spans[0].owner for key in (10, 110)}
    for move in moves:
        targets.update(dict.fromkeys({10, 110} & {move.first, move.last}, move.target))
    assert targets[10] != targets[110]


def test_wide_quiet_spans_do_not_move():
    """Moves of thousands of keys for a few requests cost more than they brought."""
    capacities = [ServerCapacity("a", 2, 0.2), ServerCapacity("b", 2, 0.2)]
    spans = [OwnedSpan(0, 39_999, "a"), OwnedSpan(40_000, KEY_COUNT - 1, "b")]
    rates = [(key, 0.65) for key in range(0, 40_000, 4000)]
    moves = plan(spans, rates, 2, capacities)
    assert sum(move.last - move.first + 1 for move in moves) < 20


def test_a_cold_server_gets_no_more_than_its_rate():
    capacities = [*CAPACITIES, ServerCapacity("cold", 2, 0.2, max_rate=4.0)]
    spans = make_spans()
    rates = make_even_rates(spans, 0.9)
    # One busy server makes moves worth their cost.
    rates += [(span.first + 30, 2.0) for span in spans if span.owner == "slow0"]
    moves = plan(spans, rates, capacities=capacities)
    to_cold = [m for m in moves if m.target == "cold"]
    rate = sum(r for key, r in rates for m in to_cold if m.first <= key <= m.last)
    assert 0.0 < rate <= 4.0


def test_small_quiet_ranges_are_joined_only_as_far_as_needed():
    """Ranges that were cut out for busy keys stayed when these had cooled down."""
    spans = []
    for index, span in enumerate(make_spans()):
        cut = span.first + 100
        spans.append(OwnedSpan(span.first, cut - 1, span.owner))
        spans.append(OwnedSpan(cut, cut, NAMES[(index + 5) % len(NAMES)]))
        spans.append(OwnedSpan(cut + 1, span.last, span.owner))
    assert not plan(spans, [], 5 * len(NAMES))
    moves = plan(spans, [], 5 * len(NAMES) + 6)
    assert 3 <= len(moves) <= 6
    assert all(move.first == move.last for move in moves)


def test_a_key_that_no_server_can_serve_is_known():
    rates = [(5, 3.0), (9, 60.0)]
    owners = {5: "fast0", 9: "slow0"}
    excess = find_excess_keys(rates, CAPACITIES, owners.get)
    assert excess == {9: pytest.approx(6.0)}


def test_play_of_changing_demand():
    """Busy neighbours and hot keys had one owner each for seconds after a change.

    At two thirds of the capacity callers need nearly all requests answered although
    the busy keys change each five seconds.
    """
    former, play = DemandPlay(False, seed=11), DemandPlay(True, seed=11)
    ratios = []
    for _ in range(25):
        former.run(1.0)
        play.run(1.0)
        ratios.append(play.get_busiest_ratio())
    assert play.get_refused_share(0, 2) < 0.75 * former.get_refused_share(0, 2)
    assert play.get_refused_share(2, 25) < 0.06
    assert play.get_refused_share(2, 25) < 0.7 * former.get_refused_share(2, 25)
    assert play.moved_keys < former.moved_keys
    assert len(play.controller.table.ranges) <= 6 * play.servers
    # Before each change, four seconds after the one before.
    assert sum(ratios[3::5]) / 5 < 2.5


def test_play_of_a_third_of_the_servers_lost_at_once():
    """Their ranges went whole to single servers, some of which were lost as well."""
    shares = {}
    for bulk in (False, True):
        play = DemandPlay(bulk, seed=12, utilization=0.5, change_s=100.0)
        play.run(8.0)
        play.lose([f"s{index}" for index in range(1, 78, 3)])
        play.run(14.0)
        owners = {key_range.owner for key_range in play.controller.table.ranges}
        assert not any(
            server.lost and name in owners for name, server in play.play.items()
        )
        shares[bulk] = play.get_refused_share(8, 22)
        assert play.get_refused_share(20, 22) < 0.08
    assert shares[True] < 0.8 * shares[False]
