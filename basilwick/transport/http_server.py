"""HTTP server of the caller and forward ports."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from socket import SO_LINGER, SOL_SOCKET
from typing import TYPE_CHECKING, Any

from aiohttp.http_exceptions import LineTooLong
from aiohttp.web import RequestHandler, Server
from loguru import logger

from basilwick.core.errors import ErrorKind, Refusal, make_refusal
from basilwick.transport.body_sender import BodySender
from basilwick.transport.connection import RESET_ON_CLOSE
from basilwick.transport.exchange import Answer, encode_headers, encode_refusal

if TYPE_CHECKING:
    from asyncio import BaseTransport
    from collections.abc import Awaitable, Callable

    from aiohttp.web import BaseRequest

    from basilwick.transport.exchange import ByteStream

__all__ = ["HttpServer", "RawResponse", "answer_refusal"]

#: Default limit in bytes of the request line and of each header field.
_MAX_FIELD_BYTES = 8190
#: Largest number of header fields of a request.
_MAX_FIELDS = 64
#: Default time in seconds after which an idle connection is closed.
_KEEP_ALIVE_TIMEOUT_S = 75.0
#: Time in seconds for which the rest of a refused body is read and discarded, so that
#: the caller can read the refusal before the connection closes.
_LINGER_TIMEOUT_S = 1.0
#: Default timeout in seconds from the first byte of a request head to its end.
_HEAD_TIMEOUT_S = 10.0
#: Time in seconds without received data after which a graceful shutdown closes a
#: connection. A request that is sent right after its connection opened is still read.
_DRAIN_IDLE_S = 0.25
#: Interval in seconds at which a graceful shutdown checks the open connections.
_DRAIN_INTERVAL_S = 0.02
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}
_JSON_FIELD = (b"Content-Type", b"application/json")


def answer_refusal(refusal: Refusal) -> Answer:
    """Return the answer that reports a refusal to a caller."""
    fields = [
        _JSON_FIELD,
        (b"Basilwick-Error", refusal.kind.encode()),
        (b"Basilwick-Outcome", refusal.outcome.encode()),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, round(refusal.retry_after_s))
        fields.append((b"Retry-After", str(seconds).encode()))
    return Answer(refusal.status, fields, encode_refusal(refusal))


class RawResponse:
    """Lightweight response that writes a small answer with a single write.

    `aiohttp.web` requires only ``prepare``, ``write_eof`` and ``keep_alive`` of a
    response. Its own response class builds a header map and two dates per answer, which
    costs more than the routing decision.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        Request to answer.
    keep_alive : bool, default=True
        Whether the connection may carry another request.
    extra_fields : bytes, optional
        Encoded header fields that this hop adds.

    Attributes
    ----------
    started : bool
        Whether a part of the answer was written.
    failure : str
        Why a streamed body was not sent to its end, "" otherwise.
    """

    def __init__(
        self, request: BaseRequest, keep_alive: bool = True, extra_fields: bytes = b""
    ):
        self._request = request
        self._extra_fields = extra_fields
        self.keep_alive = keep_alive and request.keep_alive
        #: Whether the answer has neither a length nor chunks, as for HTTP/1.0.
        self._ends_with_connection = False
        self.started = False
        self.status = 0
        self.body_length = 0
        self.failure = ""
        #: Whether the answer ends with its connection.
        self._ends_with_connection = False

    async def prepare(self, request: BaseRequest) -> None:
        """Do nothing; `send` has written the answer."""

    async def write_eof(self) -> None:
        """Do nothing; `send` has written the answer."""

    def abort(self) -> None:
        """Abort the connection, so that the caller sees an incomplete answer.

        An answer that ends with its connection would look complete after a normal
        close, so its connection is reset.
        """
        self.keep_alive = False
        transport = self._request.transport
        if transport is None:
            return
        if self._ends_with_connection:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        transport.abort()

    async def send(self, answer: Answer, time_left_s: float | None = None) -> None:
        """Write a whole answer, and wait while the write buffer is full.

        The connection is aborted if the body of the answer fails before its end.

        Parameters
        ----------
        time_left_s : float, optional
            Seconds after which the server must have sent the end of a streamed body;
            unlimited by default.
        """
        request = self._request
        if request.protocol.draining:
            # Pipelined requests are answered before the connection closes.
            self.keep_alive &= request.protocol.has_queued_requests
        body = answer.body
        chunked = False
        if isinstance(body, bytes):
            stated = answer.length if request.method == "HEAD" else len(body)
            length = None if answer.status in (204, 304) else stated
        else:
            length = body.length
            chunked = length is None and request.version >= (1, 1)
            self._ends_with_connection = not chunked and length is None
            self.keep_alive &= not self._ends_with_connection
        lines = [
            _STATUS_LINES.get(answer.status) or b"HTTP/1.1 %d \r\n" % answer.status,
            encode_headers(answer.fields),
            self._extra_fields,
        ]
        if length is not None:
            lines.append(b"Content-Length: %d\r\n" % length)
        elif chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        if not self.keep_alive:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self.started = True
        self.status = answer.status
        if not isinstance(body, bytes):
            head = b"".join(lines)
            await self._send_stream(head, body, chunked, time_left_s)
            return
        if request.method != "HEAD":
            lines.append(body)
        self._write(b"".join(lines))
        if request.protocol.writing_paused:
            await request.writer.drain()

    def _write(self, data: bytes) -> None:
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError("the caller closed the connection")
        transport.write(data)

    async def _send_stream(
        self, head: bytes, body: ByteStream, chunked: bool, time_left_s: float | None
    ) -> None:
        ended = False
        try:
            self._write(head)
            sender = BodySender(self._request, body, chunked, time_left_s)
            ended = await sender.send()
            self.failure = sender.failure
        finally:
            body.close()
            if not ended:
                self.abort()


class _ConnectionHandler(RequestHandler):
    """Connection handler that limits the time of request heads and can drain.

    Malformed requests are answered with the JSON refusals of the interface.
    """

    __slots__ = ("_active_at", "_head_since")

    def connection_made(self, transport: BaseTransport) -> None:
        self._active_at = self._loop.time()
        #: Time at which an incomplete request head began, None without one.
        self._head_since: float | None = None
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        self._active_at = self._loop.time()
        known = self._request_count
        super().data_received(data)
        if self._request_count > known or not self._awaits_request:
            self._head_since = None
        elif self._head_since is None and data.strip(b"\r\n"):
            self._head_since = self._active_at
            timeout_s = self._manager.head_timeout_s
            self._loop.call_later(
                timeout_s, self._close_if_head_incomplete, self._active_at
            )

    @property
    def _awaits_request(self) -> bool:
        """Whether all requests that were read have been answered."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages

    @property
    def draining(self) -> bool:
        """Whether the connection closes after its last pending answer."""
        return self._manager is not None and self._manager.draining

    @property
    def has_queued_requests(self) -> bool:
        """Whether pipelined requests wait behind the current one."""
        return bool(self._messages)

    def close_if_idle(self, idle_s: float) -> None:
        """Close unless a request is pending or incomplete, or data arrived recently."""
        idle = self._loop.time() - self._active_at >= idle_s
        if idle and self._awaits_request and self._head_since is None:
            self.force_close()

    def _close_if_head_incomplete(self, since: float) -> None:
        """Close if the request head that began at a time is still incomplete."""
        if self._head_since == since:
            self.force_close()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> Any:
        if status >= 500:
            # Part of an answer may have been written, and it is unknown whether the
            # operation ran, so the connection is closed without another answer.
            logger.opt(exception=exc).error("unexpected error in a request handler")
            response = RawResponse(request)
            response.abort()
            return response
        kind = ErrorKind.BAD_REQUEST
        text = "the request cannot be read"
        if isinstance(exc, LineTooLong) or "too many headers" in str(exc).lower():
            kind, text = ErrorKind.TOO_LARGE, "a header or the path is too long"
        return _ErrorResponse(request, make_refusal(kind, text))


