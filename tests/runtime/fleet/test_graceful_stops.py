"""Planned stops of instances, leaders among them."""

from __future__ import annotations

import asyncio

import pytest_asyncio
from fleet_site import FleetSite, wait_until


@pytest_asyncio.fixture
async def site():
    site = FleetSite()
    try:
        await site.start()
        yield site
    finally:
        await site.close()


async def test_an_instance_that_stops_is_not_ready_and_finishes_its_requests(site):
    for server in site.servers:
        server.work_s = 0.6
    running = asyncio.create_task(site.order(0))
    await asyncio.sleep(0.1)
    stopping = asyncio.create_task(site.instances[0].close())
    await asyncio.sleep(0.05)
    assert await site.read_readiness(0) == 503
    assert await site.read_readiness(1) == 200
    assert (await running).status == 200
    await stopping
    site.instances.pop(0)
    site.callers.pop(0)


async def keep_asking(site, index, answers):
    """Ask on kept connections until the instance closes them."""
    while True:
        try:
            answers.append((await site.order(index)).status)
        except OSError:
            return


async def test_a_planned_stop_cuts_off_no_request(site):
    """A whole request was read 2.5 s after the signal, and its connection closed."""
    answers = []
    site.runs.clear()
    callers = [asyncio.create_task(keep_asking(site, 1, answers)) for _ in range(12)]
    await asyncio.sleep(0.5)
    before = len(site.runs)
    await site.instances.pop(1).close()
    await asyncio.gather(*callers)
    assert len(site.runs) > before
    assert set(answers) <= {200, 503}
    assert answers.count(200) == len(site.runs)


async def test_what_waits_in_the_last_part_of_a_stop_is_refused(site):
    for server in site.servers:
        server.work_s = 3.0
    orders = [asyncio.create_task(site.order(1)) for _ in range(30)]
    await asyncio.sleep(0.3)
    started = asyncio.get_running_loop().time()
    stop = asyncio.create_task(site.instances.pop(1).close())
    replies = await asyncio.gather(*orders, return_exceptions=True)
    refused = [r for r in replies if not isinstance(r, Exception) and r.status == 503]
    assert refused
    await stop
    assert asyncio.get_running_loop().time() - started < 2.6


async def test_a_leader_that_stops_in_an_outage_leads_until_its_end(site):
    """Nobody could follow it for 7 s, and the grants of all keys ran out."""
    leader = site.find_leader()
    index = site.instances.index(leader)
    other = 1 - index
    site.store.down = True
    await asyncio.sleep(0.3)
    stop = asyncio.create_task(leader.close())
    await asyncio.sleep(1.0)
    assert leader._leadership.leading
    assert (await site.read(5, other)).status == 200
    site.store.down = False
    await wait_until(lambda: not leader._leadership.leading)
    await stop
    site.instances.remove(leader)
    await wait_until(lambda: site.instances[0]._leadership.leading)
    assert (await site.read(5, other)).status == 200


async def test_a_leader_that_stops_gives_the_leadership_up_at_once(site):
    leader = site.find_leader()
    stop = asyncio.create_task(leader.close())
    await wait_until(lambda: not leader._leadership.leading, 0.5)
    await stop
    site.instances.remove(leader)
