"""Measures what a connection receives of one request."""

from __future__ import annotations

from sys import getsizeof
from typing import TYPE_CHECKING

from aiohttp.web import RequestPayloadError
from attrs import define

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.http import RawRequestMessage

__all__ = ["RequestMeter", "fail_body", "measure_head", "measure_parsed_head"]

#: Bytes of chunk sizes, extensions and trailers that a body may have beyond its own
#: length. The overhead exceeds the length only in chunks under 6 bytes.
_MAX_CHUNK_OVERHEAD_BYTES = 64 << 10


@define(eq=False, slots=True)
class RequestMeter:
    """What was received of the request that is read now.

    Attributes
    ----------
    head_bytes : int
        Bytes of an incomplete head, or of empty lines while there is no head.
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

    def add_to_head(self, data: bytes) -> None:
        """Count bytes of an incomplete head, or of empty lines before it."""
        if self.empty and (head := data.lstrip(b"\r\n")):
            self.empty = False
            self.head_bytes, data = 0, head
        self.head_bytes += len(data)

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


def fail_body(body: StreamReader, reason: str) -> None:
    """Make a body fail at its next read; nothing more of it is awaited."""
    body.set_exception(RequestPayloadError(reason))
    body.feed_eof()


def measure_head(message: RawRequestMessage) -> int:
    """Return the length of a request head in bytes, without optional white space."""
    # A space, the version and two line ends follow the method and the path.
    size = len(message.method) + len(message.path) + 14
    for name, value in message.raw_headers:
        size += len(name) + len(value) + 4
    return size


def measure_parsed_head(message: RawRequestMessage) -> int:
    """Return the memory in bytes that a parsed head takes.

    The parser keeps each field as bytes and as a string, which takes up to four bytes
    a character.
    """
    text_bytes = sum(getsizeof(value) for value in message.headers.values())
    return measure_head(message) + text_bytes + getsizeof(message.path)
