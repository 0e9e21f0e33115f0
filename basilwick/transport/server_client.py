"""Sends requests and ownership orders to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field, frozen
from loguru import logger

from basilwick.core.dispatch.messages import SendOutcome
from basilwick.core.errors import Refusal
from basilwick.transport.connection import LOST, AnswerStream
from basilwick.transport.connection_pool import ConnectionPool
from basilwick.transport.exchange import SMALL_BODY_BYTES, is_own_field

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Protocol

    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

    from basilwick.core.types import MonotonicSeconds
    from basilwick.transport.connection import HttpConnection
    from basilwick.transport.exchange import ByteStream

    class ResponseMetadata(Protocol):
        """What the sender reads from an answer's fields."""

        request_id: bytes
        not_run: bool


__all__ = ["SendFailure", "ServerAnswer", "ServerClient", "ServerRequest"]

#: Longest time in seconds for which a connection may have been idle. Servers close idle
#: connections, and a request that crosses the close may have run.
_IDLE_LIMIT_S = 4.0
_IDLE_LIMIT_ONCE_S = 1.5
#: Answers to other requests that are passed over before a connection is given up.
_STRAY_ANSWERS = 3
#: Interim answers (1xx) that are passed over before an answer.
_INTERIM_ANSWERS = 8
#: Status by which a server says that the request was meant for another one.
_MISDIRECTED = 421


@frozen
class ServerRequest:
    """A request as it is written to a server.

    Attributes
    ----------
    head : bytes
        Whole encoded head.
    body : bytes or ByteStream
        Body, whose length the head states.
    request_id : bytes
        Identity that the answer repeats; empty if it is not checked.
    idempotent : bool
        Whether it may be sent again after a doubtful end.
    chunked : bool
        Whether the body is sent in chunks, because its length is not known.
    exclusive : bool
        Whether it goes on a connection of its own, where no copy of another answer can
        be taken for its answer.
    kept : bool
        Whether it goes only on a connection that carried an earlier request, so that it
        reaches no process that started since.
    may_write : callable
        Called immediately before the write; if it returns False, the request is not
        written and counts as withdrawn.
    """

    method: str
    head: bytes
    body: bytes | ByteStream
    request_id: bytes
    idempotent: bool
    chunked: bool = False
    exclusive: bool = False
    kept: bool = False
    may_write: Callable[[], bool] = lambda: True


@frozen
class ServerAnswer:
    """Answer of a server to the request that was sent.

    Attributes
    ----------
    fields : list of pairs of bytes
        Header fields that are passed on.
    length : int or None
        Length of the body that the server stated.
    """

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes | AnswerStream
    length: int | None
    metadata: ResponseMetadata
    latency_s: float


@frozen
class SendFailure:
    """A send without a usable answer.

    Attributes
    ----------
    may_have_run : bool
        Whether a byte of the request may have reached the server.
    """

    outcome: SendOutcome
    may_have_run: bool
    detail: str


@define(eq=False)
class _Attempt:
    connection: HttpConnection | None = None
    sent_at: MonotonicSeconds = 0.0
    wrote: bool = False
    #: Whether the connection can carry another request afterwards.
    reusable: bool = False


