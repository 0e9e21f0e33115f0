"""Tests of unusable responses of the key-value service."""

from __future__ import annotations

import asyncio
import contextlib
import re

import pytest
import pytest_asyncio
from prometheus_client import CollectorRegistry

from basilwick.core.errors import PlatformUnavailableError
from basilwick.platform.key_value_store import (
    KeyValueStore,
    StoreRestoredError,
    WriteResult,
    get_era,
)


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


class RestoredService:
    """Service whose era and responses are set by a test."""

    def __init__(self):
        self.era = "1"
        self.status = 200
        self.body = b"{}"
        self.requests = []

    async def handle(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            body = await reader.readexactly(int(length[1])) if length else b""
            self.requests.append(head.split(b"\r\n")[0] + body)
            era = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
            writer.write(
                f"HTTP/1.1 {self.status} OK\r\n{era}Connection: close\r\n"
                f"Content-Length: {len(self.body)}\r\n\r\n".encode()
                + self.body
            )
        writer.close()


@pytest_asyncio.fixture
async def restored():
    service = RestoredService()
    server = await asyncio.start_server(service.handle, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    store = KeyValueStore(address, CollectorRegistry())
    await store.start()
    yield service, store
    await store.close()
    server.close()


async def list_at(service, store, era, revision):
    service.era, service.status = era, 200
    service.body = b'{"items":[],"currentRev":%d}' % revision
    return (await store.list_items("", "list all"))[1]


async def test_a_revision_of_a_later_era_is_larger(restored):
    earlier = await list_at(*restored, "1", 900)
    later = await list_at(*restored, "2", 7)
    assert later > earlier
    assert (get_era(earlier), get_era(later)) == (1, 2)


@pytest.mark.parametrize("status", [200, 410])
async def test_a_watch_from_an_earlier_era_is_answered_by_a_restore(restored, status):
    """Changes between the copy and the known revision would be missed."""
    service, store = restored
    revision = await list_at(service, store, "1", 900)
    service.era, service.status = "2", status
    service.body = b'{"events":[],"currentRev":950}'
    with pytest.raises(StoreRestoredError):
        await store.watch("", revision, 0.1, "watch all")
    assert b"after=900" in service.requests[-1]


async def test_a_condition_of_an_earlier_era_is_not_sent(restored):
    """Another writer's value can have the same revision in the new era."""
    service, store = restored
    revision = await list_at(service, store, "1", 900)
    await list_at(service, store, "2", 20)
    sent = len(service.requests)
    result, _ = await store.write("k", b"v", revision, "store ranges")
    assert result is WriteResult.CONFLICT
    assert not await store.remove("k", revision, "resign")
    assert len(service.requests) == sent


async def test_a_write_whose_answer_tells_a_new_era_has_an_unknown_result(restored):
    service, store = restored
    revision = await list_at(service, store, "1", 900)
    service.era, service.body = "2", b'{"revision":901}'
    with pytest.raises(PlatformUnavailableError, match="restored"):
        await store.write("k", b"v", revision, "store ranges")


@pytest.mark.parametrize("era", ["0", "x", "-1", "1e3", "99999999999", ""])
async def test_an_answer_of_an_impossible_era_is_not_used(restored, era):
    await list_at(*restored, "1", 900)
    with pytest.raises(PlatformUnavailableError):
        await list_at(*restored, era, 901)


@pytest.mark.parametrize(
    ("eras", "expected"),
    [
        ([None], False),
        (["0"], False),
        (["1", "1"], False),
        (["0", "1"], True),
        (["1", "2"], True),
        (["2"], True),
    ],
)
async def test_a_return_before_the_start_of_the_process_is_known(
    restored, eras, expected
):
    """A new process took a service that had lost its items for a new one."""
    for era in eras:
        await list_at(*restored, era, 900)
    assert restored[1].may_be_restored is expected


async def test_a_service_without_eras_has_plain_revisions(restored):
    assert await list_at(*restored, None, 900) == 900


async def test_a_second_answer_of_the_service_is_not_taken_for_the_next_one():
    """A write that the service refused counted as done."""
    done = b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"revision":1}'
    refused = b"HTTP/1.1 412 Failed\r\nContent-Length: 0\r\n\r\n"

    async def answer(reader, writer):
        for number in range(2):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            writer.write(refused if number else done)
            if not number:
                await asyncio.sleep(0.02)
                writer.write(done)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    store = KeyValueStore(address, CollectorRegistry())
    await store.start()
    assert (await store.write("a", b"v", 0, "test"))[0] is WriteResult.DONE
    await asyncio.sleep(0.1)
    result, _ = await store.write("b", b"v", 0, "test")
    await store.close()
    server.close()
    assert result is not WriteResult.DONE
