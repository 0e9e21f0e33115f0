"""Carries out the ownership decisions for the key ranges of one service.

It sends grant and release orders to the servers and stores the ranges in the platform's
key-value service.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from attrs import evolve
from loguru import logger

from basilwick.core.dispatch.messages import SendOutcome
from basilwick.core.errors import PlatformUnavailableError
from basilwick.core.ranges.controller import RangeController
from basilwick.core.ranges.earlier_terms import EarlierTerms
from basilwick.core.ranges.orders import (
    FenceReservation,
    GrantOrder,
    OrderResult,
    ReleaseOrder,
)
from basilwick.core.ranges.table import RangeTable
from basilwick.core.ranges.takeover import may_lack_changes
from basilwick.platform.key_value_store import WriteResult
from basilwick.runtime.fleet.leader_authority import DeposedError
from basilwick.runtime.fleet.order_messages import classify_answer, encode_order
from basilwick.runtime.fleet.ownership_logs import log_failed_order, log_handover
from basilwick.runtime.fleet.server_ends import ServerEnds
from basilwick.runtime.fleet.stored_ranges import (
    StoredRanges,
    decode_ranges,
    encode_ranges,
    get_ranges_key,
)
from basilwick.runtime.fleet.term_evidence import EvidenceSources
from basilwick.transport.answer_stream import AnswerStream
from basilwick.transport.server_messages import SendFailure, ServerAnswer

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.ranges.orders import Order, OwnershipTimings
    from basilwick.core.ranges.owner_policy import RangeDivider
    from basilwick.core.ranges.owner_selector import OwnerSelector
    from basilwick.core.ranges.table import StoredRange
    from basilwick.core.types import MonotonicSeconds, ServerName
    from basilwick.platform.key_value_store import KeyValueStore
    from basilwick.runtime.fleet.leader_authority import LeaderAuthority
    from basilwick.transport.server_client import ServerClient

__all__ = ["RangeManager"]

#: Number of fencing tokens that a leader reserves at a time.
_FENCES_PER_RESERVATION = 100_000
#: Fencing tokens of each era of the platform's service, which may lose reservations
#: when it is restored from a copy.
_FENCES_PER_ERA = 1 << 32
#: Timeout in seconds of a release order. The server finishes the requests that run on
#: the range before it answers.
_RELEASE_TIMEOUT_S = 3.0
#: Delay in seconds before the ranges are stored again after a failed write.
_STORE_RETRY_DELAY_S = 0.2
#: Maximum number of connections to one server that carry orders.
_MAX_ORDER_CONNECTIONS = 16


class RangeManager:
    """Manages the key ranges of one service while this instance leads.

    Parameters
    ----------
    selector : OwnerSelector
        Selects the owners of ranges.
    view : SiteView
        Servers of the site.
    store : KeyValueStore
        Stores the ranges.
    client : ServerClient
        Sends orders to servers.
    timings : OwnershipTimings
        Time limits of the ownership protocol.
    clock : callable
        Local clock in seconds.
    authority : LeaderAuthority
        Tells which orders this instance may send at the moment.
    evidence : EvidenceSources, optional
        Where to find evidence that earlier terms and server processes have ended.
    uses_evidence : bool, optional
        Whether this evidence shortens waits.
    divider : RangeDivider or None
        Divides ranges without an owner, and ranges that their owner loses.
    """

    def __init__(
        self,
        selector: OwnerSelector,
        view: SiteView,
        store: KeyValueStore,
        client: ServerClient,
        timings: OwnershipTimings,
        clock: Callable[[], MonotonicSeconds],
        authority: LeaderAuthority,
        evidence: EvidenceSources | None = None,
        uses_evidence: bool = False,
        divider: RangeDivider | None = None,
    ):
        self.selector = selector
        self._divider = divider
        self.service = selector.service
        self._view = view
        self._store = store
        self._client = client
        self._timings = timings
        self._clock = clock
        self._authority = authority
        self._key = get_ranges_key(self.service)
        self._revision = 0
        self._reserved_end = 0
        #: Era of the last known return of the service, and the latest one in which the
        #: ranges are certainly complete.
        self._era = 0
        self._certain_era = 0
        self._evidence = evidence or EvidenceSources()
        self.term = self._evidence.own_terms.begin()
        self.uses_evidence = uses_evidence
        self.earlier_terms = EarlierTerms(False, float("inf"))
        self._closed = False
        self._server_ends = ServerEnds(
            view,
            client,
            self._evidence,
            timings,
            lambda: not self._closed and authority.has_lease(),
        )
        #: Term that wrote the ranges before this one, and the era at that time.
        self._former_writer_id = ""
        self._first_era = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server_starts_ms: dict[ServerName, int] = {}
        self.controller: RangeController | None = None

    async def start(self) -> None:
        """Take over the service; a manager that fails to is of no further use.

        Raises
        ------
        PlatformUnavailableError
            If the platform's key-value service doesn't answer.
        DeposedError
            If another instance stored the ranges at the same time.
        """
        try:
            await self._take_over()
        except BaseException:
            # Its write may still take effect and list the term, which sent no orders.
            self._evidence.own_terms.end(self.term)
            raise

    async def _take_over(self) -> None:
        taken_over_at = self._clock()
        item = await self._store.get(self._key, "read ranges")
        stored = StoredRanges(0, [], terms=())
        if item is not None:
            stored = decode_ranges(item.value)
            self._revision = item.revision
        self._era = self._first_era = self._store.era
        self._former_writer_id = stored.writer
        outdated = may_lack_changes(stored.era, self._era, self._store.may_be_restored)
        self._certain_era = (stored.era or 0) if outdated else self._era
        first_fence = max(1, stored.reserved_end)
        if outdated:
            first_fence = max(first_fence, self._era * _FENCES_PER_ERA)
        self._reserved_end = first_fence + _FENCES_PER_RESERVATION
        over_at = taken_over_at + self._timings.unreached_owner_wait_s
        terms = None if outdated else stored.terms
        self.earlier_terms = EarlierTerms.restore(terms, stored.writer, over_at)
        await self._save(stored.ranges)
        self._server_ends.takeover_revision = self._revision
        fences = FenceReservation(first_fence, self._reserved_end)
        table = RangeTable.restore(stored.ranges)
        self.controller = RangeController(
            self.service,
            table,
            fences,
            self._timings,
            self.selector,
            taken_over_at,
            uses_evidence=self.uses_evidence,
            divider=self._divider,
        )
        if outdated:
            self.controller.suspect_other_leader(taken_over_at)
        elif self.earlier_terms.all_ended:
            self.controller.end_earlier_terms(self._clock())
        logger.bind(
            service=self.service,
            ranges=len(table.ranges),
            unfinished_moves=sum(bool(entry.former) for entry in stored.ranges),
            fence=fences.next_fence,
            revision=self._revision,
            outdated=outdated,
            earlier_terms=len(self.earlier_terms.remaining),
            terms_known=self.earlier_terms.complete,
        ).info("took over the ranges of a service")

    def stop_orders(self) -> None:
        """Write no more orders."""
        self._closed = True

    async def close(self) -> None:
        """Cancel the orders and writes that are in progress, and end the term."""
        self.stop_orders()
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
        self._evidence.own_terms.end(self.term)

    def find_ended_terms(self) -> None:
        """Look for evidence that earlier terms have ended, here and at instances."""
        for term in self.earlier_terms.remaining if self.uses_evidence else ():
            if self._evidence.own_terms.knows_end(term):
                self.record_term_end(term.writer, "own term")
            else:
                self._evidence.query_term(term)

    def find_ended_servers(self) -> None:
        """Ask at the addresses of awaited servers where another process may listen."""
        if not self.uses_evidence or not self._authority.may_move_ranges():
            return
        now = self._clock()
        for server, key in self._server_ends.list_due(self.controller, now):
            ask = self._server_ends.ask(self.controller, server, key, now)
            self._start_task(ask)

    def record_term_end(self, writer: str, kind: str) -> None:
        """Record that an earlier term has ended, and by which kind of evidence."""
        if not self.earlier_terms.record_end(writer):
            return
        self._evidence.count(kind)
        all_ended = self.earlier_terms.all_ended
        shortened = all_ended and self.controller.end_earlier_terms(self._clock())
        # The next leader needn't ask again.
        self.controller.dirty |= all_ended
        logger.bind(
            service=self.service, term=writer, evidence=kind, shortened=shortened
        ).info("earlier term has ended")

    def tick(self) -> None:
        """Send the orders that are due and store changed ranges."""
        controller = self.controller
        now = self._clock()
        if self._authority.era > self._era:
            self._handle_restore(now)
        if self._certain_era != self._era and controller.certain:
            self._certain_era = self._era
            controller.dirty = True
        if not self._authority.may_renew_grants():
            return
        self.controller.dirty |= self.earlier_terms.expire(now) and self.uses_evidence
        self._detect_restarts(now)
        owners = self.selector.list_eligible_owners(now)
        controller.assign_unowned(owners, now)
        self._reserve_fences()
        self._send_due_orders()
        stored = controller.begin_store()
        if stored is not None:
            self._start_task(self._store_ranges(stored))

    def _handle_restore(self, now: MonotonicSeconds) -> None:
        """Store the ranges again, with fences that no lost reservation contains."""
        self._era = self._authority.era
        if self._authority.uncertain:
            self.controller.suspect_other_leader(now)
            over_at = now + self._timings.unreached_owner_wait_s
            self.earlier_terms.suspect_lost_term(over_at)
        first_fence = max(self._reserved_end, self._era * _FENCES_PER_ERA)
        self._reserved_end = first_fence + _FENCES_PER_RESERVATION
        # They can be used once the reservation is stored.
        self.controller.fences = FenceReservation(first_fence, first_fence)
        self.controller.dirty = True

    def _reserve_fences(self) -> None:
        """Reserve more fencing tokens with the next write once half are used."""
        fences = self.controller.fences
        if (
            self._reserved_end == fences.end
            and fences.remaining < _FENCES_PER_RESERVATION // 2
        ):
            self._reserved_end += _FENCES_PER_RESERVATION
            self.controller.dirty = True

    def rebalance(self) -> None:
        """Start the moves that balance the load of the servers."""
        if not self._authority.may_move_ranges():
            return
        now = self._clock()
        moves = self.selector.plan(self.controller.table, now)
        for move in self.controller.move(moves, now):
            logger.bind(
                service=self.service,
                first=move.first,
                last=move.last,
                target=move.target,
            ).info("moving keys")

    def _start_task(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).bind(service=self.service).error(
                "unexpected error while sending an order or storing the ranges"
            )

    def _detect_restarts(self, now: MonotonicSeconds) -> None:
        """Report owners whose start time changed since it was last seen."""
        for item in list(self.controller.table.ranges):
            server = item.owner and self._view.get_server(item.owner)
            if not server:
                continue
            known = self._server_starts_ms.setdefault(server.name, server.started_ms)
            if known != server.started_ms:
                self._server_starts_ms[server.name] = server.started_ms
                logger.bind(server=server.name).info("server started anew")
                self.controller.handle_server_restart(server.name, now)

    async def _store_ranges(self, stored: list[StoredRange]) -> None:
        reserved_end = self._reserved_end
        try:
            await self._save(stored)
        except PlatformUnavailableError as error:
            logger.bind(service=self.service, reason=str(error)).warning(
                "failed to store the ranges of a service"
            )
            await asyncio.sleep(_STORE_RETRY_DELAY_S)
            self.controller.finish_store(False, self._clock())
        except DeposedError as error:
            logger.bind(service=self.service, reason=str(error)).warning(
                "another leader stored the ranges of a service"
            )
            self.controller.deposed = True
        else:
            fences = self.controller.fences
            fences.end = max(fences.end, reserved_end)
            self.controller.finish_store(True, self._clock())
            self.tick()

    async def _save(self, ranges: Sequence[StoredRange]) -> None:
        """Write the ranges, again if an earlier write of this term came in between."""
        stored = StoredRanges(
            self._reserved_end,
            ranges,
            self.term.writer,
            self._certain_era,
            self.earlier_terms.list_stored(self.term),
        )
        value = encode_ranges(stored)
        while not await self._write(value):
            pass

    async def _write(self, value: bytes) -> bool:
        """Write the ranges once.

        Returns
        -------
        bool
            False if an earlier write of this term took effect first, so that the value
            has to be written again.

        Raises
        ------
        PlatformUnavailableError
            If it isn't known whether the value was written; the write may still take
            effect.
        DeposedError
            If another leader has written the ranges.
        """
        try:
            result, revision = await self._store.write(
                self._key, value, self._revision, "store ranges"
            )
            done = result is WriteResult.DONE
        except PlatformUnavailableError:
            # The write may have taken effect.
            item = await self._store.get(self._key, "check stored ranges")
            if item is None or item.value != value:
                raise
            done, revision = True, item.revision
        if not done:
            # The conflict can come from an earlier write of this term that got no
            # answer and took effect late.
            item = await self._store.get(self._key, "check stored ranges")
            if item is None and self._is_restored():
                self._revision = 0
                return False
            if item is None or not self._is_own_write(item.value):
                raise DeposedError(
                    f"{self._key!r} was changed by another writer since revision "
                    f"{self._revision}"
                )
            done, revision = item.value == value, item.revision
        self._revision = revision
        return done

    def _is_own_write(self, value: bytes) -> bool:
        """Return whether a stored value was written in this term.

        After the service was restored, the value of the term before counts as well: a
        later leader would have written one of its own.
        """
        try:
            writer = decode_ranges(value).writer
            is_copied = writer == self._former_writer_id and self._is_restored()
            return writer == self.term.writer or is_copied
        except ValueError as error:
            logger.bind(service=self.service, reason=str(error)).warning(
                "cannot decode the stored ranges of a service"
            )
            return False

    def _is_restored(self) -> bool:
        """Return whether the service was restored and this term goes on."""
        return self._authority.era > self._first_era

    async def _send_order(self, order: Order, decided_at: MonotonicSeconds) -> None:
        server = self._view.get_server(order.server)
        answer = None
        replaced = (
            server is not None
            and self.uses_evidence
            and self._server_ends.may_be_replaced(order, server)
        )
        if server is not None:
            answer = await self._call_server(
                order, server.address, decided_at, replaced
            )
        result, handover_token = classify_answer(answer, replaced)
        if result is OrderResult.OK and answer.metadata.leaving:
            self._view.record_leaving(order.server)
        now = self._clock()
        if result is OrderResult.ENDED:
            self._evidence.count("server process")
        if result is not OrderResult.OK:
            log_failed_order(self.service, order, result)
        if isinstance(order, GrantOrder):
            more_due = self.controller.handle_grant_result(order, result, now)
        else:
            self.controller.handle_release_result(order, result, handover_token, now)
            more_due = True
        # Checking all ranges after each renewal would cost the leader too much time.
        if more_due:
            self._send_due_orders()

    def _send_due_orders(self) -> None:
        # Read the clock before the permission: a process that is frozen in between must
        # not date the decision after the permission has ended.
        now = self._clock()
        if not self._authority.may_renew_grants():
            return
        holds_lease = self._authority.may_move_ranges()
        for order in self.controller.tick(now, holds_lease):
            self._start_task(self._send_order(order, now))
        for handover in self.controller.drain_handovers():
            log_handover(self.service, handover)

    async def _call_server(
        self,
        order: Order,
        address: str,
        decided_at: MonotonicSeconds,
        replaced: bool,
    ) -> object:
        may_write = partial(self._may_write, order, decided_at)
        # The client checks again before it writes the order; this check avoids waiting
        # for a connection in vain.
        if not may_write():
            detail = "the order was withdrawn before it was sent"
            return SendFailure(SendOutcome.WITHDRAWN, False, detail)
        request = evolve(encode_order(order, address, replaced), may_write=may_write)
        wait_s = self._timings.order_timeout_s
        if isinstance(order, ReleaseOrder):
            wait_s = _RELEASE_TIMEOUT_S
        remaining_s = decided_at + wait_s - self._clock()
        answer = await self._client.send(
            address, request, remaining_s, _MAX_ORDER_CONNECTIONS
        )
        if isinstance(answer, ServerAnswer) and isinstance(answer.body, AnswerStream):
            answer.body.close()
        return answer

    def _may_write(self, order: Order, decided_at: MonotonicSeconds) -> bool:
        """Return whether an order may still be written to its connection."""
        # Later leaders wait this long for the orders of earlier ones, including
        # releases.
        in_time = self._clock() < decided_at + self._timings.order_timeout_s
        allowed_without_lease = (
            isinstance(order, GrantOrder) and order.requires_same_process
        )
        permitted = allowed_without_lease or self._authority.has_lease()
        return (
            not self._closed
            and in_time
            and permitted
            and self.controller.is_pending(order)
        )
