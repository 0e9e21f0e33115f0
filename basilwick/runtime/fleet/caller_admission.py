"""Refuses callers' requests while the instance has no memory for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from basilwick.logs import log_request_line
from basilwick.transport.exchange import Answer
from basilwick.transport.raw_response import RawResponse

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web import BaseRequest

    from basilwick.core.caller_budget import CallerBudget
    from basilwick.metrics import FleetMetrics

__all__ = ["CallerAdmission"]

#: Retry-After in seconds. Callers that do not read are cut off within about a second.
_RETRY_AFTER_S = 1.0
#: Bytes that each request may hold before they are counted: what the connection to a
#: server has read of an answer. Many requests may be admitted before the first answer.
_REQUEST_BYTES = 64 << 10
_SERVICE_UNAVAILABLE = 503


@define(eq=False)
class CallerAdmission:
    """Passes requests on while what is held for callers leaves room for them.

    Parameters
    ----------
    handler : callable
        Handles a request that is admitted.
    budget : CallerBudget
        Counts what is held.
    metrics : FleetMetrics
        Counts the refusals.
    free_memory : callable
        Called before a refusal; ends what may be ended.
    """

    _handler: Callable[[BaseRequest], Awaitable[RawResponse]]
    _budget: CallerBudget
    _metrics: FleetMetrics
    _free_memory: Callable[[], None]

    async def handle(self, raw: BaseRequest) -> RawResponse:
        """Handle a request, or refuse it before it has been sent to a server."""
        if self._budget.exhausted:
            self._free_memory()
        if not self._budget.exhausted:
            self._budget.add(_REQUEST_BYTES)
            try:
                return await self._handler(raw)
            finally:
                self._budget.add(-_REQUEST_BYTES)
        self._metrics.memory_refusals.inc()
        held_bytes = self._budget.held_bytes
        log_request_line("request refused for memory", held_bytes=held_bytes)
        response = RawResponse(raw, keep_alive=raw.content.is_eof())
        fields = [(b"Retry-After", b"%.3f" % _RETRY_AFTER_S)]
        await response.send(Answer(_SERVICE_UNAVAILABLE, fields))
        return response
