"""Connections of callers, which may send anything in any amount."""

from __future__ import annotations

from asyncio import BufferedProtocol, sleep
from typing import TYPE_CHECKING, Any

from aiohttp.http import HttpRequestParser
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web import RequestHandler, RequestPayloadError
from aiohttp.web_protocol import _ErrInfo
from loguru import logger

from basilwick.core.caller_budget import IdleConnection, UnreadConnection
from basilwick.logs import log_request_line
from basilwick.transport.kernel_buffers import (
    count_unacknowledged,
    enlarge_buffer,
    limit_unsent,
    remove_limit,
)
from basilwick.transport.raw_response import RawResponse
from basilwick.transport.request_errors import HeadTooLargeError, make_error_response
from basilwick.transport.request_meter import (
    RequestMeter,
    fail_body,
    measure_head,
    measure_parsed_head,
)
from basilwick.transport.unread_answers import UnreadAnswers

if TYPE_CHECKING:
    from asyncio import BaseTransport, TimerHandle, Transport

    from aiohttp.web import BaseRequest

    from basilwick.core.caller_budget import CallerBudget

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
#: Largest part of one answer that is read from its server before the caller reads.
_MAX_READ_AHEAD_BYTES = 1 << 20
#: Bytes of answers that a caller has not received, above which its next pipelined
#: request waits. They are counted again after a time in seconds that doubles up to
#: the largest interval.
_MAX_PIPELINED_UNREAD_BYTES = 16 << 10
_FIRST_UNREAD_INTERVAL_S = 0.01
_MAX_UNREAD_INTERVAL_S = 0.16
#: Answer on a connection for which there is no descriptor. No request was read.
_NO_ROOM = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class CallerConnection(RequestHandler, BufferedProtocol):
    """Connection handler that bounds what one caller can make the process hold.

    Request heads are limited in size and time from their first byte on, the requests
    that are read ahead in number, and bodies in the overhead of their chunks.
    Malformed requests are answered with the JSON refusals of the interface.
    """

    __slots__ = (
        "_active_at",
        "_budget",
        "_current_head_bytes",
        "_deferred",
        "_head_since",
        "_head_timer",
        "_held_bytes",
        "_meter",
        "_open_transport",
        "_pipelines",
        "_unread",
        "_unsent_bytes",
        "_waits_for_reader",
    )

    def __init__(self, manager: Any, budget: CallerBudget, **kwargs: Any):
        super().__init__(manager, **kwargs)
        self._budget = budget
        #: Bytes that are counted for requests and for unsent answers.
        self._held_bytes = self._unsent_bytes = 0
        #: Bytes of the parsed head of the request that is handled.
        self._current_head_bytes = 0
        #: Data that is parsed once there is memory for it.
        self._deferred = b""
        #: What waits in a full write buffer, or keeps the next pipelined request.
        self._unread = UnreadAnswers()
        #: Whether the caller has sent a request before the answer to an earlier one.
        self._pipelines = False
        #: Whether a pipelined request waits until the caller has read.
        self._waits_for_reader = False
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
        #: Transport until all its data is sent, also after aiohttp has closed it.
        self._open_transport: Transport | None = None
        #: Time at which an incomplete request head began, None without one.
        self._head_since: float | None = None
        self._head_timer: TimerHandle | None = None
        self._meter = RequestMeter()

    def connection_made(self, transport: BaseTransport) -> None:
        """Start to wait for the first request."""
        self._active_at = self._loop.time()
        if self._budget.max_bytes:
            limit_unsent(transport)
        self._open_transport = transport
        super().connection_made(transport)
        if not self._manager.make_room(self):
            transport.write(_NO_ROOM)
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the running request and the timers."""
        if self._head_timer is not None:
            self._head_timer.cancel()
        self._open_transport = None
        self._budget.add(-self._held_bytes - self._unsent_bytes)
        self._held_bytes = self._unsent_bytes = 0
        self._deferred = b""
        if self._manager is not None:
            self._manager.discard(self)
        super().connection_lost(exc)

    async def start(self) -> None:
        """Handle the requests, and abort the connection if its answers stay unread.

        The transport keeps a closed connection until all its data is sent.
        """
        transport = self.transport
        try:
            await super().start()
        finally:
            if transport is not None:
                self._abort_unless_sent(transport, None)

    def _abort_unless_sent(self, transport: Transport, unsent: int | None) -> None:
        left = transport.get_write_buffer_size()
        if unsent is not None and left >= unsent:
            transport.abort()
        elif left:
            self._loop.call_later(
                self._keepalive_timeout, self._abort_unless_sent, transport, left
            )

    def resume_writing(self) -> None:
        """Wake up the sender; the caller has read most of its answers."""
        super().resume_writing()
        self._unread.clear()
        self.count_unsent()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        transport = self._open_transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def remove_kernel_limit(self) -> None:
        """Let the kernel take as many unsent bytes as its send buffer holds."""
        remove_limit(self._open_transport)

    def enlarge_kernel_buffer(self) -> None:
        """Make room in the full send buffer of the kernel for all unsent bytes."""
        enlarge_buffer(self._open_transport, self.unsent_bytes)

    def count_unsent(self) -> None:
        """Count the bytes of answers that the caller has not read."""
        if self.transport is None:
            return
        unsent = 0
        if self._paused:
            unsent = self.transport.get_write_buffer_size()
            self._unread.record(unsent, self._loop.time())
        self._budget.add(unsent - self._unsent_bytes)
        self._unsent_bytes = unsent

    def may_read_ahead(self, size: int) -> bool:
        """Return whether a part of an answer may be taken from its server now.

        The caller has not read the parts before it yet.
        """
        if self.transport is None or not self._budget.max_bytes:
            return False
        unsent = self.transport.get_write_buffer_size()
        return unsent < _MAX_READ_AHEAD_BYTES and self._budget.may_read_ahead(size)

    def begin_request(self, request: BaseRequest) -> None:
        """Count the request that is handled from now on."""
        self._current_head_bytes = measure_parsed_head(request._message)
        self.count_held()

    async def wait_for_reader(self) -> None:
        """Wait until the caller has received its answers, if it pipelines requests.

        Requests whose answers nobody reads would keep servers and connections busy.
        """
        if not self._pipelines or self.transport is None:
            return
        self._waits_for_reader = True
        interval_s = _FIRST_UNREAD_INTERVAL_S
        try:
            while self._measure_unread() > _MAX_PIPELINED_UNREAD_BYTES:
                self._note_unread()
                await sleep(interval_s)
                interval_s = min(2 * interval_s, _MAX_UNREAD_INTERVAL_S)
        finally:
            self._waits_for_reader = False
        if not self._paused:
            self._unread.clear()

    def _note_unread(self) -> None:
        """Record what the caller has not read, and abort if it reads nothing."""
        now = self._loop.time()
        self._unread.record(self._measure_unread(), now)
        if now - self._unread.since >= self._keepalive_timeout:
            self.close_for_room()

    def _measure_unread(self) -> int:
        """Return the bytes of answers that wait for the caller."""
        if self.transport is None:
            return 0
        if self._waits_for_reader:
            return count_unacknowledged(self.transport)
        return self.transport.get_write_buffer_size()

    def end_request(self) -> None:
        """Release the request that has been handled."""
        self._current_head_bytes = 0
        self.count_held()

    def count_held(self) -> None:
        """Count the bytes of requests that are read or handled."""
        if self._manager is None:
            return
        held = self._meter.head_bytes + self._current_head_bytes + len(self._deferred)
        for message, payload in self._messages:
            if not isinstance(message, _ErrInfo):
                held += measure_parsed_head(message) + payload.total_bytes
        self._budget.add(held - self._held_bytes)
        self._held_bytes = held

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the next read, which all connections share."""
        size = READ_BYTES
        if self._meter.has_tiny_chunks:
            size = _TINY_CHUNKS_READ_BYTES
        return self._manager.read_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the buffer, or defer it while memory is short."""
        if self._manager is None:
            return
        data = bytes(self._manager.read_buffer[:nbytes])
        if self._deferred:
            self._deferred += data
        elif self._budget.short and self._meter.body is None:
            self._deferred = data
            self._active_at = self._loop.time()
            self._manager.defer(self)
        else:
            self.data_received(data)
            return
        self._pause_transport_reading()
        self.count_held()

    def parse_deferred(self) -> None:
        """Parse what was deferred, and read on."""
        data, self._deferred = self._deferred, b""
        if self._manager is None or not data:
            return
        self.data_received(data)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def data_received(self, data: bytes) -> None:
        """Parse data; empty data resumes the parser where it paused."""
        meter = self._meter
        if meter.refused:
            return
        if data:
            self._active_at = self._loop.time()
        if meter.body is not None:
            meter.body_wire_bytes += len(data)
        known = self._request_count
        super().data_received(data)
        if self._request_count > known:
            self._begin_requests(self._request_count - known)
        elif meter.body is not None:
            self._check_body(meter)
        elif data:
            self._add_to_head(meter, data)
        if not self._awaits_request:
            self._head_since = None
        self.count_held()
        if self._messages and self._budget.exhausted and not self._buffer_paused:
            # Resumes when the requests that were read are handled.
            self._pause_reading_for_buffer()

    def _begin_requests(self, count: int) -> None:
        """Note the requests whose heads were read now."""
        meter = self._meter
        self._pipelines |= bool(self._current_head_bytes) or len(self._messages) > 1
        if meter.body is not None and not meter.body.is_eof():
            # Requests follow a body only at its end; this one can't be parsed.
            fail_body(meter.body, "the body is malformed")
        self._head_since = None
        meter.head_bytes, meter.empty = 0, True
        meter.body, meter.body_wire_bytes = None, 0
        first = len(self._messages) - count
        limit = self._manager.max_head_bytes
        for index in range(first, len(self._messages)):
            message, payload = self._messages[index]
            if isinstance(message, _ErrInfo):
                self._stop_reading()
                return
            if measure_head(message) > limit:
                while len(self._messages) > index:
                    self._messages.pop()
                self._refuse_head(limit)
                return
        if not payload.is_eof():
            meter.body = payload

    def _check_body(self, meter: RequestMeter) -> None:
        if meter.body.is_eof():
            meter.body = None
        elif meter.exceeds_overhead:
            self._log_refusal("body in too small chunks")
            self._stop_reading()
            fail_body(meter.body, "the chunks of the body are too small")

    def _add_to_head(self, meter: RequestMeter, data: bytes) -> None:
        """Count the bytes of a head that is incomplete."""
        meter.add_to_head(data)
        limit = self._manager.max_head_bytes
        if meter.head_bytes > limit:
            self._refuse_head(limit)
        elif self._head_since is None and (
            not meter.empty or meter.head_bytes > _MAX_IDLE_EMPTY_BYTES
        ):
            self._head_since = self._active_at
            if self._head_timer is None:
                self._start_head_timer(self._manager.head_timeout_s)

    def _refuse_head(self, limit: int) -> None:
        """Queue a refusal behind the requests that were read."""
        self._log_refusal("request head too large")
        error = HeadTooLargeError(f"a request head has more than {limit} bytes")
        self._messages.append((_ErrInfo(400, error, str(error)), EMPTY_PAYLOAD))
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        self._stop_reading()

    def _stop_reading(self) -> None:
        """Read nothing more; the connection closes after the pending answers."""
        self._meter.refused = True
        self._head_since = None
        self._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._meter.refused and not self._deferred:
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
        waits = waiter is not None and not waiter.done()
        return waits and not self._messages and not self._deferred

    @property
    def draining(self) -> bool:
        """Whether the connection closes after its last pending answer."""
        if self._meter.refused:
            return True
        return self._manager is not None and self._manager.draining

    @property
    def has_queued_requests(self) -> bool:
        """Whether pipelined requests wait behind the current one."""
        return bool(self._messages)

    @property
    def idle(self) -> IdleConnection[CallerConnection] | None:
        """How long the connection is idle; None while a request is handled or waits."""
        if not self._awaits_request:
            return None
        return IdleConnection(self, self._active_at, self._request_count > 0)

    def note_progress(self) -> None:
        """Restart the unread time if the caller has read since the last write."""
        if self._unread.since is not None and self.transport is not None:
            self._unread.record(self._measure_unread(), self._loop.time())

    def get_unread(self) -> UnreadConnection[CallerConnection] | None:
        """Return what the caller has not read of its answers, None while it reads."""
        self.note_progress()
        if self._unread.since is None or self.transport is None:
            return None
        return UnreadConnection(self, self._unread.since, self._unsent_bytes)

    def close_for_room(self) -> None:
        """Close an idle connection, or reset one whose answers are not read."""
        if self._unread.since is None:
            self.force_close()
        elif self.transport is not None:
            self._log_refusal("answers not read")
            self.transport.abort()

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
        return make_error_response(request, exc)
