"""Which instance leads the site.

The leader is named by a key of the platform's service that ends with a lease. It saves
work; ownership of keys stays correct with two leaders at a time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import frozen
from loguru import logger
from orjson import JSONDecodeError, dumps, loads

from basilwick.core.errors import PlatformUnavailableError
from basilwick.core.ranges.table import RangeTable
from basilwick.platform.key_value_store import WriteResult
from basilwick.runtime.fleet.leader_term import LeaderTerm
from basilwick.runtime.fleet.loops import run_periodically
from basilwick.runtime.fleet.stored_ranges import (
    INTERNAL_PREFIX,
    decode_ranges,
    get_ranges_key,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from basilwick.core.ranges.orders import OwnershipTimings
    from basilwick.core.types import MonotonicSeconds, ServiceName
    from basilwick.platform.key_value_store import Change, KeyValueStore
    from basilwick.runtime.fleet.leader_links import LeaderLink

__all__ = ["LeaderRecord", "LeaderElection", "StoredState"]

_LEADER_KEY = f"{INTERNAL_PREFIX}leader"
_RANGES_PREFIX = get_ranges_key("")
#: Interval in seconds between renewals of the leader's lease.
_RENEWAL_S = 0.5
#: Interval in seconds between looks at who leads, and while the leader is heard.
_INTERVAL_S = 0.1
_CALM_INTERVAL_S = 0.25
#: Longest random delay in seconds before an instance tries to lead.
_SPREAD_S = 0.25
#: Time in seconds that an instance leaves to stronger ones before it tries to lead. The
#: leader's processor bounds what the site can serve.
_WEAK_DELAY_S = 0.8
#: Share of the strongest instance's cores from which an instance counts as strong.
_STRONG_SHARE = 0.9
#: Time in seconds after which an instance that can't reach the leader reads its record.
_CHECK_AFTER_S = 0.6


@frozen
class LeaderRecord:
    """Instance that leads, where it takes links, and the lease of its record."""

    instance: str
    address: str
    lease: int
    revision: int


class StoredState:
    """What the instances keep in the platform's service, as last heard."""

    prefix = INTERNAL_PREFIX

    def __init__(self) -> None:
        self.leader: LeaderRecord | None = None
        self.tables: dict[ServiceName, RangeTable] = {}
        self._table_revisions: dict[ServiceName, int] = {}

    def apply(self, change: Change) -> None:
        """Take a change of an own item."""
        if change.key == _LEADER_KEY:
            self._apply_leader(change)
        elif change.key.startswith(_RANGES_PREFIX) and change.value is not None:
            self._apply_ranges(change)

    def remove_unlisted(self, keys: set[str], revision: int) -> None:
        """Drop the own items that a whole list of a revision doesn't name."""
        if _LEADER_KEY in keys or self.leader is None:
            return
        if self.leader.revision <= revision:
            self.leader = None

    def _apply_ranges(self, change: Change) -> None:
        service = change.key.removeprefix(_RANGES_PREFIX)
        # A read that may be stale can bring what is known already.
        if change.revision <= self._table_revisions.get(service, 0):
            return
        try:
            stored = decode_ranges(change.value)
            self.tables[service] = RangeTable.restore(stored.ranges)
        except ValueError as error:
            logger.bind(key=change.key, reason=str(error)).warning(
                "passed over unreadable ranges"
            )
            return
        self._table_revisions[service] = change.revision

    def _apply_leader(self, change: Change) -> None:
        if self.leader is not None and change.revision < self.leader.revision:
            return
        self.leader = None
        if change.value is None:
            return
        try:
            self.leader = _decode_record(change.value, change.revision)
        except ValueError as error:
            logger.bind(reason=repr(error)).warning("unreadable leader record")


def _decode_record(value: bytes, revision: int) -> LeaderRecord:
    try:
        data = loads(value)
        return LeaderRecord(
            data["instance"], data["address"], int(data["lease"]), revision
        )
    except (JSONDecodeError, KeyError, TypeError) as error:
        raise ValueError(f"leader record {value[:100]!r}: {error!r}") from error


