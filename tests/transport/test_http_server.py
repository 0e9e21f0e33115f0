"""Ends of the answers that callers get."""

from __future__ import annotations

import asyncio

import pytest

from basilwick.core.errors import ErrorKind, make_refusal
from basilwick.transport.exchange import Answer
from basilwick.transport.http_server import HttpServer, RawResponse


class BrokenStream:
    """Body without a length whose source fails after its first piece."""

    length = None

    def __init__(self):
        self._pieces = [b"half"]

    async def read_chunk(self):
        if self._pieces:
            return self._pieces.pop()
        # The caller receives the first piece before the failure.
        await asyncio.sleep(0.05)
        return make_refusal(ErrorKind.CONNECTION_LOST, "the server stopped half way")

    def close(self):
        pass


async def test_a_cut_answer_without_framing_ends_with_a_reset():
    """A caller of HTTP/1.0 took the part that was sent as the whole answer."""

    async def handle(raw):
        response = RawResponse(raw)
        await response.send(Answer(200, [], BrokenStream()))
        return response

    server = HttpServer("127.0.0.1:0", handle)
    await server.start()
    host, port = server.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /x HTTP/1.0\r\nHost: h\r\n\r\n")
    assert (await reader.readuntil(b"half")).startswith(b"HTTP/1.1 200 OK")
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()
    await server.close()
