"""Memory that callers' bodies take."""

from __future__ import annotations

import asyncio

import pytest
from attrs import define, field

from basilwick.core.errors import Refusal
from basilwick.runtime.fleet.caller_body_reader import (
    BodyRejectedError,
    CallerBodyReader,
)

MB = 1 << 20
LARGEST = 64 * MB


@define(eq=False)
class Content:
    """Pieces that have come; without an end the next piece never comes."""

    pieces: list[bytes]
    ended: bool

    async def readany(self):
        if self.pieces:
            return self.pieces.pop(0)
        if not self.ended:
            await asyncio.Event().wait()
        return b""


@define(eq=False)
class Request:
    """A request whose body has come in part."""

    arrived: bytes
    content_length: int | None
    ended: bool = True
    method: str = "POST"
    body_exists: bool = True
    headers: dict = field(factory=dict)
    transport: object = None
    content: Content = field(init=False)

    def __attrs_post_init__(self):
        starts = range(0, len(self.arrived), 65_536)
        pieces = [self.arrived[start : start + 65_536] for start in starts]
        self.content = Content(pieces, self.ended)


def make_request(size, stated=True):
    return Request(b"x" * size, size if stated else None)


async def test_bodies_of_many_requests_are_held_up_to_a_bound_together():
    """Some hundred uploads at a time took all memory of a small instance."""
    bodies = CallerBodyReader()
    loaded = [await bodies.load(make_request(MB - 1), LARGEST) for _ in range(100)]
    assert bodies.buffered_bytes <= 32 * MB
    assert sum(body.replayable for body in loaded) >= 30
    small = await bodies.load(make_request(1_000), LARGEST)
    assert small.replayable
    for body in (*loaded, small):
        bodies.release(body)
    assert bodies.buffered_bytes == 0


async def test_a_long_body_without_a_stated_length_is_passed_on_in_chunks():
    bodies = CallerBodyReader()
    body = await bodies.load(make_request(2 * MB, stated=False), LARGEST)
    assert body.framing == b"Transfer-Encoding: chunked\r\n"
    assert bodies.buffered_bytes == 0
    parts = []
    while chunk := await body.content.read_chunk():
        parts.append(chunk)
    assert len(b"".join(parts)) == 2 * MB


@pytest.mark.parametrize("stated", [True, False])
async def test_a_body_above_the_limit_is_not_passed_on_whole(stated):
    bodies = CallerBodyReader()
    request = make_request(3 * MB, stated)
    if stated:
        with pytest.raises(BodyRejectedError):
            await bodies.load(request, 2 * MB)
        return
    body = await bodies.load(request, 2 * MB)
    chunk = b"x"
    while isinstance(chunk, bytes) and chunk:
        chunk = await body.content.read_chunk()
    assert isinstance(chunk, Refusal)


async def test_a_body_that_does_not_come_is_given_back():
    bodies = CallerBodyReader()
    request = Request(b"x" * 5_000, 9_000, ended=False)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await bodies.load(request, LARGEST)
    assert bodies.buffered_bytes == 0
