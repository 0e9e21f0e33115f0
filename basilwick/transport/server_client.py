"""Sends requests and ownership orders to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from basilwick.core.dispatch.messages import SendOutcome
from basilwick.core.errors import Refusal
from basilwick.transport.answer_heads import (
    EarlySuccessError,
    InvalidStatusError,
    MergedHeadsError,
    is_endless,
)
from basilwick.transport.answer_stream import AnswerStream
from basilwick.transport.connection import CONNECTION_ERRORS
from basilwick.transport.connection_pool import ConnectionPool
from basilwick.transport.discarded_answers import DiscardedAnswer, DiscardReason
from basilwick.transport.exchange import SMALL_BODY_BYTES, is_hop_by_hop_field
from basilwick.transport.server_messages import SendFailure, ServerAnswer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

    from basilwick.core.types import MonotonicSeconds
    from basilwick.transport.connection import HttpConnection
    from basilwick.transport.exchange import ByteStream
    from basilwick.transport.server_messages import ResponseMetadata, ServerRequest

__all__ = ["ServerClient"]

#: Longest time in seconds for which a reused connection may have been idle. Servers
#: close idle connections, and a request that is in flight at that moment may have run.
#: The limit is stricter for requests that are not idempotent.
_IDEMPOTENT_IDLE_LIMIT_S = 4.0
_NON_IDEMPOTENT_IDLE_LIMIT_S = 1.5
#: Time in seconds within which a connection to a server that can be reached is opened.
#: It usually takes about 1 ms.
_USUAL_CONNECT_TIME_S = 0.05
#: Answers to other requests that are skipped before a connection is closed.
_MAX_STRAY_ANSWERS = 3
#: Interim answers (1xx) that are skipped before an answer.
_MAX_INTERIM_ANSWERS = 8
#: Status by which a server rejects a request that was meant for another server.
_STATUS_MISDIRECTED = 421
#: Errors that an answer causes which is then not accepted.
_ERROR_REASONS = {
    EarlySuccessError: DiscardReason.EARLY_SUCCESS,
    InvalidStatusError: DiscardReason.INVALID_STATUS,
    MergedHeadsError: DiscardReason.MERGED_HEADS,
}


@define(eq=False)
class _Attempt:
    """State of one send, for its failure report and the release of its connection."""

    connection: HttpConnection | None = None
    sent_at: MonotonicSeconds = 0.0
    wrote: bool = False
    #: Whether the connection can carry another request afterwards.
    reusable: bool = False


@define(eq=False)
class ServerClient:
    """HTTP client with a connection pool for each server.

    Parameters
    ----------
    clock : callable
        Local monotonic clock in seconds.
    read_metadata : callable
        Reads the metadata of an answer from its header fields.
    tcp_user_timeout_s : float, optional
        Time in seconds after which the kernel closes a connection whose data the
        server doesn't accept (TCP_USER_TIMEOUT).
    on_discarded : callable, optional
        Called with each answer that no request accepted.
    """

    _clock: Callable[[], MonotonicSeconds]
    _read_metadata: Callable[[Iterable[tuple[bytes, bytes]]], ResponseMetadata]
    _tcp_user_timeout_s: float | None = None
    _on_discarded: Callable[[DiscardedAnswer], None] = lambda _: None
    _pools: dict[str, ConnectionPool] = field(factory=dict)

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()

    def remove_address(self, address: str) -> None:
        """Remove an address; connections in use close when their requests end."""
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
        """Send a request once, without a retry.

        Returns when the head of the answer has arrived, or all of a small body.
        """
        attempt = _Attempt()
        pool = self._get_pool(address, max_connections)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send_on_connection(pool, request, attempt)
        except TimeoutError:
            if attempt.connection is None:
                return _make_no_connection_failure(timeout_s)
            # Connections to one address often stop receiving at the same time.
            pool.discard_silent(attempt.sent_at)
            return SendFailure(SendOutcome.TIMEOUT, attempt.wrote, "no answer in time")
        except CONNECTION_ERRORS as error:
            if attempt.connection is None:
                return SendFailure(SendOutcome.UNREACHABLE, False, repr(error))
            reason = _ERROR_REASONS.get(type(error))
            if reason is not None:
                self._report_discarded(pool, attempt.connection, request, reason)
            return SendFailure(SendOutcome.LOST, attempt.wrote, repr(error))
        except Exception as error:
            # No input from a server may leave the caller without an answer or its slot
            # in the pool occupied.
            logger.opt(exception=error).bind(address=address).error(
                "unexpected error while a request was sent to a server"
            )
            return SendFailure(SendOutcome.LOST, attempt.wrote, repr(error))
        finally:
            if attempt.connection is not None:
                pool.release(attempt.connection, attempt.reusable)

    def _get_pool(self, address: str, max_connections: int) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                address,
                max_connections,
                self._clock,
                self._tcp_user_timeout_s,
                lambda connection: self._report_unrequested(address, connection),
            )
            self._pools[address] = pool
        pool.max_connections = max_connections
        return pool

    def _report_unrequested(self, address: str, connection: HttpConnection) -> None:
        reason = DiscardReason.UNREQUESTED
        self._on_discarded(DiscardedAnswer(address, reason, connection.number))

    def _report_discarded(
        self,
        pool: ConnectionPool,
        connection: HttpConnection,
        request: ServerRequest,
        reason: DiscardReason,
        status: int = 0,
    ) -> None:
        self._on_discarded(
            DiscardedAnswer(
                pool.address, reason, connection.number, request.request_id, status
            )
        )

    async def _send_on_connection(
        self, pool: ConnectionPool, request: ServerRequest, attempt: _Attempt
    ) -> ServerAnswer | SendFailure:
        limit_s = (
            _IDEMPOTENT_IDLE_LIMIT_S
            if request.idempotent
            else _NON_IDEMPOTENT_IDLE_LIMIT_S
        )
        if request.exclusive:
            connection = await pool.open_new()
        elif request.reuse_only:
            connection = await pool.acquire_idle(limit_s)
        else:
            connection = await pool.acquire(limit_s, request.request_id)
        attempt.connection = connection
        buffered = isinstance(request.body, bytes)
        data = request.head + request.body if buffered else request.head
        attempt.sent_at = self._clock()
        # No await may separate this check from the write.
        if not request.may_write():
            detail = "the request was withdrawn before it was written"
            return SendFailure(SendOutcome.WITHDRAWN, False, detail)
        attempt.wrote = True
        connection.write_head(
            data, request.method == "HEAD", request.request_id, not buffered
        )
        if buffered:
            message, payload = await self._read_own_head(pool, connection, request)
        else:
            sent = await self._send_stream(pool, connection, request)
            if isinstance(sent, SendFailure):
                return sent
            message, payload = sent
        answer = await self._read_answer(pool, attempt, request, message, payload)
        if request.reuse_only and not connection.usable:
            await _replace_closed(pool, connection)
        return answer

    async def _read_own_head(
        self, pool: ConnectionPool, connection: HttpConnection, request: ServerRequest
    ) -> tuple[RawResponseMessage, StreamReader]:
        for _ in range(_MAX_STRAY_ANSWERS):
            message, payload = await connection.read_head(_MAX_INTERIM_ANSWERS)
            metadata = self._read_metadata(message.raw_headers)
            if not request.request_id or metadata.request_id == request.request_id:
                return message, payload
            if not metadata.request_id and _says_not_run(message.code, metadata):
                # The answer carries no request ID, so a late duplicate of it could be
                # taken for the answer to the next request on this connection.
                connection.force_close()
                if connection.requests == 1:
                    return message, payload
            reason = _get_discard_reason(metadata)
            self._report_discarded(pool, connection, request, reason, message.code)
            if reason is not DiscardReason.OTHER_IDENTITY or is_endless(
                message, payload
            ):
                break
            _, ended = await _read_up_to(payload, SMALL_BODY_BYTES)
            if not ended:
                break
        raise ConnectionError("the connection received answers to other requests")

    async def _send_stream(
        self, pool: ConnectionPool, connection: HttpConnection, request: ServerRequest
    ) -> tuple[RawResponseMessage, StreamReader] | SendFailure:
        upload = asyncio.create_task(
            _send_body(connection, request.body, request.chunked)
        )
        head = asyncio.create_task(self._read_own_head(pool, connection, request))
        try:
            await asyncio.wait({upload, head}, return_when=asyncio.FIRST_COMPLETED)
            if not head.done() and upload.exception() is None and not upload.result():
                return SendFailure(
                    SendOutcome.WITHDRAWN, True, "the caller's body ended early"
                )
            message, payload = await head
            if not _has_sent_all(upload):
                # The server would parse the next request as the rest of this body.
                connection.force_close()
            return message, payload
        finally:
            for task in (upload, head):
                task.cancel()
            await asyncio.gather(upload, head, return_exceptions=True)

    async def _read_answer(
        self,
        pool: ConnectionPool,
        attempt: _Attempt,
        request: ServerRequest,
        message: RawResponseMessage,
        payload: StreamReader,
    ) -> ServerAnswer:
        latency_s = self._clock() - attempt.sent_at
        number = attempt.connection.number
        metadata = self._read_metadata(message.raw_headers)
        fields = []
        length = None
        for name, value in message.raw_headers:
            lower = name.lower()
            if lower == b"content-length":
                length = int(value)
            elif not is_hop_by_hop_field(lower):
                fields.append((name, value))
        body: bytes | AnswerStream = b""
        ended = False
        if length is None or length <= SMALL_BODY_BYTES:
            body, ended = await _read_up_to(payload, SMALL_BODY_BYTES)
        if ended:
            await attempt.connection.confirm_end(payload)
            attempt.reusable = not request.exclusive
        else:
            body = AnswerStream(pool, attempt.connection, payload, length, body)
            attempt.connection = None
        return ServerAnswer(
            message.code, fields, body, length, metadata, latency_s, number
        )


def _has_sent_all(upload: asyncio.Task[bool]) -> bool:
    """Return whether a body was sent to its end."""
    if not upload.done() or upload.cancelled() or upload.exception() is not None:
        return False
    return upload.result()


def _make_no_connection_failure(timeout_s: float) -> SendFailure:
    """Describe a request whose time ended before it had a connection.

    If it had little time, this says nothing about the server.
    """
    if timeout_s < _USUAL_CONNECT_TIME_S:
        detail = "no time to open a connection"
        return SendFailure(SendOutcome.WITHDRAWN, False, detail)
    return SendFailure(SendOutcome.UNREACHABLE, False, "no connection")


async def _replace_closed(pool: ConnectionPool, connection: HttpConnection) -> None:
    try:
        await pool.replace(connection)
    except CONNECTION_ERRORS as error:
        logger.bind(reason=repr(error)).info(
            "could not replace a connection that the server closed"
        )


def _get_discard_reason(metadata: ResponseMetadata) -> DiscardReason:
    """Return why an answer without the identity of the request is not accepted."""
    if metadata.identity_conflict:
        return DiscardReason.TWO_IDENTITIES
    if metadata.request_id:
        return DiscardReason.OTHER_IDENTITY
    return DiscardReason.NO_IDENTITY


def _says_not_run(status: int, metadata: ResponseMetadata) -> bool:
    return metadata.not_run or status == _STATUS_MISDIRECTED


async def _read_up_to(payload: StreamReader, max_bytes: int) -> tuple[bytes, bool]:
    """Read a body until it ends or exceeds a size; returns whether it ended."""
    parts = []
    size = 0
    while chunk := await payload.readany():
        parts.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            return b"".join(parts), False
    return b"".join(parts), True


async def _send_body(
    connection: HttpConnection, body: ByteStream, chunked: bool
) -> bool:
    """Send a body in pieces; returns False when the caller's body failed."""
    sent = 0
    while True:
        chunk = await body.read_chunk()
        if isinstance(chunk, Refusal):
            return False
        sent += len(chunk)
        if chunked:
            # An empty piece becomes the zero-length chunk that ends the body.
            piece = b"%x\r\n%b\r\n" % (len(chunk), chunk)
            await connection.write_chunk(piece, last=not chunk)
        elif chunk:
            await connection.write_chunk(chunk, last=sent == body.length)
        if not chunk:
            return True
