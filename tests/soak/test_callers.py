"""Tests of the callers of a soak."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

from benchmarks.soak.callers import SoakCallers


async def test_a_caller_that_leaves_closes_its_connection_and_is_recorded():
    """Servers were never at work for callers that had left."""
    closed = asyncio.Event()

    async def never_answer(reader, writer):
        while await reader.read(65_536):
            pass
        closed.set()
        writer.close()

    server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    callers = SoakCallers(SimpleNamespace(), Random(1), Random(1), 1.0)
    await callers.start()
    call = await callers.call(SimpleNamespace(name="i0", caller=address), False, 5, 0.1)
    assert (call.status, call.left) == (0, True)
    async with asyncio.timeout(1.0):
        await closed.wait()
    await callers.close()
    server.close()


async def test_a_lost_connection_is_not_taken_for_a_caller_that_leaves():
    """A call that an instance cut off wasn't reported."""

    async def abort(reader, writer):
        await reader.read(1)
        writer.transport.abort()

    server = await asyncio.start_server(abort, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    callers = SoakCallers(SimpleNamespace(), Random(1), Random(1), 1.0)
    await callers.start()
    call = await callers.call(SimpleNamespace(name="i0", caller=address), False, 5, 1.0)
    assert (call.status, call.left) == (0, False)
    await callers.close()
    server.close()
