"""HTTP server of the caller and forward ports."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp.http_exceptions import LineTooLong
from aiohttp.web import RequestHandler, Server
from loguru import logger

from basilwick.core.errors import ErrorKind, Refusal, make_refusal
from basilwick.transport.exchange import Answer, encode_headers, encode_refusal

if TYPE_CHECKING:
    from asyncio import BaseTransport
    from collections.abc import Awaitable, Callable

    from aiohttp.web import BaseRequest

__all__ = ["HttpServer", "RawResponse", "answer_refusal"]

_MAX_FIELD_BYTES = 8190
_MAX_FIELDS = 64
_KEEP_ALIVE_S = 75.0
#: Time in seconds for which the rest of a refused body is read, so that the caller
#: gets to read the refusal before the connection closes.
_LINGER_S = 1.0
#: Longest time in seconds from the first byte of a head to its end.
_HEAD_TIMEOUT_S = 10.0
#: Time in seconds without a byte after which a connection is closed in a planned stop.
#: A request that follows the opening of its connection is still read.
_QUIET_S = 0.25
#: Interval in seconds at which a planned stop looks at open connections.
_DRAIN_INTERVAL_S = 0.02
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}
_JSON_FIELD = (b"Content-Type", b"application/json")


def answer_refusal(refusal: Refusal) -> Answer:
    """Return the answer that tells a caller of a refusal."""
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
    """Response that writes itself, with one write for a small answer.

    `aiohttp.web` asks of a response only ``prepare``, ``write_eof`` and
    ``keep_alive``. Its own class builds a header map and two dates per answer, which
    costs more than the routing decision.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        Request to answer.
    keep_alive : bool, default=True
        Whether the connection may carry another request.
    extra : bytes, optional
        Encoded header fields of this hop.
    """

    def __init__(
        self, request: BaseRequest, keep_alive: bool = True, extra: bytes = b""
    ):
        self._request = request
        self._extra = extra
        self.keep_alive = keep_alive and request.keep_alive
        self.started = False
        self.status = 0
        self.body_length = 0

    async def prepare(self, request: BaseRequest) -> None:
        """Do nothing; `send` has written the answer."""

    async def write_eof(self) -> None:
        """Do nothing; `send` has written the answer."""

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete answer."""
        self.keep_alive = False
        if self._request.transport is not None:
            self._request.transport.abort()

    async def send(self, answer: Answer) -> None:
        """Write a whole answer; waits while the caller does not read.

        An answer that stops half way aborts the connection.
        """
        request = self._request
        if request.protocol.leaving:
            # Requests that were read behind this one get their answers first.
            self.keep_alive &= request.protocol.has_queued_requests
        body = answer.body
        chunked = False
        if isinstance(body, bytes):
            stated = answer.length if request.method == "HEAD" else len(body)
            length = None if answer.status in (204, 304) else stated
        else:
            length = body.length
            chunked = length is None and request.version >= (1, 1)
            self.keep_alive &= chunked or length is not None
        lines = [
            _STATUS_LINES.get(answer.status) or b"HTTP/1.1 %d \r\n" % answer.status,
            encode_headers(answer.fields),
            self._extra,
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
            self._write(b"".join(lines))
            await self._send_stream(body, chunked)
            return
        if request.method != "HEAD":
            lines.append(body)
        self._write(b"".join(lines))
        if request.protocol.writing_paused:
            await request.writer.drain()

    def _write(self, data: bytes) -> None:
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError("the caller has left")
        transport.write(data)

    async def _send_stream(self, body: Any, chunked: bool) -> None:
        writer = self._request.writer
        ended = False
        try:
            while True:
                chunk = await body.read_chunk()
                if isinstance(chunk, Refusal):
                    break
                if not chunk:
                    ended = True
                    break
                if chunked:
                    self._write(b"%x\r\n" % len(chunk))
                self._write(chunk)
                if chunked:
                    self._write(b"\r\n")
                await writer.drain()
            if ended and chunked:
                self._write(b"0\r\n\r\n")
        finally:
            body.close()
            if not ended:
                self.abort()


class _Protocol(RequestHandler):
    """Answers unreadable requests with the JSON refusals of the interface."""

    __slots__ = ("_active_at", "_head_since")

    def connection_made(self, transport: BaseTransport) -> None:
        self._active_at = self._loop.time()
        #: Time since which the head of a request is incomplete, None if none is.
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
            self._loop.call_later(timeout_s, self._close_if_late, self._active_at)

    @property
    def _awaits_request(self) -> bool:
        """Whether every request that was read has its answer."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages

    @property
    def leaving(self) -> bool:
        """Whether the connection closes after its last answer."""
        return self._manager is not None and self._manager.leaving

    @property
    def has_queued_requests(self) -> bool:
        """Whether requests were read behind the one that runs."""
        return bool(self._messages)

    def close_if_idle(self, quiet_s: float) -> None:
        """Close unless a request, or a part of one, was read, or bytes came lately."""
        quiet = self._loop.time() - self._active_at >= quiet_s
        if quiet and self._awaits_request and self._head_since is None:
            self.force_close()

    def _close_if_late(self, since: float) -> None:
        """Close if the head that began at a time is still incomplete."""
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
            # Part of an answer may be written, and whether the operation ran is not
            # known, so the connection ends without another answer.
            logger.opt(exception=exc).error("request failed unexpectedly")
            response = RawResponse(request)
            response.abort()
            return response
        kind = ErrorKind.BAD_REQUEST
        text = "the request cannot be read"
        if isinstance(exc, LineTooLong) or "too many headers" in str(exc).lower():
            kind, text = ErrorKind.TOO_LARGE, "a header or the path is too long"
        return _ErrorResponse(request, make_refusal(kind, text))


class _ErrorResponse(RawResponse):
    """Refusal that is written when the protocol asks for it."""

    def __init__(self, request: BaseRequest, refusal: Refusal):
        super().__init__(request, keep_alive=False)
        self._refusal = refusal

    async def prepare(self, request: BaseRequest) -> None:
        self._request = request
        await self.send(answer_refusal(self._refusal))


class _Protocols(Server):
    #: Whether connections close after their last answers.
    leaving = False
    #: Longest time in seconds from the first byte of a head to its end.
    head_timeout_s = _HEAD_TIMEOUT_S

    def __call__(self) -> RequestHandler:
        return _Protocol(self, loop=self._loop, **self._kwargs)

    def set_idle_timeout(self, seconds: float) -> None:
        self._kwargs["keepalive_timeout"] = seconds


class HttpServer:
    """Listens on one address and counts the requests that run.

    Parameters
    ----------
    address : str
        IP number and port; port 0 takes a free one.
    handler : callable
        Answers a request.
    keep_alive_s : float
        Time in seconds after which an idle connection is closed.
    max_field_bytes : int
        Longest request line and header field.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[BaseRequest], Awaitable[RawResponse]],
        keep_alive_s: float = _KEEP_ALIVE_S,
        max_field_bytes: int = _MAX_FIELD_BYTES,
    ):
        self._keep_alive_s = keep_alive_s
        self._max_field_bytes = max_field_bytes
        host, _, port = address.rpartition(":")
        self._host, self._port = host.strip("[]"), int(port)
        self._handler = handler
        self._protocols: _Protocols | None = None
        self._server: asyncio.Server | None = None
        self.running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def address(self) -> str:
        """IP number and port that the server listens on."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        # The handler is cancelled when the caller leaves, which passes the
        # cancellation on to the backend server.
        self._protocols = _Protocols(
            self._count,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=self._keep_alive_s,
            lingering_time=_LINGER_S,
            max_line_size=self._max_field_bytes,
            max_field_size=self._max_field_bytes,
            max_headers=_MAX_FIELDS,
        )
        self._server = await loop.create_server(
            self._protocols, self._host, self._port, backlog=1024
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def set_timeouts(self, idle_s: float, head_s: float) -> None:
        """Change the bounds of connections.

        Parameters
        ----------
        idle_s : float
            Time in seconds after which an idle connection is closed; holds for
            connections that are opened from now on.
        head_s : float
            Longest time in seconds from the first byte of a head to its end.
        """
        self._keep_alive_s = idle_s
        if self._protocols is not None:
            self._protocols.head_timeout_s = head_s
            self._protocols.set_idle_timeout(idle_s)

    def announce_close(self) -> None:
        """Let each connection end with its next answer, and its caller know it."""
        self._protocols.leaving = True

    def stop_accepting(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request runs; returns whether that came about in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def drain(self, timeout_s: float) -> bool:
        """Answer what was read, and close each connection once it is idle.

        A connection is closed only while nothing of a request was read from it, so no
        caller loses a request that this process has. New connections get some time for
        their first request.

        Parameters
        ----------
        timeout_s : float
            Longest time in seconds to wait for requests that run.

        Returns
        -------
        bool
            Whether all connections are closed.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        self.announce_close()
        self.stop_accepting()
        while self._protocols.connections:
            for protocol in self._protocols.connections:
                protocol.close_if_idle(_QUIET_S)
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(_DRAIN_INTERVAL_S)
        return True

    async def close(self) -> None:
        """Close all connections."""
        self.stop_accepting()
        if self._protocols is not None:
            await self._protocols.shutdown(0.1)

    async def _count(self, request: BaseRequest) -> RawResponse:
        self.running += 1
        self._idle.clear()
        try:
            return await self._handler(request)
        finally:
            self.running -= 1
            if not self.running:
                self._idle.set()
