"""Attempts to get an answer from one target over persistent connections."""

from __future__ import annotations

import asyncio
from os import urandom
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from basilwick.core.errors import ErrorKind, Outcome, Refusal, make_refusal
from basilwick.core.latency import LatencyWindow
from basilwick.core.retries import compute_silence_limit, is_silent
from basilwick.core.timing import SERVER_SILENT_AFTER_S
from basilwick.transport.answer_stream import AnswerStream
from basilwick.transport.connection import CONNECTION_ERRORS
from basilwick.transport.connection_pool import ConnectionPool
from basilwick.transport.exchange import (
    SMALL_BODY_BYTES,
    Answer,
    Operation,
    Request,
    is_hop_by_hop_field,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

    from basilwick.core.types import MonotonicSeconds
    from basilwick.transport.connection import HttpConnection

__all__ = ["Channel", "Reply", "SendPlan"]

#: Bodies up to this size are joined with their head, which saves a system call.
_JOINED_BODY_BYTES = 8192


class _SilentConnectionError(ConnectionError):
    """The connection carried nothing while others did."""


@frozen
class Reply:
    """Head and body of an answer with the expected attempt identity.

    Attributes
    ----------
    answer : Answer
        Answer to forward.
    own_fields : dict of bytes to bytes
        The ``Basilwick-`` header fields, by lower-case name.
    latency_s : float
        Seconds between the last byte sent and the head of the answer.
    """

    answer: Answer
    own_fields: dict[bytes, bytes]
    latency_s: float


@define(eq=False)
class SendPlan:
    """How one attempt is sent.

    Attributes
    ----------
    authorize : callable
        Called immediately before the send; returns the encoded header fields that
        state the right to send, or a refusal.
    keep_sending : callable
        Called before each further piece of a streamed body.
    start_hedge : callable or None
        Called once when no byte has arrived for ``hedge_delay_s``.
    hedge_delay_s : float
        Seconds.
    on_unanswered : callable or None
        Called once when no byte has arrived for 0.4 s, as evidence of a loss.
    checks_echo : bool
        Whether the answer must echo the identity of the attempt.
    """

    authorize: Callable[[], bytes | Refusal]
    keep_sending: Callable[[], bool]
    start_hedge: Callable[[], None] | None = None
    hedge_delay_s: float = 0.0
    on_unanswered: Callable[[], None] | None = None
    connection: HttpConnection | None = None
    checks_echo: bool = True


@define(eq=False)
class _Watch:
    """Timer of one attempt: hedge first, then silence of the connection."""

    channel: Channel
    connection: HttpConnection
    plan: SendPlan
    request: Request
    sent_at: MonotonicSeconds
    handle: asyncio.TimerHandle | None = None
    silent: bool = False

    def start(self) -> None:
        if self.plan.start_hedge is not None:
            self._schedule(self.plan.hedge_delay_s)
        else:
            self._schedule(self.channel.silence_limit_s)

    def cancel(self) -> None:
        if self.handle is not None:
            self.handle.cancel()

    def _schedule(self, delay_s: float) -> None:
        self.handle = self.channel.loop.call_later(delay_s, self._fire)

    def _fire(self) -> None:
        plan, channel = self.plan, self.channel
        heard_at = max(self.sent_at, self.connection.received_at)
        now = channel.clock()
        if plan.start_hedge is not None:
            start_hedge, plan.start_hedge = plan.start_hedge, None
            self._schedule(max(0.001, channel.silence_limit_s - (now - self.sent_at)))
            if heard_at == self.sent_at:
                start_hedge()
            return
        if plan.on_unanswered is not None and now - heard_at >= SERVER_SILENT_AFTER_S:
            on_unanswered, plan.on_unanswered = plan.on_unanswered, None
            on_unanswered()
        self._schedule(channel.silence_limit_s)
        if is_silent(
            heard_at,
            channel.answered_at,
            now,
            max(channel.silence_floor_s, channel.silence_limit_s),
        ):
            if not self.silent:
                self.silent = True
                channel.on_silent()
            channel.pool.discard_silent(self.sent_at)
            # An operation that must not run twice waits for its answer until its
            # deadline; closing its connection could only lose the answer.
            if self.request.idempotent:
                error = "no byte arrived while other connections carried answers"
                self.connection.fail(_SilentConnectionError(error))


@define(eq=False)
class Channel:
    """Connections to one server or instance, with its measured latencies.

    Parameters
    ----------
    address : str
        IP number and port.
    max_connections : int
        Largest number of connections.
    clock : callable
        Local monotonic clock in seconds.
    silence_floor_s : float
        Shortest time without a byte after which a connection counts as silent.
    """

    address: str
    max_connections: int
    clock: Callable[[], MonotonicSeconds]
    silence_floor_s: float = 0.0
    loop: asyncio.AbstractEventLoop = field(factory=asyncio.get_running_loop)
    latencies: LatencyWindow = field(factory=LatencyWindow)
    answered_at: MonotonicSeconds = float("-inf")
    used_at: MonotonicSeconds = float("-inf")
    on_silent: Callable[[], None] = lambda: None
    pool: ConnectionPool = field(init=False)
    _host_field: bytes = field(init=False)
    _attempt_prefix: str = field(init=False)
    _attempts: int = 0

    def __attrs_post_init__(self) -> None:
        self.pool = ConnectionPool(self.address, self.max_connections, self.clock)
        self._host_field = b" HTTP/1.1\r\nHost: %b\r\n" % self.address.encode()
        # Random, because a proxy between could confuse answers of two instances.
        self._attempt_prefix = urandom(8).hex()

    @property
    def silence_limit_s(self) -> float:
        """Seconds without a byte after which a connection is suspect."""
        return compute_silence_limit(self.latencies.quantile(0.99))

    async def attempt(self, request: Request, plan: SendPlan) -> Reply | Refusal:
        """Send a request once and return the answer.

        ``request.unresolved_attempts`` is incremented once a byte may have reached the
        target. The reader of an answer that says that the request did not run
        decrements it.
        """
        self.used_at = self.clock()
        try:
            connection = await self.pool.acquire()
        except OSError as error:
            return make_refusal(
                ErrorKind.CONNECTION_LOST,
                f"{self.address} accepts no connection: {error}",
                outcome=Outcome.NOT_RUN,
            )
        authority = plan.authorize()
        if isinstance(authority, Refusal):
            self.pool.release(connection, reusable=True)
            return authority
        plan.connection = connection
        reusable = handed_on = False
        watch = _Watch(self, connection, plan, request, self.clock())
        try:
            reply = await self._exchange(connection, request, plan, authority, watch)
            if isinstance(reply, Reply):
                reusable = True
                handed_on = isinstance(reply.answer.body, AnswerStream)
            return reply
        except CONNECTION_ERRORS as error:
            return make_refusal(
                ErrorKind.CONNECTION_LOST,
                f"{self.address} gave no answer: {error!r}",
                outcome=Outcome.UNKNOWN,
            )
        finally:
            watch.cancel()
            plan.connection = None
            if not handed_on:
                self.pool.release(connection, reusable)

    async def _exchange(
        self,
        connection: HttpConnection,
        request: Request,
        plan: SendPlan,
        authority: bytes,
        watch: _Watch,
    ) -> Reply | Refusal:
        self._attempts += 1
        identity = f"{self._attempt_prefix}-{self._attempts}".encode()
        head = self._encode_head(request, authority, identity)
        request.unresolved_attempts += 1
        bodiless = request.method == "HEAD"
        body = request.body
        if not isinstance(body, bytes):
            connection.write_head(head, bodiless, body_follows=True)
            sent = await self._send_stream(connection, request, plan, watch)
            if isinstance(sent, Refusal):
                return sent
            message, payload = sent
        else:
            if len(body) > _JOINED_BODY_BYTES:
                connection.write_head(head, bodiless)
                connection.transport.write(body)
            else:
                connection.write_head(head + body, bodiless)
            watch.start()
            message, payload = await connection.read_head()
        return await self._read_answer(connection, message, payload, identity, watch)

    def _encode_head(
        self, request: Request, authority: bytes, identity: bytes
    ) -> bytes:
        body = request.body
        length = len(body) if isinstance(body, bytes) else body.length
        framing = b""
        if length or request.method not in ("GET", "HEAD"):
            framing = b"Content-Length: %d\r\n" % length
        return b"".join(
            (
                request.method.encode(),
                b" ",
                request.target.encode("utf-8", "surrogateescape"),
                self._host_field,
                request.fields,
                framing,
                authority,
                b"Basilwick-Attempt: ",
                identity,
                b"\r\n\r\n",
            )
        )

    async def _send_stream(
        self,
        connection: HttpConnection,
        request: Request,
        plan: SendPlan,
        watch: _Watch,
    ) -> tuple[RawResponseMessage, StreamReader] | Refusal:
        request.body_started = True
        complete = asyncio.Event()
        pump = asyncio.create_task(
            _pump_body(connection, request, plan.keep_sending, complete)
        )
        head = asyncio.create_task(connection.read_head())
        try:
            await asyncio.wait({pump, head}, return_when=asyncio.FIRST_COMPLETED)
            if not head.done():
                # A server that refuses early may close the connection under the body;
                # its answer can still follow the failed write.
                refusal = None if pump.exception() else pump.result()
                if refusal is not None:
                    return refusal
                watch.sent_at = self.clock()
                watch.start()
            message, payload = await head
        finally:
            for task in (pump, head):
                task.cancel()
            await asyncio.gather(pump, head, return_exceptions=True)
        if not complete.is_set():
            # The rest of the body is not sent, so the connection ends here.
            connection.force_close()
            if message.code < 300 and request.operation is Operation.UPLOAD:
                return make_refusal(
                    ErrorKind.CONNECTION_LOST,
                    f"{self.address} acknowledged an upload before its end",
                    outcome=Outcome.UNKNOWN,
                )
        return message, payload

    async def _read_answer(
        self,
        connection: HttpConnection,
        message: RawResponseMessage,
        payload: StreamReader,
        identity: bytes,
        watch: _Watch,
    ) -> Reply | Refusal:
        latency_s = self.clock() - watch.sent_at
        fields, own_fields, length = _split_fields(message)
        echoed = own_fields.get(b"basilwick-attempt") == identity
        if watch.plan.checks_echo and not echoed:
            connection.force_close()
            return make_refusal(
                ErrorKind.CONNECTION_LOST,
                f"{self.address} answered another attempt",
                outcome=Outcome.UNKNOWN,
            )
        answer = Answer(message.code, fields, length=length)
        if payload.is_eof() or (length is not None and length <= SMALL_BODY_BYTES):
            answer.body = await payload.read()
            await connection.confirm_end(payload)
        else:
            answer.body = AnswerStream(self.pool, connection, payload, length)
        self.answered_at = self.clock()
        self.latencies.record(latency_s)
        return Reply(answer, own_fields, latency_s)


async def _pump_body(
    connection: HttpConnection,
    request: Request,
    keep_sending: Callable[[], bool],
    complete: asyncio.Event,
) -> Refusal | None:
    body = request.body
    sent = 0
    while sent < body.length:
        chunk = await body.read_chunk()
        if isinstance(chunk, Refusal):
            return chunk
        if not keep_sending():
            return make_refusal(
                ErrorKind.NO_PERMISSION, "the right to send ended during the body"
            )
        sent += len(chunk)
        last = sent >= body.length
        if last:
            complete.set()
        await connection.write_chunk(chunk, last)
    complete.set()
    return None


def _split_fields(
    message: RawResponseMessage,
) -> tuple[list[tuple[bytes, bytes]], dict[bytes, bytes], int | None]:
    passed = []
    own = {}
    length = None
    for pair in message.raw_headers:
        name = pair[0].lower()
        if name.startswith(b"basilwick-"):
            own[name] = pair[1]
        elif name == b"content-length":
            length = int(pair[1])
        elif not is_hop_by_hop_field(name):
            passed.append(pair)
    return passed, own, length
