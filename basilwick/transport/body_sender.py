"""Sends the streamed body of an answer to a caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from basilwick.core.errors import Refusal

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from basilwick.transport.exchange import ByteStream

__all__ = ["BodySender"]

#: Largest rest in bytes that is buffered for a slow caller when the time limit of an
#: answer is reached. It is as much as one read of a socket returns.
_MAX_REST_BYTES = 256 << 10
#: Time in seconds for which bytes that the server sent before the time limit are still
#: read from the socket's buffer.
_REST_TIMEOUT_S = 0.1
#: Bytes that the connection to a server holds of an answer that is not read from it.
_SERVER_BUFFER_BYTES = 64 << 10
_LATE = "the server did not send the whole answer in time"


class BodySender:
    """Forwards a body from a server to a caller until its end or a time limit.

    After the limit, nothing is awaited from the server. An answer whose end the server
    had sent by then is still delivered to a caller that reads slowly.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        Request to answer.
    body : ByteStream
        Body to forward.
    chunked : bool
        Whether it is sent with chunked transfer encoding.
    time_left_s : float, optional
        Seconds after which the server must have sent the end; unlimited by default.

    Attributes
    ----------
    failure : str
        Why the body was not sent to its end, "" otherwise.
    """

    def __init__(
        self,
        request: BaseRequest,
        body: ByteStream,
        chunked: bool,
        time_left_s: float | None = None,
    ):
        self._request = request
        self._body = body
        self._chunked = chunked
        self._loop = asyncio.get_running_loop()
        self._deadline = (
            None if time_left_s is None else self._loop.time() + time_left_s
        )
        #: Whether the caller had not read what was written when more was read.
        self._read_ahead = False
        self._drain: asyncio.Task[None] | None = None
        self.failure = ""

    async def send(self) -> bool:
        """Send the body; returns whether it was sent to its end."""
        try:
            return await self._forward()
        finally:
            if self._drain is not None:
                self._drain.cancel()

    async def _forward(self) -> bool:
        while True:
            try:
                async with asyncio.timeout_at(self._deadline):
                    chunk = await self._body.read_chunk()
            except TimeoutError:
                return self._fail(_LATE)
            if isinstance(chunk, Refusal):
                return self._fail(chunk.message)
            self._write_chunk(chunk)
            if not chunk:
                await self._wait_until_read()
                return True
            if self._may_read_ahead():
                continue
            if not await self._wait_until_writable():
                return await self._send_rest()

    def _may_read_ahead(self) -> bool:
        """Whether the server can go on sending although the caller does not read.

        A server cuts off an answer that stays unread for some seconds.
        """
        protocol = self._request.protocol
        if not protocol.writing_paused:
            return False
        protocol.count_unsent()
        in_time = self._deadline is None or self._loop.time() < self._deadline
        self._read_ahead = in_time and protocol.may_read_ahead(_SERVER_BUFFER_BYTES)
        return self._read_ahead

    async def _wait_until_read(self) -> None:
        """Wait for a caller for which the end of an answer was read ahead."""
        protocol = self._request.protocol
        if self._read_ahead and protocol.writing_paused:
            protocol.count_unsent()
            await self._request.writer.drain()

    def _fail(self, reason: str) -> bool:
        self.failure = reason
        return False

    def _write_chunk(self, chunk: bytes) -> None:
        """Write a piece; an empty one ends the body."""
        if self._chunked:
            # An empty piece becomes the zero-length chunk that ends the body.
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError("the caller closed the connection")
        self._request.protocol.note_progress()
        transport.write(chunk)

    async def _wait_until_writable(self) -> bool:
        """Wait while the write buffer is full; returns False at the time limit."""
        if self._deadline is None:
            await self._request.writer.drain()
            return True
        if self._request.protocol.writing_paused:
            # aiohttp can't wait again for the buffer after a wait was cancelled, so the
            # wait goes on in a task of its own.
            self._drain = asyncio.create_task(self._request.writer.drain())
            self._drain.add_done_callback(_retrieve_exception)
            time_left_s = self._deadline - self._loop.time()
            await asyncio.wait({self._drain}, timeout=max(0.0, time_left_s))
            if self._drain.done():
                self._drain.result()
        return self._loop.time() < self._deadline

    async def _send_rest(self) -> bool:
        """Send the rest of an answer whose end the server sent before the time limit.

        Returns False if it had not.
        """
        chunks = []
        size = 0
        try:
            async with asyncio.timeout(_REST_TIMEOUT_S):
                while size <= _MAX_REST_BYTES:
                    chunk = await self._body.read_chunk()
                    if isinstance(chunk, Refusal):
                        return self._fail(chunk.message)
                    chunks.append(chunk)
                    size += len(chunk)
                    if not chunk:
                        break
        except TimeoutError:
            return self._fail(_LATE)
        if chunks[-1]:
            return self._fail(_LATE)
        for chunk in chunks:
            self._write_chunk(chunk)
        await self._request.writer.drain()
        return True


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    """Keep asyncio from reporting an exception for which nobody waits any more."""
    if not task.cancelled():
        task.exception()
