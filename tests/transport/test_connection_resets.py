"""Connections to servers end with a reset, whoever closes them."""

from __future__ import annotations

import asyncio
import os
from socket import SHUT_WR, SO_LINGER, SO_RCVBUF, SOL_SOCKET, socket
from struct import unpack
from time import monotonic, sleep

import pytest
import pytest_asyncio

from basilwick.platform.http_messages import read_response_metadata
from basilwick.transport.connection_pool import (
    ConnectionPool,
    NoIdleConnectionError,
    PoolClosedError,
)
from basilwick.transport.server_client import SendFailure, ServerClient, ServerRequest

HEAD = b"POST /grant HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
ORDER = ServerRequest("POST", HEAD, b"", b"", idempotent=True, exclusive=True)
#: More than the socket buffers on both sides take from a peer that doesn't read.
HELD = b"x" * (8 << 20)


class Peer:
    """Server that reads nothing until it is told to."""

    def __init__(self):
        self._listener = socket()
        self._listener.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connection = None

    async def accept(self):
        loop = asyncio.get_running_loop()
        self.connection, _ = await loop.sock_accept(self._listener)

    async def read_end(self):
        """Read to the end; returns "reset" or "closed"."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(5):
                while await loop.sock_recv(self.connection, 1 << 16):
                    pass
        except ConnectionResetError:
            return "reset"
        return "closed"

    def close(self):
        self._listener.close()
        if self.connection is not None:
            self.connection.close()


@pytest.fixture
def peer():
    peer = Peer()
    yield peer
    peer.close()


@pytest_asyncio.fixture
async def client():
    client = ServerClient(monotonic, read_response_metadata)
    yield client
    await client.close()


def close_as_at_process_end(connection):
    """Close the socket as the kernel does, behind the back of its transport."""
    null = os.open(os.devnull, os.O_RDWR)
    os.dup2(null, connection.transport.get_extra_info("socket").fileno())
    os.close(null)


async def test_the_end_of_the_process_resets_connections(peer):
    """A killed leader's order was delivered when a partition healed."""
    pool = ConnectionPool(peer.address, 2, monotonic)
    connection = await pool.acquire()
    await peer.accept()
    connection.write_head(HEAD + HELD, False)
    close_as_at_process_end(connection)
    assert await peer.read_end() == "reset"


async def test_the_kernel_ends_a_connection_that_a_stopped_process_left_behind(peer):
    """A stopped leader's order was delivered when a partition healed."""
    pool = ConnectionPool(peer.address, 2, monotonic, tcp_user_timeout_s=0.3)
    connection = await pool.acquire()
    await peer.accept()
    connection.write_head(HEAD + HELD, False)
    # The process does nothing while the peer takes no byte.
    sleep(1.5)
    assert await peer.read_end() == "reset"


async def test_a_new_connection_resets_on_close(peer):
    pool = ConnectionPool(peer.address, 2, monotonic)
    connection = await pool.open_new()
    sock = connection.transport.get_extra_info("socket")
    assert unpack("ii", sock.getsockopt(SOL_SOCKET, SO_LINGER, 8)) == (1, 0)
    pool.close()


async def test_a_half_closed_connection_is_reset(peer, client):
    """The transport closes by itself at the peer's end, and left the order behind."""
    send = asyncio.create_task(client.send(peer.address, ORDER, 2.0, 4))
    await peer.accept()
    peer.connection.shutdown(SHUT_WR)
    assert isinstance(await send, SendFailure)
    assert await peer.read_end() == "reset"


async def test_a_connection_with_an_unreadable_answer_is_reset(peer, client):
    """The parser closes the transport by itself, and left the order behind."""
    send = asyncio.create_task(client.send(peer.address, ORDER, 2.0, 4))
    await peer.accept()
    peer.connection.send(b"no answer\r\n\r\n")
    assert isinstance(await send, SendFailure)
    assert await peer.read_end() == "reset"


class Upload:
    """Body of a caller that arrives piece by piece."""

    def __init__(self, pieces, size):
        self._pieces = [b"y" * size] * pieces
        self.length = pieces * size

    async def read_chunk(self):
        await asyncio.sleep(0)
        return self._pieces.pop() if self._pieces else b""