@define(eq=False)
class ServerClient:
    """Kept connections to all servers.

    Parameters
    ----------
    clock : callable
        Local monotonic clock in seconds.
    read_metadata : callable
        Reads the metadata of an answer from its header fields.
    unacknowledged_s : float, optional
        Time in seconds after which the kernel gives a connection up whose bytes the
        server doesn't take.
    """

    _clock: Callable[[], MonotonicSeconds]
    _read_metadata: Callable[[Iterable[tuple[bytes, bytes]]], ResponseMetadata]
    _unacknowledged_s: float | None = None
    _pools: dict[str, ConnectionPool] = field(factory=dict)

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()

    def forget(self, address: str) -> None:
        """Close the connections to an address, each when its request has ended."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.retire()

    async def send(
        self,
        address: str,
        request: ServerRequest,
        timeout_s: float,
        max_connections: int,
    ) -> ServerAnswer | SendFailure:
        """Send a request once; the answer has its head, or its whole small body."""
        attempt = _Attempt()
        pool = self._get_pool(address, max_connections)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._attempt(pool, request, attempt)
        except TimeoutError:
            if attempt.connection is None:
                return SendFailure(SendOutcome.UNREACHABLE, False, "no connection")
            # Connections often go silent together.
            pool.discard_unheard(attempt.sent_at)
            return SendFailure(SendOutcome.TIMEOUT, attempt.wrote, "no answer in time")
        except LOST as error:
            if attempt.connection is None:
                return SendFailure(SendOutcome.UNREACHABLE, False, repr(error))
            return SendFailure(SendOutcome.LOST, attempt.wrote, repr(error))
        except Exception as error:
            # Whatever a server sends, the caller gets an answer and the slot is freed.
            logger.opt(exception=error).bind(address=address).error(
                "send failed unexpectedly"
            )
            return SendFailure(SendOutcome.LOST, attempt.wrote, repr(error))
        finally:
            if attempt.connection is not None:
                pool.release(attempt.connection, attempt.reusable)

    def _get_pool(self, address: str, max_connections: int) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                address, max_connections, self._clock, self._unacknowledged_s
            )
            self._pools[address] = pool
        pool.bound = max_connections
        return pool

    async def _attempt(
        self, pool: ConnectionPool, request: ServerRequest, attempt: _Attempt
    ) -> ServerAnswer | SendFailure:
        limit_s = _IDLE_LIMIT_S if request.idempotent else _IDLE_LIMIT_ONCE_S
        if request.exclusive:
            connection = await pool.open_new()
        elif request.kept:
            connection = await pool.acquire_kept(limit_s)
        else:
            connection = await pool.acquire(limit_s)
        attempt.connection = connection
        whole = isinstance(request.body, bytes)
        data = request.head + request.body if whole else request.head
        attempt.sent_at = self._clock()
        # Nothing may be awaited between this check and the write.
        if not request.may_write():
            detail = "the request was withdrawn before it was written"
            return SendFailure(SendOutcome.WITHDRAWN, False, detail)
        attempt.wrote = True
        connection.write_head(data, request.method == "HEAD")
        if whole:
            message, payload = await self._read_own_head(connection, request)
        else:
            sent = await self._send_stream(connection, request)
            if isinstance(sent, SendFailure):
                return sent
            message, payload = sent
        answer = await self._read_answer(pool, attempt, request, message, payload)
        if request.kept and not connection.usable:
            await _replace(pool, connection)
        return answer

    async def _read_own_head(
        self, connection: HttpConnection, request: ServerRequest
    ) -> tuple[RawResponseMessage, StreamReader]:
        for _ in range(_STRAY_ANSWERS):
            message, payload = await connection.read_head(_INTERIM_ANSWERS)
            metadata = self._read_metadata(message.raw_headers)
            if not request.request_id or metadata.request_id == request.request_id:
                return message, payload
            if not metadata.request_id and _says_not_run(message.code, metadata):
                # A later copy of this answer could be taken for that to the next
                # request, because nothing tells them apart.
                connection.force_close()
                return message, payload
            _, ended = await _read_up_to(payload, SMALL_BODY_BYTES)
            if not ended:
                break
        raise ConnectionError("the connection carries answers to other requests")

    async def _send_stream(
        self, connection: HttpConnection, request: ServerRequest
    ) -> tuple[RawResponseMessage, StreamReader] | SendFailure:
        pump = asyncio.create_task(
            _pump_body(connection, request.body, request.chunked)
        )
        head = asyncio.create_task(self._read_own_head(connection, request))
        try:
            await asyncio.wait({pump, head}, return_when=asyncio.FIRST_COMPLETED)
            if not head.done() and pump.exception() is None and not pump.result():
                return SendFailure(
                    SendOutcome.WITHDRAWN, True, "the caller's body ended early"
                )
            message, payload = await head
            if not pump.done():
                # The server would read the next request as the rest of this body.
                connection.force_close()
            return message, payload
        finally:
            for task in (pump, head):
                task.cancel()
            await asyncio.gather(pump, head, return_exceptions=True)

    async def _read_answer(
        self,
        pool: ConnectionPool,
        attempt: _Attempt,
        request: ServerRequest,
        message: RawResponseMessage,
        payload: StreamReader,
    ) -> ServerAnswer:
        latency_s = self._clock() - attempt.sent_at
        metadata = self._read_metadata(message.raw_headers)
        fields = []
        length = None
        for name, value in message.raw_headers:
            lower = name.lower()
            if lower == b"content-length":
                length = int(value)
            elif not is_own_field(lower):
                fields.append((name, value))
        body: bytes | AnswerStream = b""
        ended = False
        if length is None or length <= SMALL_BODY_BYTES:
            body, ended = await _read_up_to(payload, SMALL_BODY_BYTES)
        if ended:
            attempt.reusable = not request.exclusive
        else:
            body = AnswerStream(pool, attempt.connection, payload, length, body)
            attempt.connection = None
        return ServerAnswer(message.code, fields, body, length, metadata, latency_s)


async def _replace(pool: ConnectionPool, connection: HttpConnection) -> None:
    try:
        await pool.replace(connection)
    except LOST as error:
        logger.bind(reason=repr(error)).info(
            "no connection in place of one that the server closed"
        )


def _says_not_run(status: int, metadata: ResponseMetadata) -> bool:
    return metadata.not_run or status == _MISDIRECTED


async def _read_up_to(payload: StreamReader, most: int) -> tuple[bytes, bool]:
    """Read a body until more than a number of bytes came; returns whether it ended."""
    parts = []
    size = 0
    while chunk := await payload.readany():
        parts.append(chunk)
        size += len(chunk)
        if size > most:
            return b"".join(parts), False
    return b"".join(parts), True


async def _pump_body(
    connection: HttpConnection, body: ByteStream, chunked: bool
) -> bool:
    """Send a body piece by piece; returns whether it was whole."""
    while True:
        chunk = await body.read_chunk()
        if isinstance(chunk, Refusal):
            return False
        if chunked:
            # An empty piece becomes the last chunk, which ends the body.
            await connection.write_chunk(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        elif chunk:
            await connection.write_chunk(chunk)
        if not chunk:
            return True
