"""Bodies that a fake backend server sends in pieces."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from attrs import define

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["StreamedBody"]

_PIECE_BYTES = 32 << 10


@define(eq=False)
class StreamedBody:
    """Sends bodies in pieces.

    Parameters
    ----------
    size : int or None
        Length in bytes, None for a body without end.
    sized : bool
        Whether the head gives the length; otherwise the body is sent in chunks.
    interval_s : float
        Pause in seconds after each piece.

    Attributes
    ----------
    running : int
        Number of bodies that are being sent.
    """

    size: int | None = None
    sized: bool = False
    interval_s: float = 0.0
    running: int = 0

    async def send(
        self, request: web.Request, status: int, headers: Mapping[str, str]
    ) -> web.StreamResponse:
        """Answer a request with a body."""
        response = web.StreamResponse(status=status, headers=headers)
        if self.sized:
            response.content_length = self.size
        else:
            response.enable_chunked_encoding()
        await response.prepare(request)
        self.running += 1
        try:
            sent = 0
            while self.size is None or sent < self.size:
                left = _PIECE_BYTES if self.size is None else self.size - sent
                piece = b"z" * min(_PIECE_BYTES, left)
                await response.write(piece)
                sent += len(piece)
                await asyncio.sleep(self.interval_s)
            await response.write_eof()
        finally:
            self.running -= 1
        return response
