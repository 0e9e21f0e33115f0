"""Two designs of limiting the load of a backend server with few slots.

In design (a) each of several instances sends directly and adapts a limit of its own; in
design (c) all requests pass through one gateway, at the cost of one more hop. Both use
`ServerLimiter`; the server is modelled in the same process.
"""

from __future__ import annotations

import asyncio
from random import Random
from time import monotonic
from typing import TYPE_CHECKING, Any

from attrs import define, field
from orjson import OPT_INDENT_2, dumps

from basilwick.core.server_limiter import (
    RequestClass,
    RequestResult,
    ResultKind,
    ServerLimiter,
    Ticket,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_INSTANCES = 12
_SLOTS = 4
_SERVICE_S = 0.005
#: Requests that warm the server; a cold one takes eight times as long, and longer the
#: more requests it runs at once.
_WARMING_REQUESTS = 60
_COLD_FACTOR = 7.0
_SLOWED_FACTOR = 3.0
#: Requests that the server holds beyond its slots before it refuses.
_SERVER_QUEUE = 4
_DEADLINE_S = 0.2
_HOP_S = 0.001
_RUN_S = 4.0


@define(eq=False)
class _Server:
    rng: Random
    served: int = 0
    slowdown: float = 1.0
    in_flight: int = 0
    refused: int = 0
    cold_loads: list[int] = field(factory=list)
    slots: asyncio.Semaphore = field(factory=lambda: asyncio.Semaphore(_SLOTS))

    async def answer(self) -> bool:
        if self.in_flight >= _SLOTS + _SERVER_QUEUE:
            self.refused += 1
            return False
        self.in_flight += 1
        coldness = max(0.0, 1.0 - self.served / _WARMING_REQUESTS)
        if coldness:
            self.cold_loads.append(self.in_flight)
        try:
            async with self.slots:
                factor = self.slowdown * (1 + _COLD_FACTOR * coldness * self.in_flight)
                spread = self.rng.uniform(0.7, 1.3)
                await asyncio.sleep(_SERVICE_S * factor * spread)
                self.served += 1
        finally:
            self.in_flight -= 1
        return True


@define(eq=False)
class _Sender:
    """One limiter in front of the server."""

    server: _Server
    limiter: ServerLimiter = field(factory=lambda: ServerLimiter(_SLOTS))

    async def send(self, deadline: float) -> str:
        ticket = self.limiter.submit(RequestClass.IDEMPOTENT, deadline, monotonic())
        if not isinstance(ticket, Ticket):
            return "refused_by_limit"
        if ticket.started_at is None:
            ticket.waiter = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(max(0.0, deadline - monotonic())):
                    await ticket.waiter
            except TimeoutError:
                self._wake(self.limiter.cancel(ticket, monotonic()))
                return "late"
        started_at = monotonic()
        answered = await self.server.answer()
        now = monotonic()
        kind = ResultKind.SUCCESS if answered else ResultKind.OVERLOADED
        result = RequestResult(kind, now - started_at if answered else None)
        self._wake(self.limiter.finish(ticket, result, now))
        if not answered:
            return "refused_by_server"
        return "answered" if now <= deadline else "late"

    def _wake(self, started: list[Ticket]) -> None:
        for ticket in started:
            if not ticket.waiter.done():
                ticket.waiter.set_result(None)


def main() -> None:
    """Measure both designs in three situations and print JSON."""
    cases = {}
    for situation in ("cold_start", "warm", "slowed"):
        for design in ("a_direct", "c_gateway"):
            cases[f"{situation} {design}"] = asyncio.run(_run(situation, design))
    data = {
        "instances": _INSTANCES,
        "slots": _SLOTS,
        "service_ms": _SERVICE_S * 1000,
        "requests_per_s": _RATE,
        "cases": cases,
    }
    print(dumps(data, option=OPT_INDENT_2).decode())


#: Three quarters of what the slowed server can do.
_RATE = 0.75 * _SLOTS / (_SERVICE_S * _SLOWED_FACTOR)


async def _run(situation: str, design: str) -> dict[str, Any]:
    rng = Random(11)
    server = _Server(rng)
    count = _INSTANCES if design == "a_direct" else 1
    senders = [_Sender(server) for _ in range(count)]
    hop_s = 0.0 if design == "a_direct" else 2 * _HOP_S
    if situation != "cold_start":
        server.served = _WARMING_REQUESTS
        await _offer(senders, hop_s, rng, 3.0)
        server.refused = 0
    if situation == "slowed":
        server.slowdown = _SLOWED_FACTOR
    results = await _offer(senders, hop_s, rng, _RUN_S)
    latencies = sorted(latency for kind, latency in results if kind == "answered")
    kinds = [kind for kind, _ in results]
    loads = server.cold_loads
    return {
        "requests": len(results),
        "answered_share": round(len(latencies) / len(results), 3),
        "p50_ms": _take(latencies, 0.5),
        "p99_ms": _take(latencies, 0.99),
        "refused_by_server": kinds.count("refused_by_server"),
        "refused_by_limit": kinds.count("refused_by_limit"),
        "late": kinds.count("late"),
        "cold_load_mean": round(sum(loads) / len(loads), 2) if loads else None,
        "cold_load_max": max(loads, default=None),
    }


async def _offer(
    senders: list[_Sender], hop_s: float, rng: Random, seconds: float
) -> list[tuple[str, float]]:
    results: list[tuple[str, float]] = []

    async def _send(send: Callable[[float], Any]) -> None:
        began = monotonic()
        await asyncio.sleep(hop_s / 2)
        kind = await send(began + _DEADLINE_S)
        await asyncio.sleep(hop_s / 2)
        results.append((kind, monotonic() - began))

    end = monotonic() + seconds
    at = monotonic()
    tasks = []
    while (at := at + rng.expovariate(_RATE)) < end:
        await asyncio.sleep(max(0.0, at - monotonic()))
        tasks.append(asyncio.create_task(_send(rng.choice(senders).send)))
    await asyncio.gather(*tasks)
    return results


def _take(latencies: list[float], fraction: float) -> float | None:
    if not latencies:
        return None
    return round(latencies[int(fraction * (len(latencies) - 1))] * 1000, 1)


if __name__ == "__main__":
    main()
