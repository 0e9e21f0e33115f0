"""Connections to servers after exchanges that end in any way."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from aiohttp import ClientError
from fleet_site import wait_until

from basilwick.fakes.second_answers import SecondAnswers
from basilwick.fakes.streamed_bodies import StreamedBody

LONG_BYTES = 300_000
#: Pause in seconds between the pieces of a body without end.
PIECE_INTERVAL_S = 0.005
#: Bodies of requests: buffered, and streamed.
UPLOAD_BYTES = (10, 40_000, 3 << 20)
#: Time in seconds after the last request within which only idle connections are open.
SETTLED_S = 1.0


def list_pools(site):
    """Return the connection pools of all instances, by address."""
    clients = [
        client for i in site.instances for client in (i._client, i._order_client)
    ]
    return [item for client in clients for item in client._pools.items()]


def count_busy(site):
    """Return the number of connections that are open but not idle."""
    return sum(pool.open - len(pool._idle) for _, pool in list_pools(site))


def count_differences(site):
    """Return by how much the pools and the servers disagree on open connections."""
    opened = {server.address: server.count_connections() for server in site.servers}
    for address, pool in list_pools(site):
        opened[address] -= pool.open
    return sum(abs(difference) for difference in opened.values())


async def send_and_leave(site, rng, number):
    """Send a request whose caller leaves at any time, or stays."""
    index = number % len(site.instances)
    if rng.random() < 0.5:
        call = site.read(str(rng.randrange(65_536)), index)
    else:
        call = site.order(index, bytes(rng.choice(UPLOAD_BYTES)))
    task = asyncio.create_task(call)
    if rng.random() < 0.6:
        await asyncio.sleep(rng.uniform(0.0, 0.08))
        task.cancel()
    try:
        await task
    except (ClientError, asyncio.CancelledError):
        pass


@pytest.mark.parametrize("fault", ["", "endless", "early", "break", "lose"])
async def test_no_connection_stays_in_use_after_its_exchange(site, fault):
    """Answers that nobody read used up the connections to their servers for good."""
    rng = Random(fault)
    for server in site.servers:
        server.response_bytes = LONG_BYTES
        server.second_answers = SecondAnswers(rng, share=0.0, statuses=(200, 500))
    disturbed = (site.servers[0], site.servers[-1])
    for server in disturbed:
        if fault == "endless":
            server.streamed_body = StreamedBody(interval_s=PIECE_INTERVAL_S)
        else:
            server.fault = fault
    async with asyncio.TaskGroup() as tasks:
        for number in range(150):
            tasks.create_task(send_and_leave(site, rng, number))
            await asyncio.sleep(0.01)
    for server in disturbed:
        server.fault = ""
        server.streamed_body = None
    await wait_until(lambda: not count_busy(site), SETTLED_S + 3.0)
    await wait_until(lambda: not count_differences(site), SETTLED_S)
