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

#: Maximum number of requests that wait for one server.
MAX_QUEUED_REQUESTS = 64
#: Successes at normal latency after which a cold server gets one more slot.
_SUCCESSES_PER_STEP = 20
#: Multiple of the reference latency above which a latency counts as slow.
_SLOW_FACTOR = 2.0
#: Multiple of the reference latency above which the recent median means that the server
#: has become cold. Between the two factors the server is merely slow and keeps more
#: than one slot.
_COLD_FACTOR = 4.0
#: Factor by which the limit is decreased for a slow or overloaded server.
_DECREASE_FACTOR = 0.7
#: Number of recent results by which slowness and refusals are judged, so that a single
#: tail latency changes nothing.
_RECENT_RESULTS = 8
#: Number of refusals among the recent results that shows that the server has become
#: cold.
_COLD_REFUSALS = 3
#: Weight of a new sample in the moving averages of slot time.
_SLOT_TIME_SMOOTHING = 0.1
#: Ratio of the latencies after and before a decrease above which the decrease did not
#: help: the server is slow for a reason other than its load, and fewer slots would only
#: cost throughput.
_IMPROVED_LATENCY_RATIO = 0.85
#: Multiple of a latency accepted as unavoidable above which a server is slow again.
_ACCEPTED_LATENCY_FACTOR = 1.5
#: Slow successes at one limit after which a server whose latency does not improve
#: counts as slow rather than cold; a cold server would have warmed up by then.
_SLOW_SUCCESSES_PER_STEP = 3 * _SUCCESSES_PER_STEP


class RequestClass(IntEnum):
    """Queue class of a request."""

    IDEMPOTENT = 0
    AT_MOST_ONCE = 1
    UPLOAD = 2


#: Weights by which the request classes share slot time. Uploads occupy a slot for long
#: and have distant deadlines.
_CLASS_WEIGHTS = (4.0, 4.0, 2.0)


class ResultKind(Enum):
    """What a finished request tells about the state of its server."""

    SUCCESS = "success"
    #: The server refused the request because it is overloaded.
    OVERLOADED = "overloaded"
    #: The server refused the request because it cannot serve yet.
    COLD = "cold"
    #: The request was abandoned; it counts only if its wait is already slow.
    NEUTRAL = "neutral"


@frozen
class RequestResult:
    """Result of a request, from which the limiter adapts the limit.

    Attributes
    ----------
    kind : ResultKind
        How the request ended.
    latency_s : float or None
        Seconds between the last byte sent and the head of the response; for an
        abandoned request, the seconds waited.
    """

    kind: ResultKind
    latency_s: float | None = None


@define(eq=False)
class Ticket:
    """A request that waits in the queue or occupies a slot.

    Attributes
    ----------
    request_class : RequestClass
        Queue class.
    deadline : float
        Local time after which a response is useless.
    submitted_at : float
        Local time of arrival.
    started_at : float or None
        Local time at which the slot was assigned, None while queued.
    waiter : object
        Reserved for the user of the limiter, who waits on it for the slot.
    """

    request_class: RequestClass
    deadline: MonotonicSeconds
    submitted_at: MonotonicSeconds
    started_at: MonotonicSeconds | None = None
    waiter: Any = None


def _get_deadline(ticket: Ticket) -> float:
    return ticket.deadline


