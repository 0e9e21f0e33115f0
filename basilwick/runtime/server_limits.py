"""Limiters of the servers that this instance is the gateway of."""

from __future__ import annotations

import asyncio
from statistics import median
from typing import TYPE_CHECKING

from attrs import define

from basilwick.core.server_limiter import RequestResult, ServerLimiter, Ticket
from basilwick.transport.exchange import REQUEST_CLASSES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from basilwick.core.errors import Refusal
    from basilwick.core.records import ServerRecord
    from basilwick.core.retries import RetryPolicy
    from basilwick.core.types import MonotonicSeconds
    from basilwick.metrics import Metrics
    from basilwick.transport.exchange import Request

__all__ = ["HedgeSlot", "ServerLimits"]

#: Time in seconds after which the limiter of a server served elsewhere is dropped.
_FORGET_AFTER_S = 30.0


@define(eq=False)
class _Entry:
    limiter: ServerLimiter
    record: ServerRecord
    used_at: MonotonicSeconds


@define(eq=False)
class HedgeSlot:
    """Slot of a second attempt, taken only when no request waits for it."""

    limits: ServerLimits
    record: ServerRecord
    ticket: Ticket
    policy: RetryPolicy
    metrics: Metrics

    def try_open(self) -> bool:
        """Take the slot and the budget of a second attempt."""
        limiter = self.limits.get(self.record)
        if not limiter.try_acquire_hedge_slot(self.ticket):
            return False
        if not self.policy.hedges.try_spend():
            self._release("budget_spent")
            return False
        return True

    def close(self, won: bool) -> None:
        """Give the slot back; ``won`` tells whether the second attempt answered."""
        self._release("won" if won else "lost")

    def _release(self, result: str) -> None:
        self.metrics.hedges.labels(self.record.service, result).inc()
        limiter = self.limits.get(self.record)
        self.limits.wake(limiter.release_hedge_slot(self.limits.clock()))


class ServerLimits:
    """Limiters by server name, with their queues as awaitable calls.

    Parameters
    ----------
    clock : callable
        Local monotonic clock in seconds.
    metrics : Metrics
        Gets limits and queue lengths.
    """

    def __init__(self, clock: Callable[[], MonotonicSeconds], metrics: Metrics):
        self.clock = clock
        self._metrics = metrics
        self._entries: dict[str, _Entry] = {}
        self._reported: set[str] = set()

    def get(self, record: ServerRecord) -> ServerLimiter:
        """Return the limiter of a server, with the slots of its present record."""
        entry = self._entries.get(record.name)
        if entry is None:
            entry = _Entry(ServerLimiter(record.slots), record, self.clock())
            self._entries[record.name] = entry
        elif entry.record is not record:
            entry.record = record
            self.wake(entry.limiter.set_slots(record.slots, self.clock()))
        return entry.limiter

    def find(self, name: str) -> ServerLimiter | None:
        """Return the limiter of a server if it has one."""
        entry = self._entries.get(name)
        return None if entry is None else entry.limiter

    async def acquire(self, record: ServerRecord, request: Request) -> Ticket | Refusal:
        """Wait for a slot; returns a refusal when the queue cannot take the request."""
        limiter = self.get(record)
        ticket = limiter.submit(
            REQUEST_CLASSES[request.operation], request.deadline, self.clock()
        )
        if not isinstance(ticket, Ticket) or ticket.started_at is not None:
            return ticket
        ticket.waiter = asyncio.get_running_loop().create_future()
        try:
            await ticket.waiter
        except asyncio.CancelledError:
            self.wake(limiter.cancel(ticket, self.clock()))
            raise
        return ticket

    def finish(
        self, record: ServerRecord, ticket: Ticket, result: RequestResult
    ) -> None:
        """Free the slot of a ticket and start the requests that can run."""
        entry = self._entries[record.name]
        entry.used_at = now = self.clock()
        self.wake(entry.limiter.finish(ticket, result, now))

    def observe_incarnation(self, name: str, incarnation: str) -> None:
        """Pass on the incarnation that a server reported."""
        limiter = self.find(name)
        if limiter is not None:
            limiter.observe_incarnation(incarnation)

    def observe_load(self, name: str, temperature: str) -> None:
        """Pass on a load report."""
        limiter = self.find(name)
        if limiter is not None:
            limiter.observe_load(temperature)

    def refresh(self, served: Iterable[str]) -> list[str]:
        """Update the peers' medians; returns the servers that were dropped."""
        now = self.clock()
        served = set(served)
        dropped = [
            name
            for name, entry in self._entries.items()
            if name not in served
            and not entry.limiter.running
            and not entry.limiter.queued
            and now - entry.used_at > _FORGET_AFTER_S
        ]
        for name in dropped:
            del self._entries[name]
        self._metrics.remove_servers(set(dropped) & self._reported)
        self._reported -= set(dropped)
        medians: dict[str, dict[str, float]] = {}
        for name, entry in self._entries.items():
            value = entry.limiter.latencies.quantile(0.5)
            if value is not None:
                medians.setdefault(entry.record.service, {})[name] = value
        for name, entry in self._entries.items():
            service = entry.record.service
            peers = medians.get(service, {})
            others = [value for peer, value in peers.items() if peer != name]
            entry.limiter.peer_median_latency_s = median(others) if others else None
            self._metrics.server_limit.labels(name).set(entry.limiter.limit)
            self._metrics.server_in_flight.labels(name).set(entry.limiter.running)
            self._metrics.server_queue.labels(name).set(entry.limiter.queued)
            self._reported.add(name)
        return dropped

    def wake(self, started: list[Ticket]) -> None:
        """Let the requests go on whose tickets got a slot."""
        for ticket in started:
            if not ticket.waiter.done():
                ticket.waiter.set_result(None)
