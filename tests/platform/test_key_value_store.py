"""Tests of unusable responses of the key-value service."""

from __future__ import annotations

import asyncio

import pytest
import pytest_asyncio
from prometheus_client import CollectorRegistry

from basilwick.core.errors import PlatformUnavailableError
from basilwick.platform.key_value_store import KeyValueStore


@pytest_asyncio.fixture
async def start_store():
    opened = []
    writers = []

    async def start(respond):
        async def handle(reader, writer):
            writers.append(writer)
            try:
                await reader.readuntil(b"\r\n\r\n")
                await respond(writer)
            except ConnectionError:
                writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        store = KeyValueStore(f"127.0.0.1:{port}", CollectorRegistry())
        await store.start()
        opened.append((store, server))
        return store

    yield start
    for store, server in opened:
        await store.close()
        server.close()
    for writer in writers:
        writer.close()


def respond_with(body):
    async def respond(writer):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    return respond


@pytest.mark.parametrize(
    "body", [b"[]", b"null", b"{}", b'{"items":[4],"currentRev":1}', b"{", b"\xff"]
)
async def test_response_of_unexpected_form_is_reported_as_unavailable(
    start_store, body
):
    """A missing field must not raise another error, which would end the watch loop."""
    store = await start_store(respond_with(body))
    with pytest.raises(PlatformUnavailableError):
        await store.list_items("", "list all")
    with pytest.raises(PlatformUnavailableError):
        await store.watch("", 1, 0.1, "watch all")
    with pytest.raises(PlatformUnavailableError):
        await store.create_lease(2.0, "lead")


async def test_endless_response_is_aborted(start_store):
    sent = 0

    async def respond(writer):
        nonlocal sent
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n{")
        while True:
            writer.write(b" " * 65_536)
            await writer.drain()
            sent += 65_536
            await asyncio.sleep(0)

    store = await start_store(respond)
    with pytest.raises(PlatformUnavailableError):
        await store.get("k", "read")
    assert sent < 40 << 20


async def test_a_read_goes_on_while_bytes_arrive(start_store):
    """A long list on a slow link was cut off after a second and began anew."""
    items = b",".join(
        b'{"key":"servers/s%d","value":"","revision":%d}' % (n, n) for n in range(1, 8)
    )
    body = b'{"items":[' + items + b'],"currentRev":8}'

    async def respond(writer):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode())
        for start in range(0, len(body), 100):
            await asyncio.sleep(0.4)
            writer.write(body[start : start + 100])

    store = await start_store(respond)
    listed, revision = await store.list_items("", "list all")
    assert len(listed) == 7
    assert revision == 8


async def test_a_read_without_bytes_is_abandoned_after_a_second(start_store):
    async def respond(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")

    store = await start_store(respond)
    started_at = asyncio.get_running_loop().time()
    with pytest.raises(PlatformUnavailableError):
        await store.list_items("", "list all")
    assert asyncio.get_running_loop().time() - started_at < 1.5