@pytest.mark.parametrize("streamed", [True, False], ids=["streamed", "whole"])
async def test_a_reset_at_close_cuts_off_neither_body_nor_answer(client, streamed):
    """A server that closes after its answer reads and answers requests as before."""
    received = []

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        size = 0
        while size < 4 << 20:
            size += len(await reader.read(1 << 16))
            await asyncio.sleep(0.001)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        writer.write(b"z" * (1 << 20))
        await writer.drain()
        writer.close()
        received.append(size)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    body = Upload(64, 1 << 16) if streamed else b"y" * (4 << 20)
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"
    request = ServerRequest("POST", head, body, b"", idempotent=False)
    result = await client.send(address, request, 10.0, 4)
    size = 0
    while chunk := await result.body.read_chunk():
        size += len(chunk)
    assert (received, size) == ([4 << 20], 1 << 20)
    server.close()


async def cancel(client, address, send):
    send.cancel()


async def close_client(client, address, send):
    await client.close()


async def forget(client, address, send):
    client.forget(address)


async def wait(client, address, send):
    pass


@pytest.mark.parametrize("end", [cancel, close_client, forget, wait])
async def test_a_send_resets_its_connection_however_it_ends(peer, client, end):
    """A send that ended another way than by its timeout left its order behind."""
    send = asyncio.create_task(client.send(peer.address, ORDER, 0.3, 4))
    await peer.accept()
    await asyncio.sleep(0.05)
    await end(client, peer.address, send)
    await asyncio.gather(send, return_exceptions=True)
    assert await peer.read_end() == "reset"


async def test_an_order_reported_as_not_sent_never_arrives(client):
    """A timeout at the moment of the write could report a written order as unsent."""
    received = set()

    async def receive(reader, writer):
        try:
            while data := await reader.read(1 << 16):
                received.update(data.split(b"\r\n\r\n"))
        except ConnectionError:
            pass
        writer.close()

    server = await asyncio.start_server(receive, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    unsent = set()
    for number in range(300):
        head = b"POST /%d HTTP/1.1" % number
        exclusive = bool(number % 2)
        order = ServerRequest(
            "POST", head + b"\r\n\r\n", b"", b"", True, False, exclusive
        )
        result = await client.send(address, order, number * 5e-6, 4)
        if not result.may_have_run:
            unsent.add(head)
    await asyncio.sleep(0.2)
    assert unsent
    assert received
    assert not unsent & received
    server.close()


@pytest.mark.parametrize("turns", range(8))
async def test_a_connection_that_opens_during_a_cancel_is_not_left_open(turns):
    """A connection made at the moment of a cancel would belong to nobody."""
    ends = asyncio.Queue()

    async def receive(reader, writer):
        try:
            ends.put_nowait(await reader.read(100))
        except ConnectionError:
            ends.put_nowait(b"")
        writer.close()

    server = await asyncio.start_server(receive, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    pool = ConnectionPool(address, 2, monotonic)
    opening = asyncio.create_task(pool.open_new())
    for _ in range(turns):
        await asyncio.sleep(0)
    opening.cancel()
    (result,) = await asyncio.gather(opening, return_exceptions=True)
    if isinstance(result, asyncio.CancelledError):
        assert pool.open == pool._opening == 0
    else:
        pool.release(result, reusable=False)
    if turns:
        assert await asyncio.wait_for(ends.get(), 2) == b""
    server.close()


@pytest.mark.parametrize("end", ["close", "retire"])
async def test_a_connection_that_opens_while_its_pool_ends_is_not_used(end):
    """An order was written to a server after all its connections had been closed."""
    ends = asyncio.Queue()

    async def receive(reader, writer):
        try:
            ends.put_nowait(await reader.read(100))
        except ConnectionError:
            ends.put_nowait(b"")
        writer.close()

    server = await asyncio.start_server(receive, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    pool = ConnectionPool(address, 2, monotonic)
    opening = asyncio.create_task(pool.open_new())
    await asyncio.sleep(0)
    getattr(pool, end)()
    with pytest.raises(PoolClosedError):
        await opening
    assert pool.open == 0
    assert await asyncio.wait_for(ends.get(), 2) == b""
    server.close()


async def test_a_wait_for_a_kept_connection_does_not_hold_up_one_for_any(peer):
    """It took the only wake-up, and the other wait ran into its time-out."""
    pool = ConnectionPool(peer.address, 1, monotonic)
    connection = await pool.acquire()
    kept = asyncio.create_task(pool.acquire_idle())
    await asyncio.sleep(0)
    any_ = asyncio.create_task(pool.acquire())
    await asyncio.sleep(0)
    pool.release(connection, reusable=False)
    with pytest.raises(NoIdleConnectionError):
        await kept
    opened = await asyncio.wait_for(any_, 1.0)
    assert opened is not connection
    pool.close()
