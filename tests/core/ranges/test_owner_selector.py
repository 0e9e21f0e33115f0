"""Choice of owners by measured load."""

from __future__ import annotations

from random import Random

import pytest

from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.site import (
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)
from basilwick.core.ranges.owner_selector import OwnerSelector
from basilwick.core.ranges.table import KEY_COUNT, KeyRange, Phase, RangeTable


@pytest.fixture
def selection():
    view = SiteView()
    spec = ServiceSpec("maps", "/", 100, 3.0, 10.0, partitioned=True)
    view.apply_configuration(SiteConfiguration(1, (), {"maps": spec}))
    for name in ("m0", "m1"):
        view.apply_server(
            ServerEntry(name, "maps", f"{name}:1", "a", 4, False, 0.0, 1), 0.0
        )
    dispatcher = Dispatcher(view, None, RetryBudget(), {}, Random(1))
    return OwnerSelector("maps", view, dispatcher)


def make_table(owners, width):
    """Return small ranges of alternating owners; the last one has all further keys."""
    ranges = []
    for index, owner in enumerate(owners):
        last = KEY_COUNT - 1 if index == len(owners) - 1 else (index + 1) * width - 1
        ranges.append(KeyRange(index * width, last, owner, phase=Phase.OWNED))
    return RangeTable(ranges)


def test_small_ranges_are_merged_with_their_neighbours(selection):
    """Renewals of hundreds of ranges kept the leader busy, and requests waited."""
    table = make_table(["m0", "m1"] * 20, 16)
    moves = selection.plan(table, 0.0)
    assert 0 < len(moves) <= 6
    for move in moves:
        (joined,) = [r for r in table.ranges if r.first == move.first]
        assert joined.last == move.last
        assert joined.owner != move.target


def test_few_ranges_are_left_as_they_are(selection):
    assert selection.plan(make_table(["m0", "m1"] * 3, 16), 0.0) == []


def test_a_new_owner_is_another_warm_server(selection):
    assert selection.choose_owner("m0") == "m1"
    selection.view.extend_warm_up("m1", 5.0, 0.0)
    assert selection.list_eligible_owners(0.0) == ["m0"]


def test_keys_leave_a_server_that_states_a_rate_limit(selection):
    """An owner with a limit refused requests as long as it had its keys."""
    table = make_table(["m0", "m1"], KEY_COUNT // 2)
    for step in range(600):
        selection.load.record(step * 7919 % KEY_COUNT, step / 60)
    assert selection.plan(table, 10.0) == []
    selection.view.record_rate_limit("m0", 8.0, 10.0, 10.0)
    moves = selection.plan(table, 10.0)
    assert {move.target for move in moves} == {"m1"}


def test_a_range_without_another_server_keeps_its_owner(selection):
    selection.view.remove_server("m1", 0.0)
    assert selection.choose_owner("m0") is None
