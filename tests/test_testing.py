"""Tests that the shared assertions detect the faults that they check for."""

from __future__ import annotations

from socket import create_server
from types import SimpleNamespace

import pytest

from basilwick.fakes.runs import Run
from basilwick.testing import (
    allocate_port_pair,
    allocate_ports,
    assert_at_most_once,
    assert_one_owner,
)


def _make_run(at, server, fence, token=""):
    return Run(at, server, "clue/1", "k", fence, token)


def test_run_at_the_old_owner_after_the_new_one_is_detected():
    # Guards against an ownership check that accepts every history.
    assert_one_owner([_make_run(1, "a", 5), _make_run(2, "b", 7), _make_run(3, "b", 7)])
    with pytest.raises(AssertionError, match="fence 5 after b"):
        assert_one_owner(
            [_make_run(1, "a", 5), _make_run(3, "a", 5), _make_run(2, "b", 7)]
        )
    with pytest.raises(AssertionError, match="fence 7 after b"):
        assert_one_owner([_make_run(2, "b", 7), _make_run(3, "a", 7)])


def test_second_run_at_another_server_is_detected():
    # Guards against counting the runs of each server separately.
    with pytest.raises(AssertionError, match="t': 2"):
        assert_at_most_once([_make_run(1, "a", 5, "t"), _make_run(2, "b", 7, "t")])


def test_no_pair_of_ports_contains_one_in_use(monkeypatch):
    # Guards against an instance that can't start because its second port is taken.
    free, used = allocate_port_pair()
    with create_server(("127.0.0.1", used)):
        draws = iter((free, used, *range(12_000, 32_000)))
        rng = SimpleNamespace(randrange=lambda *_: next(draws))
        monkeypatch.setattr("basilwick.testing._PORT_RNG", rng)
        monkeypatch.setattr("basilwick.testing._allocated_ports", set())
        first, second = allocate_port_pair()
        assert second == first + 1
        assert used not in (first, second)
        assert not {first, second} & set(allocate_ports(4))
