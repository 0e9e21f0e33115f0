"""Request bodies that are checked while they pass through."""

from __future__ import annotations

from asyncio import timeout
from base64 import b64decode
from binascii import Error as Base64Error
from hashlib import sha256
from hmac import compare_digest
from typing import TYPE_CHECKING

from aiohttp import ClientPayloadError
from aiohttp.web import RequestPayloadError

from basilwick.core.errors import ErrorKind, Outcome, make_refusal

if TYPE_CHECKING:
    from asyncio import BaseTransport

    from aiohttp import StreamReader

    from basilwick.core.errors import Refusal

__all__ = ["RequestBody", "check_digest", "parse_digest"]

_DIGEST_PREFIX = "sha-256=:"
#: Longest pause in seconds inside a body. The upload holds a slot of the server, so a
#: stalled caller must not keep it until a distant deadline.
_STALL_S = 5.0


def parse_digest(value: str) -> bytes | None:
    """Return the SHA-256 digest of a Content-Digest field, None when unreadable."""
    for member in value.split(","):
        member = member.strip()
        if member.startswith(_DIGEST_PREFIX) and member.endswith(":"):
            try:
                digest = b64decode(member[len(_DIGEST_PREFIX) : -1], validate=True)
            except Base64Error:
                return None
            return digest if len(digest) == 32 else None
    return None


def check_digest(body: bytes, digest: bytes) -> bool:
    """Return whether a body has a SHA-256 digest."""
    return compare_digest(sha256(body).digest(), digest)


class RequestBody:
    """Body of a caller's request, checked against its length and digest.

    The last piece is returned only after the digest of the whole was found right, so
    that a server never gets the whole of a wrong body.

    Parameters
    ----------
    reader : aiohttp.StreamReader
        Source; its flow control bounds the memory in use.
    length : int or None
        Length in bytes by the Content-Length field, None if only its end tells it.
    digest : bytes or None
        Expected SHA-256 digest.
    transport : asyncio.BaseTransport or None
        Connection that is closed when the body is not read to its end.
    read : bytes, optional
        First piece, if it was read already.
    most : int, optional
        Largest length in bytes of a body without a stated one.
    """

    def __init__(
        self,
        reader: StreamReader,
        length: int | None,
        digest: bytes | None,
        transport: BaseTransport | None,
        read: bytes = b"",
        most: int | None = None,
    ):
        self.length = length
        self._reader = reader
        self._digest = digest
        self._hash = sha256() if digest is not None else None
        self._transport = transport
        self._received = 0
        self._read = read
        self._most = most
        self._ended = False

    async def read_chunk(self) -> bytes | Refusal:
        """Return the next piece, empty at the end, or why there is none."""
        if self._ended:
            return b""
        chunk, self._read = self._read, b""
        try:
            if not chunk:
                async with timeout(_STALL_S):
                    chunk = await self._reader.readany()
        except TimeoutError:
            return self._mismatch(f"the caller sent nothing for {_STALL_S:.0f} s")
        except (RequestPayloadError, ClientPayloadError, ConnectionError) as error:
            return self._mismatch(f"the caller's connection failed: {error!r}")
        self._received += len(chunk)
        if self._hash is not None:
            self._hash.update(chunk)
        if self.length is None:
            return self._check_unstated(chunk)
        if not chunk and self._received < self.length:
            return self._mismatch(
                f"the body ended after {self._received} of {self.length} bytes"
            )
        if self._received >= self.length:
            self._ended = True
            if self._hash is not None and not compare_digest(
                self._hash.digest(), self._digest
            ):
                return self._mismatch("the body does not match its Content-Digest")
        return chunk

    def _check_unstated(self, chunk: bytes) -> bytes | Refusal:
        if self._most is not None and self._received > self._most:
            return self._mismatch(f"the body has more than {self._most} bytes")
        self._ended = not chunk
        return chunk

    def close(self) -> None:
        """Close the caller's connection when the body is not at its end."""
        if not self._ended and self._transport is not None:
            self._transport.abort()

    def _mismatch(self, message: str) -> Refusal:
        return make_refusal(ErrorKind.BODY_MISMATCH, message, outcome=Outcome.NOT_RUN)
