"""Connections of long answers that no caller reads."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web
from fleet_site import wait_until

from basilwick.fakes.key_server import KeyServer

#: Length in bytes of bodies that are passed on in pieces.
LONG = 400_000
REQUESTS = 6


def answer_long(monkeypatch, status, **extra_fields):
    async def respond(server, request, headers, _):
        fields = {**headers, **extra_fields}
        return web.Response(status=status, headers=fields, body=b"x" * LONG)

    monkeypatch.setattr(KeyServer, "_respond", respond)


async def wait_until_no_connection_is_in_use(site):
    pools = [p for m in site.instances for p in m._client._pools.values()]
    await wait_until(lambda: all(p.open == len(p._idle) for p in pools), 1.0)


async def test_a_failure_that_a_retry_replaces_holds_no_connection(site, monkeypatch):
    """A server went on sending an answer that nobody read."""
    answer_long(monkeypatch, 500)
    for number in range(REQUESTS):
        response = await site.read(number * 1000)
        assert (response.status, len(response.body)) == (500, LONG)
    await wait_until_no_connection_is_in_use(site)


async def test_a_rejection_with_a_long_body_holds_no_connection(site, monkeypatch):
    answer_long(monkeypatch, 503, **{"X-Not-Executed": "1"})
    for _ in range(REQUESTS):
        assert (await site.order()).status == 503
    await wait_until_no_connection_is_in_use(site)


async def test_an_order_whose_caller_left_holds_no_connection(site, monkeypatch):
    """All connections to a server were used up by answers to callers that had left."""
    answer_long(monkeypatch, 200)
    for server in site.servers:
        server.service_time_s = 0.2

    async def leave_early():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await site.order()

    await asyncio.gather(*(leave_early() for _ in range(REQUESTS)))
    await wait_until(lambda: not any(s.running for s in site.servers))
    await asyncio.sleep(0.1)
    await wait_until_no_connection_is_in_use(site)
