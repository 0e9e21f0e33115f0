"""Connections of callers, which may send anything in any amount."""

from __future__ import annotations

from asyncio import BufferedProtocol
from typing import TYPE_CHECKING, Any

from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web import RequestHandler, RequestPayloadError
from aiohttp.web_protocol import _ErrInfo
from attrs import define
from loguru import logger

from basilwick.core.errors import ErrorKind, make_refusal
from basilwick.logs import log_request_line
from basilwick.transport.exchange import Answer
from basilwick.transport.raw_response import RawResponse, answer_refusal

if TYPE_CHECKING:
    from asyncio import BaseTransport, TimerHandle

    from aiohttp import StreamReader
    from aiohttp.http import RawRequestMessage
    from aiohttp.web import BaseRequest

    from basilwick.core.errors import Refusal

__all__ = ["READ_BYTES", "CallerConnection"]

#: Largest number of bytes that are read and parsed before other connections get their
#: turn. What a connection holds unparsed is about as much.
READ_BYTES = 16 << 10
#: The same inside a body of tiny chunks. Each chunk costs as much as a thousand bytes
#: of an ordinary body, so the loop would stand still for long.
_TINY_CHUNKS_READ_BYTES = 2 << 10
#: Whole requests that are read ahead of the one that is handled. Callers that pipeline
#: keep their connection busy with a few.
_MAX_QUEUED_REQUESTS = 4
#: Bytes of empty lines before a request that count as part of the idle time. Some
#: callers send an empty line or two behind a body.
_MAX_IDLE_EMPTY_BYTES = 16
#: Bytes of chunk sizes, extensions and trailers that a body may have beyond its own
#: length. The overhead exceeds the length only in chunks under 6 bytes.
_MAX_CHUNK_OVERHEAD_BYTES = 64 << 10
_HEAD_TOO_LARGE = 431


class _HeadTooLargeError(Exception):
    """The bytes of a request head exceed the limit."""


@define(eq=False, slots=True)
class _Input:
    """What was received of the request that is read now.

    Attributes
    ----------
    head_bytes : int
        Bytes of an incomplete head, with the empty lines before it.
    empty : bool
        Whether these are empty lines only.
    body : aiohttp.StreamReader or None
        Incomplete body.
    body_wire_bytes : int
        Bytes that were received for it, with the overhead of its chunks.
    refused : bool
        Whether a limit was exceeded. Nothing is parsed after that.
    """

    head_bytes: int = 0
    empty: bool = True
    body: StreamReader | None = None
    body_wire_bytes: int = 0
    refused: bool = False

    @property
    def chunk_overhead(self) -> int:
        """Bytes of the incomplete body that are not its content."""
        if self.body is None:
            return 0
        return self.body_wire_bytes - self.body.total_bytes

    @property
    def has_tiny_chunks(self) -> bool:
        """Whether the overhead of the chunks exceeds their content."""
        return self.body is not None and self.chunk_overhead > self.body.total_bytes

    @property
    def exceeds_overhead(self) -> bool:
        """Whether the chunks of the body have more overhead than is accepted."""
        if self.body is None:
            return False
        excess = self.chunk_overhead - self.body.total_bytes
        return excess > _MAX_CHUNK_OVERHEAD_BYTES


