"""HTTP client connections."""

from __future__ import annotations

import asyncio
from asyncio import BufferedProtocol
from itertools import count
from socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_USER_TIMEOUT
from struct import pack
from typing import TYPE_CHECKING

from aiohttp import ClientError, ClientPayloadError, EofStream
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from basilwick.transport.answer_heads import (
    EarlySuccessError,
    check_head,
    is_final,
    is_unsized_success,
)
from basilwick.transport.answer_scanner import AnswerScanner
from basilwick.transport.carried_identities import CarriedIdentities
from basilwick.transport.kernel_buffers import count_unacknowledged

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

    from basilwick.core.types import MonotonicSeconds

__all__ = ["CONNECTION_ERRORS", "RESET_ON_CLOSE", "HttpConnection"]

#: SO_LINGER enabled with a timeout of 0 s: closing the socket resets the connection.
RESET_ON_CLOSE = pack("ii", 1, 0)
#: Largest number of bytes of one read, and of a body that are held while nobody reads
#: it. A connection holds at most the sum.
_READ_BYTES = 32 << 10
_MAX_UNREAD_BODY_BYTES = 32 << 10
#: Largest number of bytes of a head, and of what frames a body without being part of
#: it: chunk sizes with their extensions, and trailers. One read may exceed it.
_MAX_HEAD_BYTES = 32 << 10
#: Parsed answers that may be queued behind the one that is read. More of them close the
#: connection, because no request asked for them.
_MAX_QUEUED_ANSWERS = 8
#: An answer that the parser reads as such only if it has read the earlier ones to their
#: end.
_PROBE_ANSWER = b"HTTP/1.1 204 probe\r\n\r\n"
#: Time in seconds without data after which a body that holds the start of an answer
#: has ended. A second answer that it ran into goes on at once.
_QUIET_S = 0.05
#: Numbers of the connections of this process, for log lines.
_numbers = count(1)
#: Errors after which a connection can give no answer.
CONNECTION_ERRORS = (OSError, ClientError, HttpProcessingError, EofStream)


