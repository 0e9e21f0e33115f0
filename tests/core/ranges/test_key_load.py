"""Measurement of the load of keys from requests that arrive at random."""

from __future__ import annotations

from random import Random

import pytest

from basilwick.core.ranges.key_load import KeyLoad


def record_requests(load, key, rate, begin, end, rng):
    now = begin
    while (now := now + rng.expovariate(rate)) < end:
        load.record(key, now)


@pytest.mark.parametrize("rate", [5.0, 20.0, 80.0])
def test_a_steady_load_is_measured_without_bias(rate):
    """Rates that were too low at the start of a day kept the keys on busy servers."""
    errors = []
    for seed in range(40):
        load = KeyLoad()
        record_requests(load, 7, rate, 0.0, 2.0, Random(seed))
        errors.append(dict(load.list_rates(2.0)).get(7, 0.0) / rate - 1.0)
    assert abs(sum(errors) / len(errors)) < 0.1


def test_a_steady_load_fluctuates_little():
    """The random fluctuation of a short average moved keys back and forth."""
    load = KeyLoad()
    rng = Random(3)
    rates = []
    for second in range(5, 45):
        record_requests(load, 7, 20.0, second, second + 1.0, rng)
        rates.append(dict(load.list_rates(second + 1.0))[7])
    settled = rates[5:]
    outside = [rate for rate in settled if not 14.0 < rate < 26.0]
    assert len(outside) <= len(settled) // 10


def test_a_key_that_becomes_hot_is_seen_within_a_second():
    load = KeyLoad()
    rng = Random(5)
    record_requests(load, 7, 5.0, 0.0, 10.0, rng)
    record_requests(load, 7, 150.0, 10.0, 10.8, rng)
    assert dict(load.list_rates(10.8))[7] > 75.0


def test_a_key_that_is_no_longer_hot_is_seen_within_two_seconds():
    load = KeyLoad()
    record_requests(load, 7, 150.0, 0.0, 5.0, Random(5))
    assert dict(load.list_rates(7.0)).get(7, 0.0) < 15.0


def test_unused_keys_are_forgotten():
    load = KeyLoad()
    load.record(7, 0.0)
    assert load.list_rates(60.0) == []


def test_neighbours_that_become_busy_together_are_seen_within_a_second():
    """None of them changes more than random fluctuation does, but all together do."""
    load = KeyLoad()
    rng = Random(5)
    now = 0.0
    while (now := now + rng.expovariate(60.0)) < 10.9:
        load.record(rng.randrange(65_536), now)
        if now > 10.0:
            load.record(20_480 + rng.randrange(60) * 7, now)
    total = sum(
        rate for key, rate in load.list_rates_by_block(10.9) if key // 512 == 40
    )
    assert total > 36.0
