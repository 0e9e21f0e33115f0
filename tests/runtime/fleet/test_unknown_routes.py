"""Requests without a route, on instances that may not know the newest configuration."""

from __future__ import annotations

import asyncio


async def wait_for_status(site, index, status):
    async with asyncio.timeout(4.0):
        while (response := await site.send("GET", "/none/x", index)).status != status:
            await asyncio.sleep(0.1)
    return response


async def test_an_instance_that_may_be_behind_does_not_answer_404(site):
    """Requests for a route that had been added were told that there is none."""
    for index in (0, 1):
        for _ in range(20):
            assert (await site.send("GET", "/none/x", index)).status == 404
            await asyncio.sleep(0.05)
    site.store.down = True
    await asyncio.sleep(2.0)
    for index in (0, 1):
        response = await site.send("GET", "/none/x", index)
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        assert (await site.read(4, index)).status == 200
    site.store.down = False
    for index in (0, 1):
        await wait_for_status(site, index, 404)
