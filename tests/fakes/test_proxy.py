"""Tests that the fault proxy injects each fault as documented."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from time import monotonic

import pytest

from basilwick.fakes.proxy import FaultProxy, LinkFault


@asynccontextmanager
async def _run_echo_server_behind_proxy(**options):
    received = bytearray()

    async def _echo(reader, writer):
        while data := await reader.read(1000):
            received.extend(data)
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    target = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    proxy = FaultProxy(target, **options)
    await proxy.start()
    try:
        yield proxy, received
    finally:
        await proxy.close()
        server.close()


async def _read(reader, timeout_s=0.2):
    async with asyncio.timeout(timeout_s):
        return await reader.read(1000)


async def test_faults_act_on_open_and_new_connections():
    # Guards against fault tests that pass because the fault was never injected.
    async with _run_echo_server_behind_proxy() as (proxy, received):
        reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
        writer.write(b"a")
        assert await _read(reader) == b"a"
        proxy.set_fault(LinkFault.HOLD_REQUESTS)
        writer.write(b"b")
        with pytest.raises(TimeoutError):
            await _read(reader)
        assert received == b"a"
        proxy.set_fault(LinkFault.NONE)
        assert await _read(reader) == b"b"
        proxy.set_fault(LinkFault.SILENT)
        writer.write(b"c")
        with pytest.raises(TimeoutError):
            await _read(reader)
        reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
        writer.write(b"d")
        assert await _read(reader) == b"d"
        proxy.set_fault(LinkFault.LOSE_RESPONSES)
        writer.write(b"e")
        assert await _read(reader) == b""
        assert received == b"abde"


async def test_delay_adds_to_latency_and_does_not_limit_throughput():
    # Guards against a proxy that applies its delay to the chunks of a body in series.
    async with _run_echo_server_behind_proxy(delay_s=0.02) as (proxy, _):
        reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
        began = monotonic()
        for _ in range(20):
            writer.write(b"x" * 100)
            await asyncio.sleep(0.001)
        await reader.readexactly(2000)
        assert 0.04 <= monotonic() - began < 0.2
