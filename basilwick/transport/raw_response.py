"""Answers to callers, which are written without the response classes of aiohttp."""

from __future__ import annotations

from http import HTTPStatus
from socket import SO_LINGER, SOL_SOCKET
from typing import TYPE_CHECKING

from basilwick.transport.body_sender import BodySender
from basilwick.transport.connection import RESET_ON_CLOSE
from basilwick.transport.exchange import Answer, encode_headers, encode_refusal

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from basilwick.core.errors import Refusal
    from basilwick.transport.exchange import ByteStream

__all__ = ["ErrorResponse", "RawResponse", "answer_refusal"]

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
        #: Whether the answer ends with its connection, because it has neither a length
        #: nor chunks, as for HTTP/1.0.
        self._ends_with_connection = False
        self.started = False
        self.status = 0
        self.body_length = 0
        self.failure = ""

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
            request.protocol.count_unsent()
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


class ErrorResponse(RawResponse):
    """Refusal that is written when aiohttp prepares the response.

    Parameters
    ----------
    status : int
        HTTP status, 0 for that of the refusal's kind.
    """

    def __init__(self, request: BaseRequest, refusal: Refusal, status: int = 0):
        super().__init__(request, keep_alive=False)
        self._answer = answer_refusal(refusal)
        if status:
            answer = self._answer
            self._answer = Answer(status, answer.fields, answer.body)

    async def prepare(self, request: BaseRequest) -> None:
        """Send the refusal on the request that aiohttp made for it."""
        self._request = request
        await self.send(self._answer)
