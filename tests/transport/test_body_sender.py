"""Streamed bodies at their time limit, with callers that read slowly."""

from __future__ import annotations

import asyncio
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket

import pytest
import pytest_asyncio
from attrs import define, field

from basilwick.core.errors import ErrorKind, make_refusal
from basilwick.transport.exchange import Answer
from basilwick.transport.http_server import HttpServer, RawResponse

PIECE = b"z" * (16 << 10)
TIME_LIMIT_S = 0.3
TOLERANCE_S = 0.4
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


@define(eq=False)
class ScriptedBody:
    """Body of which some pieces are ready; then it ends, fails, stalls or goes on."""

    pieces: int
    then: str = "end"
    length: int | None = None
    closed: asyncio.Event = field(factory=asyncio.Event)

    async def read_chunk(self):
        await asyncio.sleep(0)
        if self.pieces or self.then == "go on":
            self.pieces = max(0, self.pieces - 1)
            return PIECE
        if self.then == "stall":
            await asyncio.sleep(60.0)
        if self.then == "fail":
            return make_refusal(ErrorKind.CONNECTION_LOST, "the server has gone")
        return b""

    def close(self):
        self.closed.set()


@define(eq=False)
class StreamingInstance:
    """Instance that answers all requests with one body, through small socket buffers.

    Attributes
    ----------
    failures : list of str
        Why each answer was not sent to its end.
    """

    body: ScriptedBody | None = None
    failures: list[str] = field(factory=list)
    server: HttpServer = field(init=False)

    async def start(self):
        self.server = HttpServer("127.0.0.1:0", self._handle)
        await self.server.start()

    async def _handle(self, raw):
        raw.transport.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_SNDBUF, 8192)
        response = RawResponse(raw)
        body, self.body = self.body or b"small", None
        await response.send(Answer(200, [], body), TIME_LIMIT_S)
        self.failures.append(response.failure)
        return response

    async def open(self):
        loop = asyncio.get_running_loop()
        sock = socket()
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
        sock.setblocking(False)
        host, port = self.server.address.split(":")
        await loop.sock_connect(sock, (host, int(port)))
        return await asyncio.open_connection(sock=sock, limit=1024)


@pytest_asyncio.fixture
async def instance():
    instance = StreamingInstance()
    await instance.start()
    yield instance
    await instance.server.close()


async def read_body(reader):
    """Read the body of a chunked answer; raises IncompleteReadError if it is cut."""
    await reader.readuntil(b"\r\n\r\n")
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def test_a_ready_body_is_delivered_to_a_caller_that_reads_late(instance):
    """The rest was cut at the time limit although the server had sent all of it."""
    body = instance.body = ScriptedBody(16)
    reader, writer = await instance.open()
    writer.write(REQUEST)
    await asyncio.sleep(TIME_LIMIT_S + TOLERANCE_S)
    assert not body.closed.is_set()
    assert await read_body(reader) == 16 * PIECE
    # The wait for the full buffer must leave the connection usable.
    writer.write(REQUEST)
    assert (await reader.readuntil(b"small")).startswith(b"HTTP/1.1 200 ")
    assert instance.failures == ["", ""]
    writer.close()


@pytest.mark.parametrize("then", ["go on", "stall", "fail"])
async def test_a_body_that_is_not_ready_is_cut_while_its_caller_reads_nothing(
    instance, then
):
    """A server was held for as long as its caller did not read."""
    body = instance.body = ScriptedBody(16, then)
    reader, writer = await instance.open()
    writer.write(REQUEST)
    async with asyncio.timeout(TIME_LIMIT_S + TOLERANCE_S):
        await body.closed.wait()
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await read_body(reader)
    assert instance.failures != [""]
    writer.close()


async def test_the_rest_that_is_buffered_for_a_slow_caller_is_bounded(instance):
    """A long body would fill the memory when its time limit is reached."""
    body = instance.body = ScriptedBody(1000)
    reader, writer = await instance.open()
    writer.write(REQUEST)
    async with asyncio.timeout(TIME_LIMIT_S + TOLERANCE_S):
        await body.closed.wait()
    assert body.pieces > 900
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await read_body(reader)
    writer.close()


@pytest.mark.parametrize(("max_bytes", "left"), [(4 << 20, 0), (320 << 10, 10)])
async def test_a_server_is_read_from_while_the_caller_pauses(instance, max_bytes, left):
    """A server cut off an answer that was left unread for a slow caller.

    Only the budget of all answers ends the reading.
    """
    instance.server.budget.max_bytes = max_bytes
    body = instance.body = ScriptedBody(40)
    reader, writer = await instance.open()
    writer.write(REQUEST)
    await asyncio.sleep(TIME_LIMIT_S / 2)
    assert body.pieces >= left
    assert not body.pieces or left
    assert await read_body(reader) == 40 * PIECE
    writer.close()
    assert instance.server.budget.held_bytes == 0
