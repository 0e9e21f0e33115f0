"""Streamed request bodies, with checks of length and digest."""

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
#: Longest time in seconds without data inside a body. An upload occupies a request slot
#: of the server, so a stalled caller must not hold it until a distant deadline.
_STALL_TIMEOUT_S = 5.0


def parse_digest(value: str) -> bytes | None:
    """Return the SHA-256 digest of a Content-Digest field, None without a valid one."""
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
    """Return whether the SHA-256 digest of a body equals an expected one."""
    return compare_digest(sha256(body).digest(), digest)


class RequestBody:
    """Body of a caller's request, checked against its length and digest.

    For a body of known length, the last piece is returned only after the digest was
    verified, so that a server never receives a complete body with a wrong digest.

    Parameters
    ----------
    reader : aiohttp.StreamReader
        Source, whose flow control bounds the memory in use.
    length : int or None
        Value of Content-Length in bytes, None for a body without it.
    digest : bytes or None
        Expected SHA-256 digest.
    transport : asyncio.BaseTransport or None
        Connection that `close` aborts unless the body was read to its end.
    first_chunk : bytes, optional
        Beginning of the body, if it was read already.
    max_bytes : int, optional
        Size limit in bytes of a body without Content-Length.
    """

    def __init__(
        self,
        reader: StreamReader,
        length: int | None,
        digest: bytes | None,
        transport: BaseTransport | None,
        first_chunk: bytes = b"",
        max_bytes: int | None = None,
    ):
        self.length = length
        self._reader = reader
        self._digest = digest
        self._hasher = sha256() if digest is not None else None
        self._transport = transport
        self._received = 0
        self._first_chunk = first_chunk
        self._max_bytes = max_bytes
        self._ended = False

    async def read_chunk(self) -> bytes | Refusal:
        """Return the next piece, empty at the end, or a refusal on failure."""
        if self._ended:
            return b""
        chunk, self._first_chunk = self._first_chunk, b""
        try:
            if not chunk:
                async with timeout(_STALL_TIMEOUT_S):
                    chunk = await self._reader.readany()
        except TimeoutError:
            return self._refuse(f"the caller sent nothing for {_STALL_TIMEOUT_S:.0f} s")
        except (RequestPayloadError, ClientPayloadError, ConnectionError) as error:
            return self._refuse(f"the caller's connection failed: {error!r}")
        self._received += len(chunk)
        if self._hasher is not None:
            self._hasher.update(chunk)
        if self.length is None:
            return self._check_unsized(chunk)
        if not chunk and self._received < self.length:
            return self._refuse(
                f"the body ended after {self._received} of {self.length} bytes"
            )
        if self._received >= self.length:
            self._ended = True
            if self._hasher is not None and not compare_digest(
                self._hasher.digest(), self._digest
            ):
                return self._refuse("the body does not match its Content-Digest")
        return chunk

    def _check_unsized(self, chunk: bytes) -> bytes | Refusal:
        if self._max_bytes is not None and self._received > self._max_bytes:
            return self._refuse(f"the body has more than {self._max_bytes} bytes")
        self._ended = not chunk
        return chunk

    def close(self) -> None:
        """Abort the caller's connection unless the body was read to its end."""
        if not self._ended and self._transport is not None:
            self._transport.abort()

    def _refuse(self, message: str) -> Refusal:
        return make_refusal(ErrorKind.BODY_MISMATCH, message, outcome=Outcome.NOT_RUN)
