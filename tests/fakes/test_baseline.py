"""Tests that the baseline router works, so that comparisons with it are valid."""

from __future__ import annotations

from aiohttp import ClientSession

from basilwick.fakes.backend import FakeBackend
from basilwick.fakes.baseline import BaselineRouter


async def test_keys_keep_their_server_and_a_refused_request_is_retried_at_the_next():
    # Guards against a comparison with a router that fails or remaps keys.
    servers = [FakeBackend(name) for name in ("a", "b", "c")]
    for server in servers:
        await server.start()
    router = BaselineRouter({"clue": [server.address for server in servers]})
    await router.start()
    try:
        async with ClientSession(f"http://127.0.0.1:{router.port}") as session:

            async def _get(key):
                async with session.get(f"/v1/clue/{key}") as answer:
                    return (await answer.json())["server"]

            first_servers = [await _get(key) for key in range(30)]
            assert set(first_servers) == {"a", "b", "c"}
            assert [await _get(key) for key in range(30)] == first_servers
            servers[0].faults.shedding = 1.0
            assert {await _get(key) for key in range(30)} == {"b", "c"}
    finally:
        await router.close()
        for server in servers:
            await server.close()