class CallerConnection(RequestHandler, BufferedProtocol):
    """Connection handler that bounds what one caller can make the process hold.

    Request heads are limited in size and time from their first byte on, the requests
    that are read ahead in number, and bodies in the overhead of their chunks.
    Malformed requests are answered with the JSON refusals of the interface.
    """

    __slots__ = ("_active_at", "_head_since", "_head_timer", "_input")

    def __init__(self, manager: Any, **kwargs: Any):
        super().__init__(manager, **kwargs)
        self._max_msg_queue_size = _MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = _MAX_QUEUED_REQUESTS // 2
        # aiohttp gives no access to the number of requests that its parser reads ahead.
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=_MAX_QUEUED_REQUESTS,
        )
        self._active_at = self._loop.time()
        #: Time at which an incomplete request head began, None without one.
        self._head_since: float | None = None
        self._head_timer: TimerHandle | None = None
        self._input = _Input()

    def connection_made(self, transport: BaseTransport) -> None:
        """Start to wait for the first request."""
        self._active_at = self._loop.time()
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the running request and the timers."""
        if self._head_timer is not None:
            self._head_timer.cancel()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the next read, which all connections share."""
        size = READ_BYTES
        if self._input.has_tiny_chunks:
            size = _TINY_CHUNKS_READ_BYTES
        return self._manager.read_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the buffer."""
        if self._manager is not None:
            self.data_received(bytes(self._manager.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse data; empty data resumes the parser where it paused."""
        state = self._input
        if state.refused:
            return
        if data:
            self._active_at = self._loop.time()
        if state.body is not None:
            state.body_wire_bytes += len(data)
        known = self._request_count
        super().data_received(data)
        if self._request_count > known:
            self._begin_requests(self._request_count - known)
        elif state.body is not None:
            self._check_body(state)
        elif data:
            self._add_to_head(state, data)
        if not self._awaits_request:
            self._head_since = None

    def _begin_requests(self, count: int) -> None:
        """Note the requests whose heads were read now."""
        state = self._input
        if state.body is not None and not state.body.is_eof():
            # Requests follow a body only at its end; this one can't be parsed.
            _fail_body(state.body, "the body is malformed")
        self._head_since = None
        state.head_bytes, state.empty = 0, True
        state.body, state.body_wire_bytes = None, 0
        first = len(self._messages) - count
        limit = self._manager.max_head_bytes
        for index in range(first, len(self._messages)):
            message, payload = self._messages[index]
            if isinstance(message, _ErrInfo):
                self._stop_reading()
                return
            if _measure_head(message) > limit:
                while len(self._messages) > index:
                    self._messages.pop()
                self._refuse_head(limit)
                return
        if not payload.is_eof():
            state.body = payload

    def _check_body(self, state: _Input) -> None:
        if state.body.is_eof():
            state.body = None
        elif state.exceeds_overhead:
            self._log_refusal("body in too small chunks")
            self._stop_reading()
            _fail_body(state.body, "the chunks of the body are too small")

    def _add_to_head(self, state: _Input, data: bytes) -> None:
        """Count the bytes of a head that is incomplete."""
        state.head_bytes += len(data)
        state.empty = state.empty and not data.strip(b"\r\n")
        limit = self._manager.max_head_bytes
        if state.head_bytes > limit:
            self._refuse_head(limit)
        elif self._head_since is None and (
            not state.empty or state.head_bytes > _MAX_IDLE_EMPTY_BYTES
        ):
            self._head_since = self._active_at
            if self._head_timer is None:
                self._start_head_timer(self._manager.head_timeout_s)

    def _refuse_head(self, limit: int) -> None:
        """Queue a refusal behind the requests that were read."""
        self._log_refusal("request head too large")
        error = _HeadTooLargeError(f"a request head has more than {limit} bytes")
        self._messages.append((_ErrInfo(400, error, str(error)), EMPTY_PAYLOAD))
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        self._stop_reading()

    def _stop_reading(self) -> None:
        """Read nothing more; the connection closes after the pending answers."""
        self._input.refused = True
        self._head_since = None
        self._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._input.refused:
            super()._resume_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused.

        aiohttp calls this at each read of a piece, and runs the parser each time. With
        a body in tiny chunks, the parser would copy its unparsed data for each byte.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _log_refusal(self, reason: str) -> None:
        caller = str(self.peername[0]) if self.peername else ""
        log_request_line("caller refused", caller=caller, reason=reason)

    @property
    def _awaits_request(self) -> bool:
        """Whether all requests that were read have been answered."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages

    @property
    def draining(self) -> bool:
        """Whether the connection closes after its last pending answer."""
        if self._input.refused:
            return True
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

    def _start_head_timer(self, delay_s: float) -> None:
        self._head_timer = self._loop.call_later(
            delay_s, self._close_if_head_incomplete
        )

    def _close_if_head_incomplete(self) -> None:
        """Close if the head that is read now has taken too long."""
        self._head_timer = None
        if self._head_since is None or self._manager is None:
            return
        elapsed_s = self._loop.time() - self._head_since
        left_s = self._manager.head_timeout_s - elapsed_s
        if left_s <= 0:
            self.force_close()
        else:
            self._start_head_timer(left_s)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> Any:
        """Return the response to a request that is unreadable or failed here."""
        if status >= 500:
            # Part of an answer may have been written, and it is unknown whether the
            # operation ran, so the connection is closed without another answer.
            logger.opt(exception=exc).error("unexpected error in a request handler")
            response = RawResponse(request)
            response.abort()
            return response
        kind = ErrorKind.BAD_REQUEST
        text = "the request cannot be read"
        if isinstance(exc, _HeadTooLargeError):
            refusal = make_refusal(ErrorKind.TOO_LARGE, str(exc))
            return _ErrorResponse(request, refusal, _HEAD_TOO_LARGE)
        if isinstance(exc, LineTooLong) or "too many headers" in str(exc).lower():
            kind, text = ErrorKind.TOO_LARGE, "a header or the path is too long"
        return _ErrorResponse(request, make_refusal(kind, text))


class _ErrorResponse(RawResponse):
    """Refusal that is written when aiohttp prepares the response."""

    def __init__(self, request: BaseRequest, refusal: Refusal, status: int = 0):
        super().__init__(request, keep_alive=False)
        self._answer = answer_refusal(refusal)
        if status:
            answer = self._answer
            self._answer = Answer(status, answer.fields, answer.body)

    async def prepare(self, request: BaseRequest) -> None:
        self._request = request
        await self.send(self._answer)


def _fail_body(body: StreamReader, reason: str) -> None:
    """Make a body fail at its next read; nothing more of it is awaited."""
    body.set_exception(RequestPayloadError(reason))
    body.feed_eof()


def _measure_head(message: RawRequestMessage) -> int:
    """Return the length of a request head in bytes, without optional white space."""
    # A space, the version and two line ends follow the method and the path.
    size = len(message.method) + len(message.path) + 14
    for name, value in message.raw_headers:
        size += len(name) + len(value) + 4
    return size