class _ErrorResponse(RawResponse):
    """Refusal that is written when aiohttp prepares the response."""

    def __init__(self, request: BaseRequest, refusal: Refusal):
        super().__init__(request, keep_alive=False)
        self._refusal = refusal

    async def prepare(self, request: BaseRequest) -> None:
        self._request = request
        await self.send(answer_refusal(self._refusal))


class _ConnectionHandlers(Server):
    """Factory and registry of the connection handlers."""

    #: Whether each connection closes after its last pending answer.
    draining = False
    #: Timeout in seconds from the first byte of a request head to its end.
    head_timeout_s = _HEAD_TIMEOUT_S

    def __call__(self) -> RequestHandler:
        return _ConnectionHandler(self, loop=self._loop, **self._kwargs)

    def set_idle_timeout(self, seconds: float) -> None:
        self._kwargs["keepalive_timeout"] = seconds


class HttpServer:
    """HTTP server that counts its running requests and can be drained.

    Parameters
    ----------
    address : str
        IP number and port; port 0 selects a free one.
    handler : callable
        Coroutine function that answers a request.
    keep_alive_s : float
        Time in seconds after which an idle connection is closed.
    max_field_bytes : int
        Limit in bytes of the request line and of each header field.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[BaseRequest], Awaitable[RawResponse]],
        keep_alive_s: float = _KEEP_ALIVE_TIMEOUT_S,
        max_field_bytes: int = _MAX_FIELD_BYTES,
    ):
        self._keep_alive_s = keep_alive_s
        self._max_field_bytes = max_field_bytes
        host, _, port = address.rpartition(":")
        self._host, self._port = host.strip("[]"), int(port)
        self._handler = handler
        self._connection_handlers: _ConnectionHandlers | None = None
        self._server: asyncio.Server | None = None
        #: Number of running requests.
        self.running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def address(self) -> str:
        """IP number and port that the server listens on."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        # aiohttp cancels the handler when the caller disconnects, which also cancels
        # the request to the backend server.
        self._connection_handlers = _ConnectionHandlers(
            self._handle_counted,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=self._keep_alive_s,
            lingering_time=_LINGER_TIMEOUT_S,
            max_line_size=self._max_field_bytes,
            max_field_size=self._max_field_bytes,
            max_headers=_MAX_FIELDS,
        )
        self._server = await loop.create_server(
            self._connection_handlers, self._host, self._port, backlog=1024
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def set_timeouts(self, idle_s: float, head_s: float) -> None:
        """Change the timeouts of connections.

        Parameters
        ----------
        idle_s : float
            Time in seconds after which an idle connection is closed; applies to
            connections that are opened from now on.
        head_s : float
            Timeout in seconds from the first byte of a request head to its end.
        """
        self._keep_alive_s = idle_s
        if self._connection_handlers is not None:
            self._connection_handlers.head_timeout_s = head_s
            self._connection_handlers.set_idle_timeout(idle_s)

    def announce_close(self) -> None:
        """Send Connection: close with the next answers and close after them."""
        self._connection_handlers.draining = True

    def stop_accepting(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is running; returns False on a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def drain(self, timeout_s: float) -> bool:
        """Answer the requests that were read, and close each connection once idle.

        A connection is closed only while no part of an unanswered request was read from
        it, so no caller loses a request that this process has received. Connections
        that were just opened stay open for a short time for their first request.

        Parameters
        ----------
        timeout_s : float
            Longest time in seconds to wait for running requests.

        Returns
        -------
        bool
            Whether all connections were closed in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        self.announce_close()
        self.stop_accepting()
        while self._connection_handlers.connections:
            for protocol in self._connection_handlers.connections:
                protocol.close_if_idle(_DRAIN_IDLE_S)
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(_DRAIN_INTERVAL_S)
        return True

    async def close(self) -> None:
        """Close all connections."""
        self.stop_accepting()
        if self._connection_handlers is not None:
            await self._connection_handlers.shutdown(0.1)

    async def _handle_counted(self, request: BaseRequest) -> RawResponse:
        self.running += 1
        self._idle.clear()
        try:
            return await self._handler(request)
        finally:
            self.running -= 1
            if not self.running:
                self._idle.set()
