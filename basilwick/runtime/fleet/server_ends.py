"""Finds out that a server's process has ended, because another one has its address.

A registration alone shows nothing: it can arrive late, and a process of the same server
may have started again since. An answer to an order of this leader shows which process
listens now.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field
from loguru import logger

from basilwick.core.ranges.orders import GrantOrder, OrderResult, ReleaseOrder
from basilwick.runtime.fleet.order_messages import (
    classify_answer,
    encode_order,
    has_successor,
)
from basilwick.transport.server_messages import ServerAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.dispatch.site import ServerEntry, SiteView
    from basilwick.core.ranges.controller import RangeController
    from basilwick.core.ranges.orders import Order, OwnershipTimings
    from basilwick.core.types import MonotonicSeconds, ServerName
    from basilwick.runtime.fleet.term_evidence import EvidenceSources
    from basilwick.transport.server_client import ServerClient

__all__ = ["ServerEnds"]


@define(eq=False)
class ServerEnds:
    """Evidence of ended server processes for one leader and service.

    Parameters
    ----------
    view : SiteView
        Servers of the site.
    client : ServerClient
        Sends orders to servers.
    evidence : EvidenceSources
        Counts evidence and tells which registrations are known.
    timings : OwnershipTimings
        Time limits of the ownership protocol.
    may_write : callable
        Returns whether orders that need the lease may be written.
    takeover_revision : int
        Revision of the write by which the leader took over, 0 before it.
    """

    _view: SiteView
    _client: ServerClient
    _evidence: EvidenceSources
    _timings: OwnershipTimings
    _may_write: Callable[[], bool]
    takeover_revision: int = 0
    #: Local times at which servers were asked.
    _asked_at: dict[ServerName, MonotonicSeconds] = field(factory=dict)

    def may_be_replaced(self, order: Order, server: ServerEntry) -> bool:
        """Return whether a later process may answer an order to a server."""
        same_process = isinstance(order, GrantOrder) and order.requires_same_process
        return not same_process and self._has_successor(server)

    def _has_successor(self, server: ServerEntry) -> bool:
        """Return whether a later process is registered at a server's address.

        The registrations must be those after the takeover: an earlier leader may have
        known the server at another address.
        """
        known = self._evidence.get_known_revision()
        return known >= self.takeover_revision > 0 and has_successor(server, self._view)

    def list_due(
        self, controller: RangeController, now: MonotonicSeconds
    ) -> list[tuple[ServerEntry, int]]:
        """Return awaited servers to ask now, each with a key that is waited for."""
        due = []
        for name, key in controller.table.list_awaited_owners().items():
            server = self._view.get_server(name)
            next_at = self._asked_at.get(name, 0.0) + self._timings.renewal_interval_s
            if server is not None and now >= next_at and self._has_successor(server):
                self._asked_at[name] = now
                due.append((server, key))
        return due

    async def ask(
        self,
        controller: RangeController,
        server: ServerEntry,
        key: int,
        asked_at: MonotonicSeconds,
    ) -> None:
        """Send an order without effect; only another process answers it with 421."""
        # No server holds a key with the fence 0, so nothing can be released.
        order = ReleaseOrder(0, server.name, key, key, 0)
        request = evolve(
            encode_order(order, server.address, replaced=True),
            may_write=self._may_write,
        )
        answer = await self._client.send(
            server.address, request, self._timings.order_timeout_s, max_connections=1
        )
        if isinstance(answer, ServerAnswer):
            answer.close()
        if classify_answer(answer, replaced=True)[0] is not OrderResult.ENDED:
            return
        if controller.end_server_process(server.name, asked_at):
            self._evidence.count("server process")
            logger.bind(server=server.name, address=server.address).info(
                "process of a server has ended"
            )
