"""Answers of the key-value service that are not what was asked for."""

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

    async def start(answer):
        async def handle(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                await answer(writer)
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


def answer_with(body):
    async def answer(writer):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    return answer


@pytest.mark.parametrize(
    "body", [b"[]", b"null", b"{}", b'{"items":[4],"currentRev":1}', b"{", b"\xff"]
)
async def test_an_answer_of_another_form_counts_as_none(start_store, body):
    """A missing field ended the loop that reads all changes."""
    store = await start_store(answer_with(body))
    with pytest.raises(PlatformUnavailableError):
        await store.list_items("", "list all")
    with pytest.raises(PlatformUnavailableError):
        await store.watch("", 1, 0.1, "watch all")
    with pytest.raises(PlatformUnavailableError):
        await store.create_lease(2.0, "lead")


async def test_an_answer_without_end_is_given_up(start_store):
    sent = 0

    async def answer(writer):
        nonlocal sent
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n{")
        while True:
            writer.write(b" " * 65_536)
            await writer.drain()
            sent += 65_536
            await asyncio.sleep(0)

    store = await start_store(answer)
    with pytest.raises(PlatformUnavailableError):
        await store.get("k", "read")
    assert sent < 40 << 20
