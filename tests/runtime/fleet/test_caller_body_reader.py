"""Memory limit of callers' bodies, and streaming of long bodies."""

from __future__ import annotations

import asyncio

import pytest
from attrs import define, field

from basilwick.core.caller_budget import CallerBudget
from basilwick.core.errors import Refusal
from basilwick.runtime.fleet.caller_body_reader import (
    BodyRejectedError,
    CallerBodyReader,
)

MB = 1 << 20
MAX_BODY_BYTES = 64 * MB


@define(eq=False)
class FakeContent:
    """Chunks that have been received; if not ended, the next chunk never arrives."""

    chunks: list[bytes]
    ended: bool

    async def readany(self):
        if self.chunks:
            return self.chunks.pop(0)
        if not self.ended:
            await asyncio.Event().wait()
        return b""


@define(eq=False)
class FakeRequest:
    """A request whose body has been received in whole or in part."""

    received: bytes
    content_length: int | None
    ended: bool = True
    method: str = "POST"
    body_exists: bool = True
    headers: dict = field(factory=dict)
    transport: object = None
    content: FakeContent = field(init=False)

    def __attrs_post_init__(self):
        starts = range(0, len(self.received), 65_536)
        chunks = [self.received[start : start + 65_536] for start in starts]
        self.content = FakeContent(chunks, self.ended)


def make_request(size, with_length=True):
    return FakeRequest(b"x" * size, size if with_length else None)


async def test_buffered_bodies_of_all_requests_share_a_limit():
    """Some hundred concurrent uploads exhausted the memory of a small instance."""
    reader = CallerBodyReader()
    bodies = [
        await reader.load(make_request(MB - 1), MAX_BODY_BYTES) for _ in range(100)
    ]
    assert reader.buffered_bytes <= 32 * MB
    assert sum(body.replayable for body in bodies) >= 30
    small = await reader.load(make_request(1_000), MAX_BODY_BYTES)
    assert small.replayable
    for body in (*bodies, small):
        reader.release(body)
    assert reader.buffered_bytes == 0


@pytest.mark.parametrize("stated", [True, False])
async def test_bodies_that_begin_together_share_the_budget(stated):
    """Each of 200 uploads found the same room, and all of them were buffered."""
    reader = CallerBodyReader(budget=CallerBudget(8 * MB))
    requests = [make_request(MB - 1, stated) for _ in range(200)]
    bodies = await asyncio.gather(
        *(reader.load(request, MAX_BODY_BYTES) for request in requests)
    )
    held = sum(len(body.content) for body in bodies if body.replayable)
    assert 2 * MB < held <= 8 * MB
    for body in bodies:
        reader.release(body)
    assert reader.budget.held_bytes == 0


async def test_a_long_body_without_content_length_is_streamed_in_chunks():
    reader = CallerBodyReader()
    body = await reader.load(make_request(2 * MB, with_length=False), MAX_BODY_BYTES)
    assert body.framing == b"Transfer-Encoding: chunked\r\n"
    assert reader.buffered_bytes == 0
    chunks = []
    while chunk := await body.content.read_chunk():
        chunks.append(chunk)
    assert len(b"".join(chunks)) == 2 * MB


@pytest.mark.parametrize("stated", [True, False])
async def test_a_body_above_the_limit_is_not_forwarded_whole(stated):
    reader = CallerBodyReader()
    request = make_request(3 * MB, stated)
    if stated:
        with pytest.raises(BodyRejectedError):
            await reader.load(request, 2 * MB)
        return
    body = await reader.load(request, 2 * MB)
    chunk = b"x"
    while isinstance(chunk, bytes) and chunk:
        chunk = await body.content.read_chunk()
    assert isinstance(chunk, Refusal)


async def test_the_buffer_of_a_stalled_body_is_released():
    reader = CallerBodyReader()
    request = FakeRequest(b"x" * 5_000, 9_000, ended=False)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await reader.load(request, MAX_BODY_BYTES)
    assert reader.buffered_bytes == 0
