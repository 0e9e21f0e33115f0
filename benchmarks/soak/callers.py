"""Callers of a soak, and what they were answered."""

from __future__ import annotations

import asyncio
from itertools import count
from time import monotonic
from typing import TYPE_CHECKING

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from attrs import define, field

from benchmarks.soak.site import HOST, KEYS

if TYPE_CHECKING:
    from random import Random

    from benchmarks.soak.site import Instance, SoakSite

__all__ = ["TIME_LEFT_S", "Call", "SoakCallers"]

#: Time in seconds for which a caller waits.
TIME_LEFT_S = 1.5
#: Share of calls that are idempotent reads of a key.
_READS = 0.6


@define(eq=False)
class Call:
    """A call and its answer.

    Attributes
    ----------
    status : int
        0 if the connection ended without a whole answer.
    """

    request_id: str
    read: bool
    key: int
    instance: str
    began_at: float
    ended_at: float = 0.0
    status: int = 0
    answered_id: str = ""
    signature: str = ""
    body: bytes = b""


@define(eq=False)
class SoakCallers:
    """Send reads and orders at a rate, over connections that stay open."""

    site: SoakSite
    rng: Random
    rate: float
    calls: list[Call] = field(factory=list)
    _numbers: count = field(factory=lambda: count(1))
    _session: ClientSession | None = None
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    async def start(self) -> None:
        """Open the session."""
        self._session = ClientSession(
            connector=TCPConnector(limit=0),
            timeout=ClientTimeout(total=TIME_LEFT_S + 0.5),
        )

    async def close(self) -> None:
        """Wait for the calls under way and close the session."""
        await asyncio.gather(*self._tasks)
        if self._session is not None:
            await self._session.close()

    async def run(self, length_s: float) -> None:
        """Begin calls for some time."""
        end = monotonic() + length_s
        while monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            instance = self.rng.choice(self.site.instances)
            read = self.rng.random() < _READS
            task = asyncio.create_task(
                self._record(instance, read, self.rng.choice(KEYS))
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _record(self, instance: Instance, read: bool, key: int) -> None:
        self.calls.append(await self.call(instance, read, key))

    async def call(self, instance: Instance, read: bool, key: int) -> Call:
        """Send one request and return what came back."""
        call = Call(f"q{next(self._numbers)}", read, key, instance.name, monotonic())
        headers = {
            "Host": HOST,
            "X-Request-Id": call.request_id,
            "X-Request-Deadline-Ms": str(round(TIME_LEFT_S * 1000)),
        }
        if read:
            headers["X-Shard-Key"] = str(key)
        path = f"/read/{key}" if read else f"/order/{key}"
        method, body = ("GET", None) if read else ("POST", b"order")
        try:
            async with self._session.request(
                method, f"http://{instance.caller}{path}", data=body, headers=headers
            ) as answer:
                call.body = await answer.read()
                call.answered_id = answer.headers.get("X-Request-Id", "")
                call.signature = answer.headers.get("X-Response-Signature", "")
                call.status = answer.status
        except (ClientError, OSError, TimeoutError):
            # The status stays 0: no whole answer came, which promises nothing.
            call.status = 0
        call.ended_at = monotonic()
        return call