class HttpConnection(ResponseHandler, BufferedProtocol):
    """One HTTP/1.1 connection that carries one request at a time.

    aiohttp's protocol class parses the answers. `aiohttp.ClientSession` is not used,
    because it does not report whether a byte was written, when the last byte arrived,
    or which connection a request uses.

    Parameters
    ----------
    on_unrequested : callable, optional
        Called with the connection when data arrives that no request asked for.

    Attributes
    ----------
    number : int
        Number of the connection in this process.
    requests : int
        Number of requests that were sent on it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], MonotonicSeconds],
        on_unrequested: Callable[[HttpConnection], None] = lambda _: None,
    ):
        super().__init__(loop)
        self._clock = clock
        self._read_buffer = bytearray()
        self._on_unrequested = on_unrequested
        self.number = next(_numbers)
        self.requests = 0
        self.received_at: MonotonicSeconds = 0.0
        self.idle_since: MonotonicSeconds = 0.0
        self._no_body: bool | None = None
        self._identities = CarriedIdentities()
        self._scanner = AnswerScanner()
        #: Whether a request was sent whose answer has not been read to its end.
        self._awaiting_answer = False
        #: Whether the request was written to its end.
        self._request_written = False
        #: Bytes that were received since the last answer or byte of a body.
        self._framing_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Make every close reset the connection, even when the process exits.

        After a normal close the kernel keeps sending the unsent bytes and delivers them
        when a network partition heals, long after the sender has given up the request.
        """
        sock = transport.get_extra_info("socket")
        sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        super().connection_made(transport)

    def set_user_timeout(self, limit_s: float) -> None:
        """Make the kernel close the connection if the peer accepts no data in time."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, round(limit_s * 1000))

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer of the next read."""
        self._read_buffer = bytearray(_READ_BYTES)
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the buffer."""
        data, self._read_buffer = self._read_buffer, bytearray()
        self.data_received(bytes(memoryview(data)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Record the time of arrival and parse the data.

        Data without an outstanding request closes the connection: it belongs to no
        caller, and a server that sends it endlessly would exhaust the memory.
        """
        self.received_at = self._clock()
        if not self._awaiting_answer:
            self.abort_transport()
            self._on_unrequested(self)
            return
        body = self._payload
        if body is None or body.is_eof():
            self._receive_head(data)
        else:
            self._receive_body(body, data)
        if len(self._buffer) > _MAX_QUEUED_ANSWERS:
            self.fail(ConnectionError("the server sends answers without a request"))

    def _receive_head(self, data: bytes) -> None:
        """Parse data before a body, and fail a head that is too large."""
        known = len(self._buffer)
        earlier_body = self._payload
        super().data_received(data)
        if len(self._buffer) > known:
            self._framing_bytes = 0
            self._scanner.scan_head(data)
            self._check_early_success()
            return
        if earlier_body is not None:
            self._fail_merged_body(earlier_body)
        self._count_framing(len(data))

    def _count_framing(self, size: int) -> None:
        """Count bytes that belong to no body; too many of them close the connection."""
        self._framing_bytes += size
        if self._framing_bytes > _MAX_HEAD_BYTES:
            self.fail(
                ConnectionError(
                    f"the server sent {self._framing_bytes} bytes that belong neither "
                    "to a whole head nor to a body"
                )
            )

    def _check_early_success(self) -> None:
        """Fail a success that can't be told from one that a server broke off.

        A server that breaks off a request ends its connection, which is also the end
        of an answer without a length.
        """
        if not self._buffer:
            return
        (message, payload), _ = self._buffer[-1]
        if not is_unsized_success(message, payload):
            return
        received = self._request_written and (
            self.transport is None or not count_unacknowledged(self.transport)
        )
        if not received:
            payload.set_exception(EarlySuccessError(message.code))

    def _receive_body(self, body: StreamReader, data: bytes) -> None:
        """Parse data within a body, and fail one that holds the head of an answer.

        After a body that was cut off, the next answer is read as its rest. Only what
        follows is refused then. A server may also send other data behind a whole body.
        """
        self._scanner.scan(data)
        received_bytes = body.total_bytes
        super().data_received(data)
        if body.total_bytes > received_bytes:
            self._framing_bytes = 0
        elif not body.is_eof():
            self._count_framing(len(data))
        self._fail_merged_body(body)

    def _fail_merged_body(self, body: StreamReader) -> None:
        """Fail a body that another answer continues, if what follows is no answer."""
        if isinstance(self._exception, HttpProcessingError) and (
            self._scanner.found or not body.is_eof()
        ):
            body.set_exception(ClientPayloadError("the body runs into another answer"))

    async def confirm_end(self, body: StreamReader) -> None:
        """Wait until it is known whether a body has ended where its length says.

        A body that holds the start of an answer may have been cut off there. The rest
        of that answer then follows the end, and is no answer by itself.

        Raises
        ------
        ClientPayloadError
            If the body ran into another answer.
        """
        while self._scanner.found and self.transport is not None:
            quiet_s = self._clock() - self.received_at
            if quiet_s >= _QUIET_S:
                break
            await asyncio.sleep(_QUIET_S - quiet_s)
        error = body.exception()
        if error is not None:
            raise error

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer whose body was not complete when the connection was reset.

        An answer without a length ends with its connection, but a reset truncates it.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"connection reset: {exc!r}"))
        super().connection_lost(exc)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading, unless it was not paused.

        aiohttp calls this at each read and runs the parser to continue decompression,
        which these connections do not use.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    @property
    def usable(self) -> bool:
        """Whether another request can be sent; false if unexpected data arrived."""
        return not (
            self.transport is None
            or self.transport.is_closing()
            or self._should_close
            or self._buffer
            or self._exception is not None
            or self._identities.full
        )

    def has_carried(self, identity: bytes) -> bool:
        """Return whether a request with an identity was sent on this connection.

        A late answer to that request could be taken for the answer to another one
        with the same identity.
        """
        return identity in self._identities

    def write_head(
        self,
        head: bytes,
        no_body: bool,
        identity: bytes = b"",
        body_follows: bool = False,
    ) -> None:
        """Send a request head, to which a small body may be appended.

        Parameters
        ----------
        head : bytes
            Encoded head and body.
        no_body : bool
            Whether the answer has no body, as after HEAD.
        identity : bytes, optional
            Identity of the request, which its answer repeats.
        body_follows : bool, default=False
            Whether the body of the request is written in pieces.
        """
        self._awaiting_answer = True
        self._framing_bytes = 0
        self._request_written = not body_follows
        self.requests += 1
        if identity:
            self._identities.add(identity)
        if no_body is not self._no_body:
            self._no_body = no_body
            self.set_response_params(
                skip_payload=no_body,
                read_until_eof=True,
                auto_decompress=False,
                read_bufsize=_MAX_UNREAD_BODY_BYTES // 2,
            )
        self.transport.write(head)

    async def write_chunk(self, chunk: bytes, last: bool = False) -> None:
        """Send a piece of a body and wait while the write buffer is full.

        Parameters
        ----------
        last : bool, default=False
            Whether the request ends with this piece.
        """
        if self.transport is None:
            raise ConnectionResetError("the connection is closed")
        self._request_written = last
        self.transport.write(chunk)
        await self._drain_helper()

    async def read_head(
        self, max_interim: int | None = None
    ) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the final answer, after any interim answers.

        Parameters
        ----------
        max_interim : int, optional
            Largest number of interim answers (1xx) to skip; by default unlimited, for
            peers that send them while they process a request.

        Raises
        ------
        ConnectionError
            If more interim answers came, if two heads were read as one, or if the
            status is invalid.
        """
        for skipped in count():
            message, payload = await self.read()
            check_head(message)
            if is_final(message):
                return message, payload
            if skipped == max_interim:
                break
        raise ConnectionError(f"more than {max_interim} interim answers")

    def end_exchange(self) -> bool:
        """End the exchange; data before the next request is then unexpected.

        Returns
        -------
        bool
            Whether the connection can carry another request.
        """
        self._awaiting_answer = False
        if not self.usable:
            return False
        if self._is_within_answer():
            self._on_unrequested(self)
            return False
        return True

    def _is_within_answer(self) -> bool:
        """Return whether the parser has read a part of another answer.

        aiohttp's parser does not tell. It would read the next answer as the rest of
        that part.
        """
        if self._parser is None:
            return False
        try:
            messages, _, _ = self._parser.feed_data(_PROBE_ANSWER)
        except (ClientError, HttpProcessingError):
            return True
        if len(messages) != 1:
            return True
        message, _ = messages[0]
        return message.reason != "probe" or bool(message.raw_headers)

    def fail(self, error: Exception) -> None:
        """Close the connection with an error, which its reader raises."""
        body = self._payload
        if body is not None and not body.is_eof():
            body.set_exception(error)
        self.set_exception(error)
        self.abort_transport()

    def abort_transport(self) -> None:
        """Reset the connection, so that undelivered data is discarded."""
        self._should_close = True
        if self.transport is not None:
            self.transport.abort()
