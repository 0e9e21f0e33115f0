"""Bodies of callers' requests: buffered whole, or streamed to the server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.web import RequestPayloadError
from attrs import define, field, frozen

from basilwick.core.caller_budget import CallerBudget
from basilwick.transport.bodies import RequestBody

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from basilwick.transport.exchange import ByteStream

__all__ = ["CallerBodyReader", "CallerBody", "BodyRejectedError"]

#: Largest body in bytes that is buffered whole; a larger one is streamed.
_MAX_BUFFERED_BODY_BYTES = 1 << 20
#: Total size in bytes of all buffered bodies, above which only small bodies are still
#: buffered.
_MAX_BUFFERED_BYTES = 32 << 20
_SMALL_BODY_BYTES = 16 << 10
#: Bytes of a streamed body that its connection holds before they are sent.
_STREAM_BYTES = 48 << 10
_CONTENT_TOO_LARGE = 413
_BAD_REQUEST = 400


class BodyRejectedError(Exception):
    """Raised for a body that can't be used, with the HTTP status that says why."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


@frozen
class CallerBody:
    """Body of a request.

    Attributes
    ----------
    content : bytes or ByteStream
        Whole body, which can be sent again, or a stream that can be read once.
    framing : bytes
        Encoded header fields that give the length or the transfer coding of the body.
    first_bytes : int
        Bytes of a stream that were buffered before it was known to be one.
    """

    content: bytes | ByteStream = b""
    framing: bytes = b""
    first_bytes: int = 0

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent again."""
        return isinstance(self.content, bytes)

    @property
    def size(self) -> int:
        """Length in bytes, 0 if it is unknown."""
        if isinstance(self.content, bytes):
            return len(self.content)
        return self.content.length or 0


@define(eq=False)
class CallerBodyReader:
    """Reads bodies and limits the bytes that are buffered for all requests together.

    Attributes
    ----------
    buffered_bytes : int
        Bytes that are buffered now.
    budget : CallerBudget
        Counts them with all else that is held for callers.
    """

    buffered_bytes: int = 0
    budget: CallerBudget = field(factory=CallerBudget)

    async def load(self, raw: BaseRequest, max_body_bytes: int) -> CallerBody:
        """Buffer a body whole, or prepare to stream it.

        A buffered body counts towards the limit until ``release`` is called.

        Parameters
        ----------
        max_body_bytes : int
            Longest body in bytes that is accepted.

        Raises
        ------
        BodyRejectedError
            If the body is too large or the connection fails.
        """
        if not raw.body_exists:
            bodiless = raw.method in ("GET", "HEAD", "DELETE", "OPTIONS")
            return CallerBody(b"", b"" if bodiless else b"Content-Length: 0\r\n")
        if raw.headers.get("Expect", "").lower() == "100-continue":
            raw.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        length = raw.content_length
        if length is not None and length > max_body_bytes:
            raise BodyRejectedError(_CONTENT_TOO_LARGE)
        max_buffered_bytes = self._get_max_buffered_bytes()
        if length is not None and length > max_buffered_bytes:
            stream = RequestBody(raw.content, length, None, raw.transport)
            self.budget.add(_STREAM_BYTES)
            return CallerBody(stream, _encode_content_length(length))
        buffered, ended = await self._buffer(raw, length, max_buffered_bytes)
        if ended:
            return CallerBody(buffered, _encode_content_length(len(buffered)))
        stream = RequestBody(
            raw.content,
            None,
            None,
            raw.transport,
            first_chunk=buffered,
            max_bytes=max_body_bytes,
        )
        self.buffered_bytes -= len(buffered)
        self.budget.add(_STREAM_BYTES)
        framing = b"Transfer-Encoding: chunked\r\n"
        return CallerBody(stream, framing, len(buffered))

    def release(self, body: CallerBody) -> None:
        """Release the buffer of a request that has ended."""
        if body.replayable:
            self._count(-body.size)
        else:
            self.budget.add(-_STREAM_BYTES - body.first_bytes)

    def _count(self, size: int) -> None:
        self.buffered_bytes += size
        self.budget.add(size)

    def _get_max_buffered_bytes(self) -> int:
        """Return the size in bytes up to which a body is buffered whole now."""
        full = self.buffered_bytes + _MAX_BUFFERED_BODY_BYTES > _MAX_BUFFERED_BYTES
        if self.budget.max_bytes:
            full |= not self.budget.may_read_ahead(_MAX_BUFFERED_BODY_BYTES)
        return _SMALL_BODY_BYTES if full else _MAX_BUFFERED_BODY_BYTES

    async def _buffer(
        self, raw: BaseRequest, length: int | None, max_buffered_bytes: int
    ) -> tuple[bytes, bool]:
        """Return the body up to just beyond a size, and whether it ended by then.

        A known length is counted at once. Otherwise all bodies that begin together
        would find the same room.
        """
        chunks = []
        size = 0
        counted = length or 0
        self._count(counted)
        ended = False
        try:
            while size <= max_buffered_bytes:
                chunk = await raw.content.readany()
                if not chunk:
                    ended = True
                    break
                chunks.append(chunk)
                size += len(chunk)
                if size > counted:
                    self._count(size - counted)
                    counted = size
                if length is None:
                    max_buffered_bytes = self._get_max_buffered_bytes()
        except (RequestPayloadError, ConnectionError) as error:
            self._count(-counted)
            raise BodyRejectedError(_BAD_REQUEST) from error
        except BaseException:
            # A timeout or a disconnected caller has cancelled the read.
            self._count(-counted)
            raise
        self._count(size - counted)
        return b"".join(chunks), ended


def _encode_content_length(length: int) -> bytes:
    return b"Content-Length: %d\r\n" % length
