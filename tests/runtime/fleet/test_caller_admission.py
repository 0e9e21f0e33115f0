"""Memory that an instance holds for callers, and what it refuses for it."""

from __future__ import annotations

import asyncio
from socket import SO_RCVBUF, SOL_SOCKET, socket

from fleet_site import HOST, wait_until

from basilwick.fakes.streamed_bodies import StreamedBody

MB = 1 << 20
GET = f"GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nX-Shard-Key: 1\r\n\r\n".encode()


async def open_slow(address):
    sock = socket()
    sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    sock.setblocking(False)
    host, port = address.split(":")
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=1024)


def set_budget(site, max_bytes):
    """Give the first instance a budget; its connections so far have none."""
    budget = site.instances[0]._caller_server.budget
    budget.max_bytes = max_bytes
    return budget


async def test_a_request_beyond_the_budget_is_refused_before_it_runs(site):
    """An instance over its memory was killed with all its requests."""
    budget = set_budget(site, 8 * MB)
    budget.add(8 * MB)
    runs = len(site.runs)
    response = await site.order()
    assert (response.status, float(response.headers["Retry-After"])) == (503, 1.0)
    assert len(site.runs) == runs
    budget.add(-8 * MB)
    assert (await site.order()).status == 200


async def test_all_that_is_counted_is_released(site):
    """Counts that stay behind would refuse ordinary requests for ever."""
    budget = set_budget(site, 8 * MB)
    bodies = StreamedBody(4 * MB, sized=True)
    for server in site.servers:
        server.streamed_body = bodies
    writers = [(await open_slow(site.caller_addresses[0]))[1] for _ in range(4)]
    for writer in writers:
        writer.write(GET * 3)
    await wait_until(lambda: budget.held_bytes > 3 * MB, 4.0)
    assert budget.held_bytes <= 8 * MB
    for writer in writers:
        writer.transport.abort()
    for server in site.servers:
        server.streamed_body = None
    await site.order(body=b"b" * (2 * MB))
    await wait_until(lambda: budget.held_bytes == 0, 8.0)
