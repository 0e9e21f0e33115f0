"""Records what the responses of servers tell about them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve

from basilwick.core.dispatch.messages import UNLIMITED_RATE, SendFinished, SendOutcome
from basilwick.logs import log_request_line
from basilwick.transport.server_messages import SendFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.dispatch.load_report import LoadReport
    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.types import MonotonicSeconds, ServerName
    from basilwick.metrics import FleetMetrics
    from basilwick.transport.server_messages import ServerAnswer

__all__ = ["ResponseRecorder", "was_not_run"]

#: Status by which a server rejects a request that was meant for another server.
_STATUS_MISDIRECTED = 421
#: Status by which a server rejects a request for now.
_STATUS_REJECTED = 503


@define(eq=False)
class ResponseRecorder:
    """Records warm-up and rate limit of servers, and describes the end of each send.

    Parameters
    ----------
    view : SiteView
        Holds what is known of each server.
    metrics : FleetMetrics
        Counts the requests to servers with a rate limit.
    clock : callable
        Local clock in seconds.
    """

    _view: SiteView
    _metrics: FleetMetrics
    _clock: Callable[[], MonotonicSeconds]

    def record(
        self,
        server: ServerName,
        number: int,
        result: ServerAnswer | SendFailure | None,
        sent_at: MonotonicSeconds,
    ) -> SendFinished:
        """Record the result of a send and return the report for the dispatcher.

        Parameters
        ----------
        number : int
            Number of the dispatch request.
        result : ServerAnswer, SendFailure or None
            None if the send was cancelled.
        sent_at : float
            Local time at which the request was sent.
        """
        now = self._clock()
        if self._view.get_rate_limit(server) < UNLIMITED_RATE:
            self._metrics.count_rate_limited_request(server)
        latency_s = now - sent_at
        if result is None:
            return SendFinished(number, SendOutcome.WITHDRAWN, latency_s)
        if isinstance(result, SendFailure):
            return SendFinished(number, result.outcome, latency_s)
        if result.metadata.warm_up_left_s:
            self._view.extend_warm_up(server, result.metadata.warm_up_left_s, now)
        if result.status != _STATUS_MISDIRECTED:
            self._record_availability(server, result, now)
        rate_limit = _get_rate_limit(result)
        if rate_limit is not None:
            self._record_rate_limit(server, rate_limit, sent_at)
        finished = SendFinished(
            number,
            _classify_response(result),
            latency_s,
            rate_limit,
            result.metadata.warm_up_left_s,
            self._view.states_leaving(server),
        )
        return self._add_load(finished, result.metadata.load)

    def _add_load(
        self, finished: SendFinished, load: LoadReport | None
    ) -> SendFinished:
        """Add the load that a server stated, if the site decides by it."""
        if load is None or not self._view.has_bulk_routes:
            return finished
        if finished.outcome is SendOutcome.MISDIRECTED:
            # Another server may have the address by now.
            return finished
        return evolve(
            finished,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            slowdown_percent=load.slowdown_percent,
        )

    def _record_availability(
        self, server: ServerName, response: ServerAnswer, now: MonotonicSeconds
    ) -> None:
        """Record whether a server leaves or wants no requests for a while."""
        metadata = response.metadata
        if metadata.leaving and self._view.record_leaving(server):
            log_request_line("server states that it leaves", server=server)
        pause_s = metadata.retry_after_s
        rejected = response.status == _STATUS_REJECTED
        if rejected and pause_s > 0.0 and self._view.record_pause(server, pause_s, now):
            log_request_line(
                "server wants no requests for a while", server=server, pause_s=pause_s
            )

    def _record_rate_limit(
        self, server: ServerName, rate_limit: float, sent_at: MonotonicSeconds
    ) -> None:
        former = self._view.record_rate_limit(
            server, rate_limit, sent_at, self._clock()
        )
        if former is not None:
            log_request_line(
                "server rate limit changed",
                server=server,
                former=_format_rate(former),
                rate_limit=_format_rate(rate_limit),
            )


def was_not_run(response: ServerAnswer) -> bool:
    """Return whether a server states that it did not run the request."""
    return response.metadata.not_run or response.status == _STATUS_MISDIRECTED


def _get_rate_limit(response: ServerAnswer) -> float | None:
    """Return the rate limit that a response states; a rejection never ends one."""
    rate_limit = response.metadata.rate_limit
    return (
        None if rate_limit == UNLIMITED_RATE and was_not_run(response) else rate_limit
    )


def _classify_response(response: ServerAnswer) -> SendOutcome:
    if response.status == _STATUS_MISDIRECTED:
        return SendOutcome.MISDIRECTED
    if response.metadata.not_run:
        return SendOutcome.SHED
    return SendOutcome.FAILED if response.status >= 500 else SendOutcome.OK


def _format_rate(rate: float) -> float | str:
    return "none" if rate >= UNLIMITED_RATE else rate