class LeaderElection:
    """Takes part in the choice of the leader.

    A term of leadership ends with its lease. An instance that regains the record begins
    a new term.

    Parameters
    ----------
    instance, address : str
        Name of this instance and where it takes links.
    cores : float
        Its processor cores.
    begin, end : callable
        Called when a term of this instance begins or ends.
    link : LeaderLink
        Link to the leader.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        cores: float,
        store: KeyValueStore,
        state: StoredState,
        link: LeaderLink,
        begin: Callable[[LeaderTerm], Awaitable[None]],
        end: Callable[[], Awaitable[None]],
        times: OwnershipTimings,
        clock: Callable[[], MonotonicSeconds],
        rng: Random,
    ):
        self._instance = instance
        self._address = address
        self._cores = cores
        self._store = store
        self._state = state
        self._link = link
        self._begin = begin
        self._end = end
        self._times = times
        self._clock = clock
        self._rng = rng
        self._term: LeaderTerm | None = None
        self._task: asyncio.Task[None] | None = None
        self._retiring = False
        #: Set while no role of this instance runs or closes.
        self._ended = asyncio.Event()
        self._ended.set()

    @property
    def leading(self) -> bool:
        """Whether this instance leads."""
        return self._term is not None

    async def start(self) -> None:
        """Begin to look at who leads."""
        self._task = asyncio.create_task(
            run_periodically("leadership", _INTERVAL_S, self._look)
        )

    async def close(self) -> None:
        """Stop; a leader gives its record up."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.leading:
            await self._resign("stopping")

    async def withdraw(self) -> None:
        """Take the leadership no more, and give it up once another can take it.

        While the platform's service is away no instance could follow, and without a
        leader the keys' grants would run out. The leader goes on until the service
        takes its record back, or until ``close``.
        """
        self._retiring = True
        await self._hand_over()

    async def wait_stepped_down(self, timeout_s: float) -> None:
        """Wait until this instance leads no more and its role is closed.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.
        """
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._ended.wait()
        except TimeoutError:
            logger.bind(leading=self.leading).warning(
                "stopping before the leader's role ended"
            )

    async def step_down(self, reason: str) -> None:
        """Cease to lead."""
        if self.leading:
            await self._resign(reason)

    async def _look(self) -> float | None:
        try:
            if self.leading and self._retiring:
                await self._hand_over()
                return None
            if self._term is not None:
                await self._renew(self._term)
                return _RENEWAL_S
            await self._follow()
            if self._link.alive:
                return _CALM_INTERVAL_S
        except PlatformUnavailableError as error:
            logger.bind(reason=str(error)).debug("leader record not reached")
        except ValueError as error:
            logger.bind(reason=str(error)).warning("unreadable leader record")
        return None

    async def _follow(self) -> None:
        leader = self._state.leader
        own = leader is not None and leader.instance == self._instance
        self._link.set_leader_address(None if leader is None or own else leader.address)
        if self._retiring or self._link.alive:
            return
        if leader is None or own:
            await self._let_stronger_lead()
            if self._state.leader == leader:
                await self._try_to_lead(leader)
        elif self._link.connection_refused:
            # The process is gone, though its lease has not ended yet.
            await self._let_stronger_lead()
            if self._state.leader == leader and self._link.connection_refused:
                await self._try_to_lead(leader)
        elif self._link.last_message_age_s > _CHECK_AFTER_S:
            await self._read_record()
            await asyncio.sleep(_CHECK_AFTER_S * self._rng.uniform(0.5, 1.0))

    async def _let_stronger_lead(self) -> None:
        delay_s = self._rng.uniform(0.0, _SPREAD_S)
        if self._cores < _STRONG_SHARE * self._link.max_cores:
            delay_s += _WEAK_DELAY_S
        await asyncio.sleep(delay_s)

    async def _read_record(self) -> None:
        item = await self._store.get(_LEADER_KEY, "read leader")
        if item is None:
            self._state.leader = None

    async def _try_to_lead(self, former: LeaderRecord | None) -> None:
        if self._retiring or not self._ended.is_set():
            return
        if former is not None:
            # A former leader that lives on after all finds its lease ended.
            await self._store.end_lease(former.lease, "lead")
        term = await self._write_record()
        if term is None:
            await self._learn_leader()
            return
        self._link.set_leader_address(None)
        self._term = term
        self._ended.clear()
        logger.bind(revision=term.revision, former=former and former.instance).info(
            "leading the site"
        )
        await self._begin(term)

    async def _write_record(self) -> LeaderTerm | None:
        """Write this instance as the leader if there is none; returns its term."""
        sent_at = self._clock()
        lease = await self._store.create_lease(self._times.lease_s, "lead")
        value = dumps(
            {"instance": self._instance, "address": self._address, "lease": lease}
        )
        try:
            result, revision = await self._store.write(
                _LEADER_KEY, value, 0, "lead", lease
            )
        except PlatformUnavailableError:
            # The write may have taken effect.
            item = await self._store.get(_LEADER_KEY, "read leader")
            if item is None or item.value != value:
                raise
            result, revision = WriteResult.DONE, item.revision
        if result is not WriteResult.DONE:
            return None
        self._state.leader = LeaderRecord(
            self._instance, self._address, lease, revision
        )
        return LeaderTerm(lease, revision, sent_at, self._times, self._clock)

    async def _learn_leader(self) -> None:
        item = await self._store.get(_LEADER_KEY, "read leader")
        if item is None:
            self._state.leader = None
            return
        self._state.leader = _decode_record(item.value, item.revision)

    async def _renew(self, term: LeaderTerm) -> None:
        leader = self._state.leader
        if leader is not None and leader.instance != self._instance:
            await self._resign(f"{leader.instance} leads")
            return
        sent_at = self._clock()
        if await self._store.renew_lease(term.lease, "renew leader"):
            term.lease_renewed_at = sent_at
        elif self._term is term:
            await self._lead_anew(term)

    async def _lead_anew(self, term: LeaderTerm) -> None:
        """End a term whose lease has ended, and begin another one if nobody leads."""
        self._forget_record(term)
        await self._resign("the lease has ended")
        if self._state.leader is None:
            await self._try_to_lead(None)

    async def _hand_over(self) -> None:
        """Remove the own record, and cease to lead if that worked."""
        term = self._term
        if term is None:
            return
        try:
            await self._store.remove(_LEADER_KEY, term.revision, "resign")
        except PlatformUnavailableError as error:
            logger.bind(reason=str(error)).debug("leader record not removed yet")
            return
        if self._term is term:
            self._forget_record(term)
            await self._resign("stopping")

    def _forget_record(self, term: LeaderTerm) -> None:
        """Take the record of a term as gone."""
        leader = self._state.leader
        if leader is not None and leader.revision == term.revision:
            self._state.leader = None

    async def _resign(self, reason: str) -> None:
        term, self._term = self._term, None
        term.ended = True
        logger.bind(reason=reason).warning("no longer leading the site")
        try:
            await self._end()
        finally:
            self._ended.set()
        leader = self._state.leader
        if leader is None or leader.revision != term.revision:
            return
        self._state.leader = None
        try:
            await self._store.remove(_LEADER_KEY, term.revision, "resign")
        except PlatformUnavailableError as error:
            logger.bind(reason=str(error)).info("leader record left to its lease")
