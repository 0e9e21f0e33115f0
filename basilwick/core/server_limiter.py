"""Concurrency limit and queue of one backend server."""

from __future__ import annotations

from bisect import insort
from collections import deque
from enum import Enum, IntEnum
from statistics import median_low
from typing import TYPE_CHECKING, Any

from attrs import define, frozen

from basilwick.core.errors import ErrorKind, make_refusal
from basilwick.core.latency import LatencyWindow

if TYPE_CHECKING:
    from basilwick.core.errors import Refusal
    from basilwick.core.types import MonotonicSeconds

__all__ = ["RequestClass", "RequestResult", "ResultKind", "ServerLimiter", "Ticket"]

#: Requests that may wait for one server.
MAX_QUEUED_REQUESTS = 64
#: Successes at normal latency after which a cold server gets one more slot.
_SUCCESSES_PER_STEP = 20
#: Latency above this multiple of the reference counts as slow.
_SLOW_FACTOR = 2.0
#: A recent median above this multiple of the reference means that the server turned
#: cold; a merely slow server, between the two factors, keeps more than one slot.
_COLD_FACTOR = 4.0
_DECREASE = 0.7
#: Results over which slowness and refusals are judged, so that one tail latency
#: changes nothing.
_RECENT = 8
#: Refusals among the recent results that mean that the server turned cold.
_COLD_REFUSALS = 3
_SMOOTHING = 0.1
#: A decrease that leaves more than this share of the latency did not help: the server
#: is slow for a reason other than its load, and fewer slots only cost throughput.
_HELPED_SHARE = 0.85
#: Growth over a latency accepted as unavoidable that counts as slow again.
_ACCEPTED_FACTOR = 1.5
#: Slow successes at one limit after which a server whose latency does not improve
#: counts as slowed, not cold; a cold one would have warmed.
_SLOW_SUCCESSES_PER_STEP = 3 * _SUCCESSES_PER_STEP


class RequestClass(IntEnum):
    """Queue class of a request."""

    IDEMPOTENT = 0
    AT_MOST_ONCE = 1
    UPLOAD = 2


#: Shares of slot time. Uploads hold a slot long and have distant deadlines.
_WEIGHTS = (4.0, 4.0, 2.0)


class ResultKind(Enum):
    """What a finished request says about its server."""

    SUCCESS = "success"
    #: Refused as overloaded.
    OVERLOADED = "overloaded"
    #: Refused as unable to serve yet.
    COLD = "cold"
    #: Given up; only a wait that is already slow says something.
    NEUTRAL = "neutral"


@frozen
class RequestResult:
    """Outcome of a request for the limiter.

    Attributes
    ----------
    kind : ResultKind
        What happened.
    latency_s : float or None
        Seconds between the last byte sent and the head of the answer; for a request
        given up, the seconds waited.
    """

    kind: ResultKind
    latency_s: float | None = None


@define(eq=False)
class Ticket:
    """Place of a request in the queue, then in a slot.

    Attributes
    ----------
    request_class : RequestClass
        Queue class.
    deadline : float
        Local time after which the request is of no use.
    submitted_at : float
        Local time of arrival.
    started_at : float or None
        Local time at which the slot was given, None while queued.
    waiter : object
        For use by the caller.
    """

    request_class: RequestClass
    deadline: MonotonicSeconds
    submitted_at: MonotonicSeconds
    started_at: MonotonicSeconds | None = None
    waiter: Any = None


def _get_deadline(ticket: Ticket) -> float:
    return ticket.deadline


