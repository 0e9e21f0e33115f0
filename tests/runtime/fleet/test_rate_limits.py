"""Servers that state a rate limit for all instances together."""

from __future__ import annotations

import asyncio
from bisect import bisect_left

import pytest
import pytest_asyncio
from fleet_site import FleetSite, wait_until
from loguru import logger

#: Window in seconds in which the limit binds; it allows one and a half times the rate,
#: and a few requests more.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
#: Time in seconds after which the instances must keep a limit that was first stated.
NOTICE_S = 3.0


@pytest_asyncio.fixture
async def site():
    site = FleetSite(instance_count=3)
    try:
        await site.start()
        yield site
    finally:
        await site.close()


@pytest.fixture
def records():
    log_records = []
    sink = logger.add(lambda message: log_records.append(message.record), level="INFO")
    yield log_records
    logger.remove(sink)


async def offer(send, requests_per_s, duration_s):
    """Send requests at a steady rate to all instances in turn; returns the statuses."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = []
    for number in range(int(requests_per_s * duration_s)):
        await asyncio.sleep(max(0.0, started + number / requests_per_s - loop.time()))
        tasks.append(asyncio.create_task(send(number)))
    responses = await asyncio.gather(*tasks, return_exceptions=True)
    return [None if isinstance(r, Exception) else r.status for r in responses]


def count_in_worst_window(arrivals, since):
    """Return the largest number of arrivals in a window after a time."""
    times = sorted(t for t in arrivals if t >= since)
    return max(
        (bisect_left(times, t + WINDOW_S) - i for i, t in enumerate(times)), default=0
    )


def compute_allowed(rate_limit):
    return rate_limit * OVERAGE * WINDOW_S + SLACK


async def test_a_stated_rate_limit_shows_in_log_and_metrics(site, records):
    """Nothing told that a server had stated a limit, nor what it got after that."""
    for server in site.servers:
        if server.service == "desk":
            server.rate_limit = "6.5"
    for index in range(12):
        await site.order(index % 3)
    (instance, *_) = site.instances
    instance.metrics.set_rate_limits(instance._view.list_rate_limits())
    metrics = instance.metrics.render().decode()
    assert 'basilwick_server_rate_limit{server="desk0"} 6.5' in metrics
    assert 'basilwick_rate_limited_requests_total{server="desk' in metrics
    changes = [
        r["extra"] for r in records if r["message"] == "server rate limit changed"
    ]
    assert {(c["former"], c["rate_limit"]) for c in changes} == {("none", 6.5)}


async def test_all_instances_together_keep_the_rate_limit_of_a_server(site):
    """A server that stated 13.5 requests a second got 41 a second."""
    servers = [s for s in site.servers if s.service == "desk"]
    for server in servers:
        server.rate_limit = "6"
    started = asyncio.get_running_loop().time()
    statuses = await offer(lambda n: site.order(n % 3), 40, 8.0)
    for server in servers:
        worst = count_in_worst_window(server.arrivals, started + NOTICE_S)
        assert worst <= compute_allowed(6)
    assert statuses.count(200) >= 6 * len(servers) * 5


async def test_the_rate_limit_of_an_owner_is_kept_and_its_keys_move(site):
    """An owner with a limit got all requests for its keys."""
    owner = next(s for s in site.servers if s.partitioned and s.holds(20_000))
    keys = [k for k in range(0, 65_536, 512) if owner.holds(k)]
    owner.rate_limit = "4"
    started = asyncio.get_running_loop().time()
    statuses = await offer(lambda n: site.read(keys[n % len(keys)], n % 3), 30, 9.0)
    worst = count_in_worst_window(owner.arrivals, started + NOTICE_S)
    assert worst <= compute_allowed(4)
    assert set(statuses[-60:]) == {200}


async def test_the_rate_limit_of_a_server_outlasts_the_leader(site):
    """A new leader knew no limits, and instances without a leader kept none."""
    servers = [s for s in site.servers if s.service == "desk"]
    for server in servers:
        server.rate_limit = "3"
    started = asyncio.get_running_loop().time()
    leader = site.find_leader()
    index = site.instances.index(leader)
    others = [i for i in range(3) if i != index]
    offered = asyncio.create_task(offer(lambda n: site.order(others[n % 2]), 40, 9.0))
    await asyncio.sleep(NOTICE_S + 1.0)
    site.store.down = True
    await site.kill(site.instances[index])
    await asyncio.sleep(2.0)
    site.store.down = False
    await offered
    del site.instances[index]
    await wait_until(lambda: site.find_leader() is not None)
    for server in servers:
        worst = count_in_worst_window(server.arrivals, started + NOTICE_S)
        assert worst <= compute_allowed(3)
