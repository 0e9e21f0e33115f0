"""HTTP connections to one peer, and the bodies of answers that they carry."""

from __future__ import annotations

from itertools import count
from socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_USER_TIMEOUT
from struct import pack
from typing import TYPE_CHECKING

from aiohttp import ClientError, ClientPayloadError, EofStream
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from basilwick.core.errors import ErrorKind, Outcome, make_refusal

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

    from basilwick.core.errors import Refusal
    from basilwick.core.types import MonotonicSeconds
    from basilwick.transport.connection_pool import ConnectionPool

__all__ = ["LOST", "AnswerStream", "HttpConnection"]

#: Linger on, for no time: a close resets the connection.
_RESET_ON_CLOSE = pack("ii", 1, 0)
#: Whole answers that may wait behind the one that is read; more of them end the
#: connection, since nothing asked for them.
_QUEUED_ANSWERS = 8
#: Errors that mean that a connection gives no answer any more.
LOST = (OSError, ClientError, HttpProcessingError, EofStream)


class HttpConnection(ResponseHandler):
    """One HTTP/1.1 connection that carries one request at a time.

    aiohttp's protocol class parses the answers. The connection is not taken from
    `aiohttp.ClientSession`, because the session does not tell whether a byte was
    written, when the last byte arrived, or on which connection a request runs.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Callable[[], MonotonicSeconds]
    ):
        super().__init__(loop)
        self._clock = clock
        self.received_at: MonotonicSeconds = 0.0
        self.idle_since: MonotonicSeconds = 0.0
        self._bodiless: bool | None = None
        #: Whether a request was sent whose answer is not read yet.
        self._awaited = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let every close reset the connection, also that at the end of the process.

        A plain close would leave the bytes to the kernel, which delivers them when a
        partition heals, long after the sender has given them up.
        """
        sock = transport.get_extra_info("socket")
        sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET_ON_CLOSE)
        super().connection_made(transport)

    def limit_unacknowledged(self, limit_s: float) -> None:
        """Let the kernel end the connection when the peer takes no byte for so long."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, round(limit_s * 1000))

    def data_received(self, data: bytes) -> None:
        """Note the time of arrival and parse.

        Bytes that answer no request close the connection: they belong to no caller, and
        a server that sends them without end would fill the memory.
        """
        self.received_at = self._clock()
        if not self._awaited:
            self.abort_transport()
            return
        super().data_received(data)
        if len(self._buffer) > _QUEUED_ANSWERS:
            self.fail(ConnectionError("the server sends answers without a request"))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without a length whose connection was reset.

        The end of the connection ends such an answer, but a reset cuts it short.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"connection reset: {exc!r}"))
        super().connection_lost(exc)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on reading; does nothing when reading was not paused.

        aiohttp runs the parser here at each read to go on with decompression, which
        these connections do not use.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    @property
    def usable(self) -> bool:
        """Whether another request can be sent; unexpected bytes make it unusable."""
        return not (
            self.transport is None
            or self.transport.is_closing()
            or self._should_close
            or self._buffer
            or self._exception is not None
        )

    def write_head(self, head: bytes, bodiless: bool) -> None:
        """Send a request head, with a small body appended to it."""
        self._awaited = True
        if bodiless is not self._bodiless:
            self._bodiless = bodiless
            self.set_response_params(
                skip_payload=bodiless, read_until_eof=True, auto_decompress=False
            )
        self.transport.write(head)

    async def write_chunk(self, chunk: bytes) -> None:
        """Send a piece of a body and wait until the socket takes more."""
        if self.transport is None:
            raise ConnectionResetError("connection lost")
        self.transport.write(chunk)
        await self._drain_helper()

    async def read_head(
        self, most_interim: int | None = None
    ) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the answer, after any interim answers.

        Parameters
        ----------
        most_interim : int, optional
            Interim answers (1xx) that are passed over at most; by default any number,
            for peers that tell by them that they are still at work.

        Raises
        ------
        ConnectionError
            If more interim answers came.
        """
        for passed in count():
            message, payload = await self.read()
            if message.code >= 200:
                return message, payload
            if passed == most_interim:
                break
        raise ConnectionError(f"more than {most_interim} interim answers")

    def end_exchange(self) -> None:
        """Note that the answer was read; what arrives before the next one is stray."""
        self._awaited = False

    def fail(self, error: Exception) -> None:
        """Make the reader of this connection fail and close it."""
        self.set_exception(error)
        self.abort_transport()

    def abort_transport(self) -> None:
        """Reset the connection, so that what was not delivered yet never is."""
        self._should_close = True
        if self.transport is not None:
            self.transport.abort()


class AnswerStream:
    """Body of an answer that is passed on piece by piece.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that gets the connection back at the end.
    connection : HttpConnection
        Connection that carries the body.
    payload : aiohttp.StreamReader
        Source; its flow control bounds the memory in use.
    length : int or None
        Length in bytes if the head gave it.
    read : bytes, optional
        First piece, if it was read already.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        connection: HttpConnection,
        payload: StreamReader,
        length: int | None,
        read: bytes = b"",
    ):
        self._read = read
        self.length = length
        #: Called once when the body was read or given up.
        self.on_end: Callable[[], None] | None = None
        self._pool = pool
        self._connection: HttpConnection | None = connection
        self._payload = payload

    async def read_chunk(self) -> bytes | Refusal:
        """Return the next piece, empty at the end, or why there is none."""
        if self._connection is None:
            return b""
        if self._read:
            chunk, self._read = self._read, b""
            return chunk
        try:
            chunk = await self._payload.readany()
        except LOST as error:
            self.close()
            return make_refusal(
                ErrorKind.CONNECTION_LOST,
                f"the answer stopped half way: {error!r}",
                outcome=Outcome.UNKNOWN,
            )
        if not chunk:
            self._end(reusable=True)
        return chunk

    def close(self) -> None:
        """Give up the body and close its connection."""
        self._end(reusable=False)

    def _end(self, reusable: bool) -> None:
        if self._connection is not None:
            connection, self._connection = self._connection, None
            self._pool.release(connection, reusable)
            if self.on_end is not None:
                self.on_end()
