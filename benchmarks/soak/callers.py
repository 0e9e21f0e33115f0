"""Callers of a soak, and a record of their calls."""

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

#: Deadline of a call in seconds, which callers send with it.
TIME_LEFT_S = 1.5
#: Fraction of calls that are idempotent reads of a key.
_READ_FRACTION = 0.6
#: Fraction of calls whose caller leaves before the answer, and the longest time in
#: seconds for which it waits: about twice the service time of the soak's servers.
_LEAVING_FRACTION = 0.1
_MAX_LEAVING_S = 0.06


@define(eq=False)
class Call:
    """A call and its response.

    Attributes
    ----------
    status : int
        HTTP status, 0 if the connection ended before a complete response.
    left : bool
        Whether the caller closed the connection before a complete response.
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
    left: bool = False


@define(eq=False)
class SoakCallers:
    """Sends reads and orders at a rate, over persistent connections.

    Parameters
    ----------
    leaving_rng : random.Random
        Source of the choices which callers leave and when, apart from those of `rng`,
        so that the calls of a seed stay the same.
    """

    site: SoakSite
    rng: Random
    leaving_rng: Random
    rate: float
    calls: list[Call] = field(factory=list)
    _request_numbers: count = field(factory=lambda: count(1))
    _session: ClientSession | None = None
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = ClientSession(
            connector=TCPConnector(limit=0),
            timeout=ClientTimeout(total=TIME_LEFT_S + 0.5),
        )

    async def close(self) -> None:
        """Wait for pending calls and close the session."""
        await asyncio.gather(*self._tasks)
        if self._session is not None:
            await self._session.close()

    async def run(self, length_s: float) -> None:
        """Start calls at random intervals for a duration."""
        end = monotonic() + length_s
        while monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            instance = self.rng.choice(self.site.instances)
            read = self.rng.random() < _READ_FRACTION
            task = asyncio.create_task(
                self._record(
                    instance, read, self.rng.choice(KEYS), self._draw_patience()
                )
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _draw_patience(self) -> float | None:
        """Return the seconds after which a caller leaves, None if it stays."""
        if self.leaving_rng.random() >= _LEAVING_FRACTION:
            return None
        return self.leaving_rng.uniform(0.0, _MAX_LEAVING_S)

    async def _record(
        self, instance: Instance, read: bool, key: int, patience_s: float | None
    ) -> None:
        self.calls.append(await self.call(instance, read, key, patience_s))

    async def call(
        self,
        instance: Instance,
        read: bool,
        key: int,
        patience_s: float | None = None,
    ) -> Call:
        """Send one request and return the call with its response.

        Parameters
        ----------
        patience_s : float or None
            Seconds after which the caller closes the connection; None if it waits for
            the response until its timeout.
        """
        call = Call(
            f"q{next(self._request_numbers)}", read, key, instance.name, monotonic()
        )
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
            async with asyncio.timeout(patience_s) as patience:
                async with self._session.request(
                    method,
                    f"http://{instance.caller}{path}",
                    data=body,
                    headers=headers,
                ) as response:
                    call.body = await response.read()
                    call.answered_id = response.headers.get("X-Request-Id", "")
                    call.signature = response.headers.get("X-Response-Signature", "")
                    call.status = response.status
        except (ClientError, OSError, TimeoutError):
            # Status 0: without a complete response the request may or may not have run.
            call.status = 0
            call.left = patience.expired()
        call.ended_at = monotonic()
        return call
