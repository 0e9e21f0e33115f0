"""Arrivals of the servers of a site that starts."""

from __future__ import annotations

from basilwick.core.ranges.server_arrivals import ServerArrivals


def test_the_first_servers_do_not_get_all_keys():
    arrivals = ServerArrivals()
    assert not arrivals.observe(["a"], 10.0)
    assert not arrivals.observe(["a", "b"], 11.0)
    assert not arrivals.observe(["a", "b"], 12.0)
    assert arrivals.observe(["a", "b"], 12.5)


def test_servers_that_keep_arriving_do_not_defer_the_grants_forever():
    arrivals = ServerArrivals()
    seconds = [step * 0.5 for step in range(20)]
    times = [t for t in seconds if arrivals.observe([f"s{t}"], t)]
    assert times[0] == 4.0


def test_no_server_has_arrived_at_first():
    assert not ServerArrivals().observe([], 100.0)