class ServerLimiter:
    """Decides which requests a server gets, and when.

    The limit starts at 1 and ramps up, because a gateway that has just taken over
    cannot know whether the server is warm.

    Parameters
    ----------
    slots : int
        Requests that the server runs at once, by its record.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.limit = 1.0
        self.cold = slots > 1
        self.running = 0
        #: Median latency of the other servers of the service, in seconds.
        self.peer_median_latency_s: float | None = None
        self.latencies = LatencyWindow()
        self._incarnation: str | None = None
        self._queues: tuple[list[Ticket], ...] = ([], [], [])
        self._costs = [0.0, 0.0, 0.0]
        self._deficits = [0.0, 0.0, 0.0]
        self._turn = 0
        self._visited = False
        self._step_successes = 0
        self._slow_successes = 0
        self._first_slow_s = 0.0
        #: Limit and latency before the last decrease, until its effect is known.
        self._trial: tuple[float, float] | None = None
        self._accepted_s = 0.0
        self._recent: deque[float] = deque(maxlen=_RECENT)
        self._recent_refusals: deque[bool] = deque(maxlen=_RECENT)
        self._baseline_s: float | None = None
        self._decreased_at = float("-inf")

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return sum(map(len, self._queues))

    @property
    def reference_latency_s(self) -> float | None:
        """Latency that counts as normal: the peers' median, else the own one."""
        return (
            self._baseline_s
            if self.peer_median_latency_s is None
            else self.peer_median_latency_s
        )

    def set_slots(self, slots: int, now: MonotonicSeconds) -> list[Ticket]:
        """Apply a changed record; returns the tickets that may start."""
        self.slots = slots
        self.limit = min(self.limit, float(slots))
        return self._start_queued(now)

    def submit(
        self,
        request_class: RequestClass,
        deadline: MonotonicSeconds,
        now: MonotonicSeconds,
    ) -> Ticket | Refusal:
        """Give a request a slot or a place in the queue, or refuse it.

        Returns
        -------
        Ticket or Refusal
            A ticket with ``started_at`` set may be sent at once.
        """
        ticket = Ticket(request_class, deadline, now)
        if self.running < int(self.limit) and not any(self._queues):
            self._start(ticket, now)
            return ticket
        wait_s = self._estimate_wait(request_class, deadline)
        if self.queued >= MAX_QUEUED_REQUESTS:
            return make_refusal(
                ErrorKind.OVERLOADED,
                f"{MAX_QUEUED_REQUESTS} requests wait for the server",
                retry_after_s=max(wait_s, 0.01),
            )
        if now + wait_s > deadline:
            return make_refusal(
                ErrorKind.OVERLOADED,
                f"the wait of about {wait_s * 1000:.0f} ms passes the deadline",
                retry_after_s=wait_s,
            )
        insort(self._queues[request_class], ticket, key=_get_deadline)
        return ticket

    def try_acquire_hedge_slot(self, ticket: Ticket) -> bool:
        """Take one more slot for a hedged attempt when no request waits for it."""
        if self.running >= int(self.limit) or any(self._queues):
            return False
        self.running += 1
        return True

    def release_hedge_slot(self, now: MonotonicSeconds) -> list[Ticket]:
        """Give back the slot of a hedged attempt; returns the tickets that start."""
        self.running -= 1
        return self._start_queued(now)

    def cancel(self, ticket: Ticket, now: MonotonicSeconds) -> list[Ticket]:
        """Remove a request that was given up; returns the tickets that may start."""
        if ticket.started_at is None:
            queue = self._queues[ticket.request_class]
            if ticket in queue:
                queue.remove(ticket)
            return []
        return self.finish(ticket, RequestResult(ResultKind.NEUTRAL), now)

    def finish(
        self, ticket: Ticket, result: RequestResult, now: MonotonicSeconds
    ) -> list[Ticket]:
        """Free a slot and learn from the result; returns the tickets that may start."""
        self.running -= 1
        if ticket.started_at is not None and result.kind is ResultKind.SUCCESS:
            held_s = now - ticket.started_at
            cost = self._costs[ticket.request_class]
            self._costs[ticket.request_class] = (
                cost + _SMOOTHING * (held_s - cost) if cost else held_s
            )
        self._learn(result, now)
        return self._start_queued(now)

    def observe_incarnation(self, incarnation: str) -> None:
        """Start cold again when the server's process is another one."""
        if self._incarnation not in (None, incarnation):
            self._baseline_s = None
            self.restart_warm_up()
        self._incarnation = incarnation

    def observe_load(self, temperature: str) -> None:
        """Apply a load report. Only "cold" is believed: reports of warmth mislead."""
        if temperature == "cold" and not self.cold:
            self.restart_warm_up()

    def restart_warm_up(self) -> None:
        """Return to one slot and ramp up again."""
        self.cold = self.slots > 1
        self.limit = 1.0
        self._step_successes = self._slow_successes = 0
        self._trial = None
        self._accepted_s = 0.0
        self._recent.clear()
        self._recent_refusals.clear()

    def _estimate_wait(
        self, request_class: RequestClass, deadline: MonotonicSeconds
    ) -> float:
        ahead_s = 0.0
        own = self._queues[request_class]
        before = sum(ticket.deadline <= deadline for ticket in own)
        for index, queue in enumerate(self._queues):
            # Another class gets at most its share of turns before this request's.
            share = _WEIGHTS[index] / _WEIGHTS[request_class] * (before + 1)
            count = before if queue is own else min(len(queue), share)
            ahead_s += count * (self._costs[index] or self._mean_cost())
        # Half of the service time of the running requests remains on average.
        remaining_s = 0.5 * self._mean_cost()
        return ahead_s / max(1, int(self.limit)) + remaining_s

    def _mean_cost(self) -> float:
        known = [cost for cost in self._costs if cost]
        return sum(known) / len(known) if known else 0.0

    def _start(self, ticket: Ticket, now: MonotonicSeconds) -> None:
        ticket.started_at = now
        self.running += 1

    def _start_queued(self, now: MonotonicSeconds) -> list[Ticket]:
        started = []
        while self.running < int(self.limit) and any(self._queues):
            ticket = self._take_next()
            self._start(ticket, now)
            started.append(ticket)
        return started

    def _take_next(self) -> Ticket:
        # Deficit round robin (Shreedhar and Varghese, 1996) over slot time. The
        # quantum of a visit covers the dearest class, so each visit yields a request.
        dearest = max(self._costs) or 1.0
        while True:
            queue = self._queues[self._turn]
            if queue:
                if not self._visited:
                    self._visited = True
                    self._deficits[self._turn] += dearest * _WEIGHTS[self._turn]
                cost = self._costs[self._turn] or dearest
                if self._deficits[self._turn] >= cost:
                    self._deficits[self._turn] -= cost
                    return queue.pop(0)
            else:
                self._deficits[self._turn] = 0.0
            self._turn = (self._turn + 1) % len(self._queues)
            self._visited = False

    def _learn(self, result: RequestResult, now: MonotonicSeconds) -> None:
        kind = result.kind
        if kind is ResultKind.NEUTRAL:
            slow_s = _SLOW_FACTOR * (self.reference_latency_s or float("inf"))
            if result.latency_s is not None and result.latency_s > slow_s:
                self._learn_latency(result.latency_s, now)
            return
        self._recent_refusals.append(kind is not ResultKind.SUCCESS)
        if kind is ResultKind.COLD or (
            kind is ResultKind.OVERLOADED
            and sum(self._recent_refusals) >= _COLD_REFUSALS
        ):
            self.restart_warm_up()
        elif kind is ResultKind.OVERLOADED:
            self._decrease(now)
        elif result.latency_s is not None:
            self._learn_latency(result.latency_s, now)

    def _learn_latency(self, latency_s: float, now: MonotonicSeconds) -> None:
        self.latencies.record(latency_s)
        reference_latency_s = self.reference_latency_s
        if reference_latency_s is None:
            self._baseline_s = reference_latency_s = latency_s
        self._recent.append(latency_s)
        recent_s = median_low(self._recent)
        enough = len(self._recent) == _RECENT
        slow_s = _SLOW_FACTOR * reference_latency_s
        if self.cold:
            self._baseline_s = min(self._baseline_s or latency_s, latency_s)
            if latency_s <= slow_s:
                self._climb()
            elif enough:
                self._count_slow(recent_s)
        elif enough and recent_s > _COLD_FACTOR * max(
            reference_latency_s, self._accepted_s
        ):
            self.restart_warm_up()
        elif enough and recent_s > max(slow_s, _ACCEPTED_FACTOR * self._accepted_s):
            self._slow_down(recent_s, now)
        elif enough or self._trial is None:
            self.limit = min(float(self.slots), self.limit + 1.0 / self.limit)
            baseline_s = self._baseline_s or latency_s
            # Follows lasting changes slowly, so that a server that turns cold is
            # compared with what it did before.
            self._baseline_s = baseline_s + 0.005 * (recent_s - baseline_s)
            if recent_s <= slow_s:
                self._trial = None
                self._accepted_s = 0.0

    def _count_slow(self, recent_s: float) -> None:
        if not self._slow_successes or recent_s < _HELPED_SHARE * self._first_slow_s:
            # It is still warming: the count starts again.
            self._slow_successes = 0
            self._first_slow_s = recent_s
        self._slow_successes += 1
        if self._slow_successes >= _SLOW_SUCCESSES_PER_STEP:
            self._step_successes = _SUCCESSES_PER_STEP
            self._climb()
            self._accepted_s = recent_s

    def _slow_down(self, recent_s: float, now: MonotonicSeconds) -> None:
        if self._trial is not None and recent_s > _HELPED_SHARE * self._trial[1]:
            self.limit = self._trial[0]
            self._accepted_s = recent_s
            self._trial = None
            return
        self._trial = self.limit, recent_s
        self._decrease(now)
        # The next judgement rests on answers given at the lower limit only.
        self._recent.clear()

    def _climb(self) -> None:
        self._step_successes += 1
        if self._step_successes < _SUCCESSES_PER_STEP:
            return
        self._step_successes = self._slow_successes = 0
        self.limit = min(float(self.slots), self.limit + 1.0)
        self.cold = self.limit < self.slots

    def _decrease(self, now: MonotonicSeconds) -> None:
        # One decrease per round of answers: the answers that follow at once belong
        # to requests that were sent before it.
        if now - self._decreased_at < (self.latencies.quantile(0.5) or 0.0):
            return
        self._decreased_at = now
        self.limit = max(1.0, self.limit * _DECREASE)