class ServerLimiter:
    """Limits the concurrent requests to one server and queues the others.

    The limit starts at 1 and ramps up, because a gateway that has just taken over
    cannot know whether the server is warm.

    Parameters
    ----------
    slots : int
        Requests that the server can run concurrently, according to its record.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.limit = 1.0
        self.cold = slots > 1
        self.running = 0
        #: Median of the latencies of the service's other servers, None if unknown.
        self.peer_median_latency_s: float | None = None
        self.latencies = LatencyWindow()
        self._incarnation: str | None = None
        self._queues: tuple[list[Ticket], ...] = ([], [], [])
        #: Moving average of the slot time of each request class, 0 if unknown.
        self._slot_times_s = [0.0, 0.0, 0.0]
        self._deficits = [0.0, 0.0, 0.0]
        self._queue_index = 0
        self._quantum_added = False
        self._step_successes = 0
        self._slow_successes = 0
        self._initial_slow_latency_s = 0.0
        #: Limit and median latency before the last decrease, until its effect is known.
        self._pending_decrease: tuple[float, float] | None = None
        #: Slow median latency accepted as unavoidable, 0 if there is none.
        self._accepted_latency_s = 0.0
        self._recent_latencies: deque[float] = deque(maxlen=_RECENT_RESULTS)
        self._recent_refusals: deque[bool] = deque(maxlen=_RECENT_RESULTS)
        self._baseline_s: float | None = None
        self._decreased_at = float("-inf")

    @property
    def queued(self) -> int:
        """Number of requests in the queue."""
        return sum(map(len, self._queues))

    @property
    def reference_latency_s(self) -> float | None:
        """Latency that counts as normal: the peers' median, else the own baseline."""
        return (
            self._baseline_s
            if self.peer_median_latency_s is None
            else self.peer_median_latency_s
        )

    def set_slots(self, slots: int, now: MonotonicSeconds) -> list[Ticket]:
        """Apply a changed number of slots; returns the tickets that may start."""
        self.slots = slots
        self.limit = min(self.limit, float(slots))
        return self._start_queued(now)

    def submit(
        self,
        request_class: RequestClass,
        deadline: MonotonicSeconds,
        now: MonotonicSeconds,
    ) -> Ticket | Refusal:
        """Assign a slot to a request, queue it or refuse it.

        Returns
        -------
        Ticket or Refusal
            A ticket with ``started_at`` set may be sent immediately.
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
        """Take another slot for a hedged attempt unless requests wait for it."""
        if self.running >= int(self.limit) or any(self._queues):
            return False
        self.running += 1
        return True

    def release_hedge_slot(self, now: MonotonicSeconds) -> list[Ticket]:
        """Release the slot of a hedged attempt; returns the tickets that may start."""
        self.running -= 1
        return self._start_queued(now)

    def cancel(self, ticket: Ticket, now: MonotonicSeconds) -> list[Ticket]:
        """Remove an abandoned request; returns the tickets that may start."""
        if ticket.started_at is None:
            queue = self._queues[ticket.request_class]
            if ticket in queue:
                queue.remove(ticket)
            return []
        return self.finish(ticket, RequestResult(ResultKind.NEUTRAL), now)

    def finish(
        self, ticket: Ticket, result: RequestResult, now: MonotonicSeconds
    ) -> list[Ticket]:
        """Release a slot and adapt the limit; returns the tickets that may start."""
        self.running -= 1
        if ticket.started_at is not None and result.kind is ResultKind.SUCCESS:
            slot_time_s = now - ticket.started_at
            mean_s = self._slot_times_s[ticket.request_class]
            self._slot_times_s[ticket.request_class] = (
                mean_s + _SLOT_TIME_SMOOTHING * (slot_time_s - mean_s)
                if mean_s
                else slot_time_s
            )
        self._update_from_result(result, now)
        return self._start_queued(now)

    def observe_incarnation(self, incarnation: str) -> None:
        """Restart the warm-up if the server runs as another process than before."""
        if self._incarnation not in (None, incarnation):
            self._baseline_s = None
            self.restart_warm_up()
        self._incarnation = incarnation

    def observe_load(self, temperature: str) -> None:
        """Apply a load report; only "cold" counts, because "warm" is not reliable."""
        if temperature == "cold" and not self.cold:
            self.restart_warm_up()

    def restart_warm_up(self) -> None:
        """Reset the limit to one slot, from which it ramps up again."""
        self.cold = self.slots > 1
        self.limit = 1.0
        self._step_successes = self._slow_successes = 0
        self._pending_decrease = None
        self._accepted_latency_s = 0.0
        self._recent_latencies.clear()
        self._recent_refusals.clear()

    def _estimate_wait(
        self, request_class: RequestClass, deadline: MonotonicSeconds
    ) -> float:
        ahead_s = 0.0
        own = self._queues[request_class]
        before = sum(ticket.deadline <= deadline for ticket in own)
        for index, queue in enumerate(self._queues):
            # Before this request, another class gets at most its share of the turns.
            share = _CLASS_WEIGHTS[index] / _CLASS_WEIGHTS[request_class] * (before + 1)
            count = before if queue is own else min(len(queue), share)
            ahead_s += count * (self._slot_times_s[index] or self._get_mean_slot_time())
        # On average, half of the slot time of the running requests is still to come.
        remaining_s = 0.5 * self._get_mean_slot_time()
        return ahead_s / max(1, int(self.limit)) + remaining_s

    def _get_mean_slot_time(self) -> float:
        known = [slot_time_s for slot_time_s in self._slot_times_s if slot_time_s]
        return sum(known) / len(known) if known else 0.0

    def _start(self, ticket: Ticket, now: MonotonicSeconds) -> None:
        ticket.started_at = now
        self.running += 1

    def _start_queued(self, now: MonotonicSeconds) -> list[Ticket]:
        started = []
        while self.running < int(self.limit) and any(self._queues):
            ticket = self._pop_next()
            self._start(ticket, now)
            started.append(ticket)
        return started

    def _pop_next(self) -> Ticket:
        # Deficit round robin (Shreedhar and Varghese, 1996) over slot time. The quantum
        # of a visit covers the slot time of any class, so each visit yields a request.
        max_slot_time_s = max(self._slot_times_s) or 1.0
        while True:
            queue = self._queues[self._queue_index]
            if queue:
                if not self._quantum_added:
                    self._quantum_added = True
                    self._deficits[self._queue_index] += (
                        max_slot_time_s * _CLASS_WEIGHTS[self._queue_index]
                    )
                cost = self._slot_times_s[self._queue_index] or max_slot_time_s
                if self._deficits[self._queue_index] >= cost:
                    self._deficits[self._queue_index] -= cost
                    return queue.pop(0)
            else:
                self._deficits[self._queue_index] = 0.0
            self._queue_index = (self._queue_index + 1) % len(self._queues)
            self._quantum_added = False

    def _update_from_result(self, result: RequestResult, now: MonotonicSeconds) -> None:
        kind = result.kind
        if kind is ResultKind.NEUTRAL:
            slow_s = _SLOW_FACTOR * (self.reference_latency_s or float("inf"))
            if result.latency_s is not None and result.latency_s > slow_s:
                self._update_from_latency(result.latency_s, now)
            return
        self._recent_refusals.append(kind is not ResultKind.SUCCESS)
        if kind is ResultKind.COLD or (
            kind is ResultKind.OVERLOADED
            and sum(self._recent_refusals) >= _COLD_REFUSALS
        ):
            self.restart_warm_up()
        elif kind is ResultKind.OVERLOADED:
            self._decrease_limit(now)
        elif result.latency_s is not None:
            self._update_from_latency(result.latency_s, now)

    def _update_from_latency(self, latency_s: float, now: MonotonicSeconds) -> None:
        self.latencies.record(latency_s)
        reference_latency_s = self.reference_latency_s
        if reference_latency_s is None:
            self._baseline_s = reference_latency_s = latency_s
        self._recent_latencies.append(latency_s)
        median_s = median_low(self._recent_latencies)
        has_full_window = len(self._recent_latencies) == _RECENT_RESULTS
        slow_s = _SLOW_FACTOR * reference_latency_s
        if self.cold:
            self._baseline_s = min(self._baseline_s or latency_s, latency_s)
            if latency_s <= slow_s:
                self._count_step_success()
            elif has_full_window:
                self._count_slow_success(median_s)
        elif has_full_window and median_s > _COLD_FACTOR * max(
            reference_latency_s, self._accepted_latency_s
        ):
            self.restart_warm_up()
        elif has_full_window and median_s > max(
            slow_s, _ACCEPTED_LATENCY_FACTOR * self._accepted_latency_s
        ):
            self._adapt_to_slow_latency(median_s, now)
        elif has_full_window or self._pending_decrease is None:
            self.limit = min(float(self.slots), self.limit + 1.0 / self.limit)
            baseline_s = self._baseline_s or latency_s
            # The baseline follows lasting changes slowly, so that a server that becomes
            # cold is compared with its latency before.
            self._baseline_s = baseline_s + 0.005 * (median_s - baseline_s)
            if median_s <= slow_s:
                self._pending_decrease = None
                self._accepted_latency_s = 0.0

    def _count_slow_success(self, median_s: float) -> None:
        if (
            not self._slow_successes
            or median_s < _IMPROVED_LATENCY_RATIO * self._initial_slow_latency_s
        ):
            # The server is still warming up: restart the count.
            self._slow_successes = 0
            self._initial_slow_latency_s = median_s
        self._slow_successes += 1
        if self._slow_successes >= _SLOW_SUCCESSES_PER_STEP:
            self._step_successes = _SUCCESSES_PER_STEP
            self._count_step_success()
            self._accepted_latency_s = median_s

    def _adapt_to_slow_latency(self, median_s: float, now: MonotonicSeconds) -> None:
        if (
            self._pending_decrease is not None
            and median_s > _IMPROVED_LATENCY_RATIO * self._pending_decrease[1]
        ):
            self.limit = self._pending_decrease[0]
            self._accepted_latency_s = median_s
            self._pending_decrease = None
            return
        self._pending_decrease = self.limit, median_s
        self._decrease_limit(now)
        # The effect is judged by responses at the lower limit only.
        self._recent_latencies.clear()

    def _count_step_success(self) -> None:
        self._step_successes += 1
        if self._step_successes < _SUCCESSES_PER_STEP:
            return
        self._step_successes = self._slow_successes = 0
        self.limit = min(float(self.slots), self.limit + 1.0)
        self.cold = self.limit < self.slots

    def _decrease_limit(self, now: MonotonicSeconds) -> None:
        # Decrease once per round trip: the responses that arrive right after a decrease
        # belong to requests that were sent before it.
        if now - self._decreased_at < (self.latencies.quantile(0.5) or 0.0):
            return
        self._decreased_at = now
        self.limit = max(1.0, self.limit * _DECREASE_FACTOR)
