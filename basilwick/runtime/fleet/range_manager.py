"""Carries out the ownership decisions of one service: orders and storing."""

from __future__ import annotations

import asyncio
from functools import partial
from secrets import token_hex
from typing import TYPE_CHECKING, Protocol

from attrs import evolve
from loguru import logger

from basilwick.core.dispatch.messages import SendOutcome
from basilwick.core.errors import PlatformUnavailableError
from basilwick.core.ranges.controller import RangeController
from basilwick.core.ranges.orders import (
    FenceReservation,
    GrantOrder,
    OrderResult,
    ReleaseOrder,
)
from basilwick.core.ranges.table import RangeTable
from basilwick.platform.http_messages import encode_grant, encode_release
from basilwick.platform.key_value_store import WriteResult
from basilwick.runtime.fleet.stored_ranges import (
    StoredRanges,
    decode_ranges,
    encode_ranges,
    get_ranges_key,
)
from basilwick.transport.connection import AnswerStream
from basilwick.transport.server_client import (
    SendFailure,
    ServerAnswer,
    ServerRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.ranges.orders import Order, OwnershipTimings
    from basilwick.core.ranges.owner_selector import OwnerSelector
    from basilwick.core.ranges.table import StoredRange
    from basilwick.core.types import MonotonicSeconds, ServerName
    from basilwick.platform.key_value_store import KeyValueStore
    from basilwick.transport.server_client import ServerClient

__all__ = [
    "DeposedError",
    "LeaderAuthority",
    "RangeManager",
]

#: Fences that a leader reserves at a time.
_FENCES = 100_000
#: Longest wait in seconds for the answer to a release: work that runs ends first.
_RELEASE_TIMEOUT_S = 3.0
#: Pause in seconds after a call to the platform failed.
_STORE_PAUSE_S = 0.2
#: Connections to one server that carry orders.
_ORDER_CONNECTIONS = 16


class DeposedError(Exception):
    """Another leader has stored the ownership meanwhile."""


class LeaderAuthority(Protocol):
    """Which orders the leader may send."""

    def may_move_ranges(self) -> bool:
        """Return whether the lease is surely in force."""

    def has_lease(self) -> bool:
        """Return whether the lease has not ended, without a margin for delays."""

    def may_renew_grants(self) -> bool:
        """Return whether settled ranges may still be renewed."""


class RangeManager:
    """Owner of the ranges of one service while this instance leads.

    Parameters
    ----------
    selection : OwnerSelector
        Chooses owners.
    authority : LeaderAuthority
        Which orders this instance may send now.
    """

    def __init__(
        self,
        selection: OwnerSelector,
        view: SiteView,
        store: KeyValueStore,
        client: ServerClient,
        times: OwnershipTimings,
        clock: Callable[[], MonotonicSeconds],
        authority: LeaderAuthority,
    ):
        self.selection = selection
        self.service = selection.service
        self._view = view
        self._store = store
        self._client = client
        self._times = times
        self._clock = clock
        self._authority = authority
        self._key = get_ranges_key(self.service)
        self._revision = 0
        self._reserved = 0
        self._writer = token_hex(8)
        self._tasks: set[asyncio.Task[None]] = set()
        self._starts_ms: dict[ServerName, int] = {}
        self.control: RangeController | None = None

    async def start(self) -> None:
        """Read the stored ranges and reserve fences.

        Raises
        ------
        PlatformUnavailableError
            If the platform's service doesn't answer.
        DeposedError
            If another instance wrote at the same time.
        """
        taken_over_at = self._clock()
        item = await self._store.get(self._key, "read ranges")
        stored = StoredRanges(0, [])
        if item is not None:
            stored = decode_ranges(item.value)
            self._revision = item.revision
        self._reserved = stored.reserved_end + _FENCES
        await self._save(stored.ranges)
        fences = FenceReservation(max(1, stored.reserved_end), self._reserved)
        table = RangeTable.restore(stored.ranges)
        self.control = RangeController(
            self.service,
            table,
            fences,
            self._times,
            self.selection,
            taken_over_at,
        )
        logger.bind(
            service=self.service,
            ranges=len(table.ranges),
            unfinished_moves=sum(bool(entry.former) for entry in stored.ranges),
            fence=fences.next_fence,
            revision=self._revision,
        ).info("took over the ranges of a service")

    async def close(self) -> None:
        """Stop sending orders."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def tick(self) -> None:
        """Send the orders that are due, and store what changed."""
        control = self.control
        now = self._clock()
        if not self._authority.may_renew_grants():
            return
        self._note_restarts(now)
        owners = self.selection.list_eligible_owners(now)
        control.assign_unowned(owners, now)
        self._reserve_fences()
        self._send_due()
        stored = control.begin_store()
        if stored is not None:
            self._spawn(self._store_ranges(stored))

    def _reserve_fences(self) -> None:
        """Let the next write of the ranges reserve more fences when half are used."""
        fences = self.control.fences
        if self._reserved == fences.end and fences.remaining < _FENCES // 2:
            self._reserved += _FENCES
            self.control.dirty = True

    def plan(self) -> None:
        """Begin the moves that even out the load."""
        if not self._authority.may_move_ranges():
            return
        now = self._clock()
        moves = self.selection.plan(self.control.table, now)
        for move in self.control.move(moves, now):
            logger.bind(
                service=self.service,
                first=move.first,
                last=move.last,
                target=move.target,
            ).info("moving keys")

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_ended)

    def _note_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).bind(service=self.service).error(
                "carrying out an ownership decision failed unexpectedly"
            )

    def _note_restarts(self, now: MonotonicSeconds) -> None:
        for item in list(self.control.table.ranges):
            server = item.owner and self._view.get_server(item.owner)
            if not server:
                continue
            known = self._starts_ms.setdefault(server.name, server.started_ms)
            if known != server.started_ms:
                self._starts_ms[server.name] = server.started_ms
                logger.bind(server=server.name).info("server started anew")
                self.control.handle_server_restart(server.name, now)

    async def _store_ranges(self, stored: list[StoredRange]) -> None:
        reserved_end = self._reserved
        try:
            await self._save(stored)
        except PlatformUnavailableError as error:
            logger.bind(service=self.service, reason=str(error)).warning(
                "could not store the ranges"
            )
            await asyncio.sleep(_STORE_PAUSE_S)
            self.control.finish_store(False, self._clock())
        except DeposedError as error:
            logger.bind(service=self.service, reason=str(error)).warning(
                "another instance stored the ranges"
            )
            self.control.deposed = True
        else:
            self.control.fences.end = reserved_end
            self.control.finish_store(True, self._clock())
            self.tick()

    async def _save(self, ranges: Sequence[StoredRange]) -> None:
        value = encode_ranges(StoredRanges(self._reserved, ranges, self._writer))
        while not await self._write(value):
            pass

    async def _write(self, value: bytes) -> bool:
        """Write the ranges; returns False if an earlier write came in between.

        Raises
        ------
        PlatformUnavailableError
            If it is not known whether the value was written.
        DeposedError
            If another leader wrote.
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
            # An earlier write of this term may have taken effect late.
            item = await self._store.get(self._key, "check stored ranges")
            if item is None or not self._wrote(item.value):
                raise DeposedError(f"{self._key} is not at revision {self._revision}")
            done, revision = item.value == value, item.revision
        self._revision = revision
        return done

    def _wrote(self, value: bytes) -> bool:
        """Return whether this term wrote a value."""
        try:
            return decode_ranges(value).writer == self._writer
        except ValueError as error:
            logger.bind(service=self.service, reason=str(error)).warning(
                "stored ranges became unreadable"
            )
            return False

    async def _send(self, order: Order, decided_at: MonotonicSeconds) -> None:
        server = self._view.get_server(order.server)
        answer = None
        if server is not None:
            answer = await self._call(order, server.address, decided_at)
        result, handover_token = _interpret(answer)
        now = self._clock()
        if result is not OrderResult.OK:
            logger.bind(
                service=self.service,
                server=order.server,
                order=type(order).__name__,
                first=order.first,
                last=order.last,
                fence=order.fence,
                result=result.value,
            ).warning("order without effect")
        if isinstance(order, GrantOrder):
            due = self.control.handle_grant_result(order, result, now)
        else:
            self.control.handle_release_result(order, result, handover_token, now)
            due = True
        # A look at all ranges after each renewal would take the leader's time.
        if due:
            self._send_due()

    def _send_due(self) -> None:
        # Read first, so that no order counts as decided after its permission ended.
        now = self._clock()
        if not self._authority.may_renew_grants():
            return
        leased = self._authority.may_move_ranges()
        for order in self.control.tick(now, leased):
            self._spawn(self._send(order, now))
        self._log_hand_overs()

    def _log_hand_overs(self) -> None:
        for entry in self.control.drain_handovers():
            logger.bind(
                service=self.service,
                first=entry.first,
                last=entry.last,
                former=entry.former,
                owner=entry.owner,
                reason=entry.reason.value,
                fence=entry.fence,
            ).info("keys handed over")

    async def _call(
        self, order: Order, address: str, decided_at: MonotonicSeconds
    ) -> object:
        may_write = partial(self._may_write, order, decided_at)
        # The client asks again before the write; this saves the wait for a connection.
        if not may_write():
            detail = "the order was withdrawn before it was sent"
            return SendFailure(SendOutcome.WITHDRAWN, False, detail)
        request = evolve(encode_order(order, address), may_write=may_write)
        wait_s = self._times.order_timeout_s
        if isinstance(order, ReleaseOrder):
            wait_s = _RELEASE_TIMEOUT_S
        left_s = decided_at + wait_s - self._clock()
        answer = await self._client.send(address, request, left_s, _ORDER_CONNECTIONS)
        if isinstance(answer, ServerAnswer) and isinstance(answer.body, AnswerStream):
            answer.body.close()
        return answer

    def _may_write(self, order: Order, decided_at: MonotonicSeconds) -> bool:
        """Return whether an order may still be written."""
        # Other leaders allow every order this time to arrive, releases too.
        in_time = self._clock() < decided_at + self._times.order_timeout_s
        lease_free = isinstance(order, GrantOrder) and order.requires_same_process
        permitted = lease_free or self._authority.has_lease()
        return in_time and permitted and self.control.is_pending(order)


def encode_order(order: Order, address: str) -> ServerRequest:
    """Return the request that carries an order."""
    if isinstance(order, ReleaseOrder):
        data = encode_release(order, address)
        return ServerRequest("POST", data, b"", b"", idempotent=True, exclusive=True)
    return ServerRequest(
        "POST",
        encode_grant(order, address),
        b"",
        b"",
        idempotent=True,
        exclusive=order.to_former_owner,
        kept=order.requires_same_process,
    )


def _interpret(answer: object) -> tuple[OrderResult, str | None]:
    if answer is None:
        return OrderResult.UNSENT, None
    if isinstance(answer, SendFailure):
        if answer.may_have_run:
            return OrderResult.UNKNOWN, None
        expired = answer.outcome is SendOutcome.WITHDRAWN
        return (OrderResult.EXPIRED if expired else OrderResult.UNSENT), None
    if answer.status == 200:
        return OrderResult.OK, answer.metadata.handover_token
    if answer.status == 409:
        return OrderResult.CONFLICT, None
    return OrderResult.UNKNOWN, None
