"""Streamed bodies of servers' answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.errors import ErrorKind, Outcome, make_refusal
from basilwick.transport.connection import CONNECTION_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import StreamReader

    from basilwick.core.errors import Refusal
    from basilwick.transport.connection import HttpConnection
    from basilwick.transport.connection_pool import ConnectionPool

__all__ = ["AnswerStream"]


class AnswerStream:
    """Body of an answer that is forwarded in pieces.

    Parameters
    ----------
    pool : ConnectionPool
        Pool to which the connection returns at the end.
    connection : HttpConnection
        Connection that carries the body.
    payload : aiohttp.StreamReader
        Source, whose flow control bounds the memory in use.
    length : int or None
        Length in bytes if the head gave it.
    first_chunk : bytes, optional
        Beginning of the body, if it was read already.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        connection: HttpConnection,
        payload: StreamReader,
        length: int | None,
        first_chunk: bytes = b"",
    ):
        self._first_chunk = first_chunk
        self.length = length
        #: Called once, after the body was read to its end or closed.
        self.on_end: Callable[[], None] | None = None
        self._pool = pool
        self._connection: HttpConnection | None = connection
        self._payload = payload
        self._ended = False

    async def read_chunk(self) -> bytes | Refusal:
        """Return the next piece, empty at the end, or a refusal on failure."""
        if self._ended:
            return b""
        if self._connection is None:
            return _make_closed_refusal()
        if self._first_chunk:
            chunk, self._first_chunk = self._first_chunk, b""
            return chunk
        try:
            chunk = await self._payload.readany()
            connection = self._connection
            if connection is None:
                # It was closed meanwhile, which looks like the end of the body.
                return _make_closed_refusal()
            if self._payload.at_eof():
                # A caller takes the answer as whole once it has the last piece.
                await connection.confirm_end(self._payload)
        except CONNECTION_ERRORS as error:
            self.close()
            return make_refusal(
                ErrorKind.CONNECTION_LOST,
                f"the answer stopped half way: {error!r}",
                outcome=Outcome.UNKNOWN,
            )
        if not chunk:
            self._ended = True
            self._end(reusable=True)
        return chunk

    def close(self) -> None:
        """Stop reading and close the connection, unless the body has ended."""
        self._end(reusable=False)

    def _end(self, reusable: bool) -> None:
        if self._connection is not None:
            connection, self._connection = self._connection, None
            self._pool.release(connection, reusable)
            if self.on_end is not None:
                self.on_end()


def _make_closed_refusal() -> Refusal:
    return make_refusal(
        ErrorKind.CONNECTION_LOST,
        "the answer was closed before its end",
        outcome=Outcome.UNKNOWN,
    )
