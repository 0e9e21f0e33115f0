"""Planned stops of the callers' port while kept connections carry requests."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

import pytest
from attrs import define, field

from basilwick.transport.exchange import Answer
from basilwick.transport.http_server import HttpServer, RawResponse

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"


@define(eq=False)
class Site:
    """A server that takes a while for each request, and counts those it has read."""

    rng: Random
    read: int = 0
    server: HttpServer = field(init=False)

    async def start(self):
        self.server = HttpServer("127.0.0.1:0", self._handle)
        await self.server.start()

    async def _handle(self, raw):
        await raw.content.read()
        self.read += 1
        await asyncio.sleep(self.rng.choice([0.0, 0.002, 0.05]))
        response = RawResponse(raw)
        await response.send(Answer(200, [], b"done"))
        return response

    def open(self):
        host, port = self.server.address.split(":")
        return asyncio.open_connection(host, int(port))


@define(eq=False)
class Caller:
    """Sends requests on one connection until it is closed."""

    rng: Random
    answered: int = 0

    async def run(self, site, size):
        reader, writer = await site.open()
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._ask(site, reader, writer, size)
        writer.close()

    async def _ask(self, site, reader, writer, size):
        while True:
            await asyncio.sleep(self.rng.expovariate(100.0))
            writer.write(REQUEST[:size])
            if size < len(REQUEST):
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))
                writer.write(REQUEST[size:])
            head = await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(4) == b"done"
            self.answered += 1
            if b"Connection: close" in head:
                return


@pytest.mark.parametrize("seed", range(40))
async def test_each_request_that_a_stopping_server_read_gets_its_answer(seed):
    """A whole request on a kept connection was read in a stop and cut off."""
    rng = Random(seed)
    site = Site(rng)
    await site.start()
    callers = [Caller(rng) for _ in range(12)]
    sizes = [len(REQUEST), len(REQUEST), 20]
    tasks = [
        asyncio.create_task(caller.run(site, rng.choice(sizes))) for caller in callers
    ]
    await asyncio.sleep(rng.uniform(0.02, 0.1))
    if rng.random() < 0.5:
        site.server.announce_close()
        await asyncio.sleep(rng.uniform(0.0, 0.05))
    assert await site.server.drain(4.0)
    await site.server.close()
    await asyncio.gather(*tasks)
    assert site.read == sum(caller.answered for caller in callers)


async def test_a_connection_that_was_just_opened_gets_its_first_answer():
    """Requests that had just been accepted were cut off in a planned stop."""
    site = Site(Random(1))
    await site.start()
    reader, writer = await site.open()
    await asyncio.sleep(0.01)
    drain = asyncio.create_task(site.server.drain(2.0))
    await asyncio.sleep(0.1)
    writer.write(REQUEST)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    assert await drain
    await site.server.close()


async def test_requests_in_line_behind_the_last_one_get_their_answers():
    site = Site(Random(1))
    await site.start()
    site.server.announce_close()
    reader, writer = await site.open()
    writer.write(3 * REQUEST)
    answers = await reader.read()
    assert (answers.count(b"200 OK"), answers.count(b"Connection: close")) == (3, 1)
    await site.server.close()


async def test_a_head_that_does_not_end_closes_its_connection():
    """One byte a second held a connection for ever."""
    site = Site(Random(1))
    await site.start()
    site.server.set_timeouts(15.0, 0.3)
    reader, writer = await site.open()

    async def trickle():
        for byte in REQUEST:
            writer.write(bytes([byte]))
            await asyncio.sleep(0.1)

    task = asyncio.create_task(trickle())
    # Bytes that are still on their way turn the close into a reset.
    with suppress(ConnectionResetError):
        assert await asyncio.wait_for(reader.read(), 3) == b""
    assert not task.done()
    task.cancel()
    await site.server.close()
