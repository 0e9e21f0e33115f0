"""Bodies of callers' requests: held whole, or passed on as they arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.web import RequestPayloadError
from attrs import define, frozen

from basilwick.transport.bodies import RequestBody

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from basilwick.transport.exchange import ByteStream

__all__ = ["CallerBodyReader", "CallerBody", "BodyRejectedError"]

#: Largest body in bytes that is held whole; a larger one is passed on as it arrives.
_HELD_BODY_BYTES = 1 << 20
#: Bytes of bodies that are held at a time; beyond, only small bodies are held.
_ALL_HELD_BYTES = 32 << 20
_SMALL_BODY_BYTES = 16 << 10
_TOO_LARGE = 413
_BROKEN = 400


class BodyRejectedError(Exception):
    """The caller's body can't be used; the status says why."""

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
        Encoded fields that tell a server where the body ends.
    """

    content: bytes | ByteStream = b""
    framing: bytes = b""

    @property
    def replayable(self) -> bool:
        """Whether it can be sent again."""
        return isinstance(self.content, bytes)

    @property
    def size(self) -> int:
        """Bytes, as far as they are known."""
        if isinstance(self.content, bytes):
            return len(self.content)
        return self.content.length or 0


@define(eq=False)
class CallerBodyReader:
    """Reads bodies, and bounds the bytes that are held for all requests."""

    buffered_bytes: int = 0

    async def load(self, raw: BaseRequest, largest: int) -> CallerBody:
        """Read a body whole, or prepare to pass it on.

        What is held counts until it is given back with ``release``.

        Parameters
        ----------
        largest : int
            Bytes of the largest body.

        Raises
        ------
        BodyRejectedError
            If the body is too large or its connection fails.
        """
        if not raw.body_exists:
            bodiless = raw.method in ("GET", "HEAD", "DELETE", "OPTIONS")
            return CallerBody(b"", b"" if bodiless else b"Content-Length: 0\r\n")
        if raw.headers.get("Expect", "").lower() == "100-continue":
            raw.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        length = raw.content_length
        if length is not None and length > largest:
            raise BodyRejectedError(_TOO_LARGE)
        most = self._bound_held_body()
        if length is not None and length > most:
            stream = RequestBody(raw.content, length, None, raw.transport)
            return CallerBody(stream, _frame(length))
        held, ended = await self._hold(raw, most)
        if ended:
            return CallerBody(held, _frame(len(held)))
        stream = RequestBody(
            raw.content, None, None, raw.transport, read=held, most=largest
        )
        self.buffered_bytes -= len(held)
        return CallerBody(stream, b"Transfer-Encoding: chunked\r\n")

    def release(self, body: CallerBody) -> None:
        """Give back what is held for a request that has ended."""
        if body.replayable:
            self.buffered_bytes -= body.size

    def _bound_held_body(self) -> int:
        """Return the size in bytes up to which a body is held whole now."""
        full = self.buffered_bytes + _HELD_BODY_BYTES > _ALL_HELD_BYTES
        return _SMALL_BODY_BYTES if full else _HELD_BODY_BYTES

    async def _hold(self, raw: BaseRequest, most: int) -> tuple[bytes, bool]:
        """Read up to a number of bytes; returns whether the body ended."""
        parts = []
        size = 0
        whole = False
        try:
            while size <= most:
                chunk = await raw.content.readany()
                if not chunk:
                    whole = True
                    break
                parts.append(chunk)
                size += len(chunk)
                self.buffered_bytes += len(chunk)
        except (RequestPayloadError, ConnectionError) as error:
            self.buffered_bytes -= size
            raise BodyRejectedError(_BROKEN) from error
        except BaseException:
            # The time is over, or the caller has left.
            self.buffered_bytes -= size
            raise
        return b"".join(parts), whole


def _frame(length: int) -> bytes:
    return b"Content-Length: %d\r\n" % length
