"""Elects the instance that leads the site.

The leader is the instance named in the leader record, a key of the platform's key-value
service that is bound to a lease. A single leader saves work, but correctness doesn't
depend on it: each key has at most one owner even with two leaders at a time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from basilwick.core.errors import PlatformUnavailableError
from basilwick.platform.key_value_store import WriteResult, get_era
from basilwick.runtime.fleet.leader_term import LeaderTerm
from basilwick.runtime.fleet.loops import run_periodically
from basilwick.runtime.fleet.stored_state import (
    LEADER_KEY,
    LeaderRecord,
    decode_leader_record,
    encode_leader_record,
)
from basilwick.transport.link import LINK_VERSION

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from basilwick.core.dispatch.messages import LeaderResigned
    from basilwick.core.ranges.orders import OwnershipTimings
    from basilwick.core.types import MonotonicSeconds
    from basilwick.platform.key_value_store import KeyValueStore
    from basilwick.runtime.fleet.leader_links import LeaderLink
    from basilwick.runtime.fleet.stored_state import StoredState

__all__ = ["LeaderElection"]

#: Interval in seconds between renewals of the leader's lease.
_RENEWAL_INTERVAL_S = 0.5
#: Interval in seconds between checks of who leads, without and with a live link to the
#: leader.
_CHECK_INTERVAL_S = 0.1
_LINKED_CHECK_INTERVAL_S = 0.25
#: Maximum random delay in seconds before an instance tries to become the leader.
_MAX_JITTER_S = 0.25
#: Additional delay in seconds of instances with few processor cores, so that a stronger
#: one becomes the leader: the leader's processor limits what the site can serve.
_WEAKER_DELAY_S = 0.8
#: An instance waits for the additional delay if its number of cores is below this ratio
#: of the largest number of any instance.
_STRONG_CORES_RATIO = 0.9
#: Time in seconds without a message from the leader after which an instance reads the
#: leader record.
_UNREACHABLE_AFTER_S = 0.6
#: Time in seconds after a leader's resignation in which an instance reads the leader
#: record at each check, and prefers the named successor.
_RESIGNATION_S = 1.5
#: Time in seconds for which an instance that handed over doesn't stand for election;
#: its successor needs less than a second.
_HANDOVER_PAUSE_S = 3.0


class LeaderElection:
    """Takes part in the election of the leader.

    A term of leadership ends with its lease. An instance that writes the leader record
    again starts a new term.

    Parameters
    ----------
    instance, address : str
        Name of this instance and the address at which it accepts links.
    cores : float
        Number of processor cores of this instance.
    store : KeyValueStore
        Stores the leader record.
    state : StoredState
        Last known leader record.
    link : LeaderLink
        Link to the leader.
    begin_term, end_term : callable
        Called when a term of this instance starts or ends.
    timings : OwnershipTimings
        Time limits of the lease.
    clock : callable
        Local clock in seconds.
    rng : random.Random
        Spreads the attempts of the instances.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        cores: float,
        store: KeyValueStore,
        state: StoredState,
        link: LeaderLink,
        begin_term: Callable[[LeaderTerm], Awaitable[None]],
        end_term: Callable[[], Awaitable[None]],
        timings: OwnershipTimings,
        clock: Callable[[], MonotonicSeconds],
        rng: Random,
    ):
        self._instance = instance
        self._address = address
        self._cores = cores
        self._store = store
        self._state = state
        self._link = link
        self._begin_term = begin_term
        self._end_term = end_term
        self._timings = timings
        self._clock = clock
        self._rng = rng
        self._term: LeaderTerm | None = None
        self._task: asyncio.Task[None] | None = None
        self._withdrawn = False
        #: Local time from which this instance stands for election.
        self._stands_from: MonotonicSeconds = float("-inf")
        #: Record of the leader that this instance follows, and identities of the
        #: records of earlier leaders.
        self._followed: LeaderRecord | None = None
        self._earlier_records: set[tuple[str, int]] = set()
        #: Set unless a leader role of this instance runs or is being closed.
        self._role_closed = asyncio.Event()
        self._role_closed.set()

    @property
    def leading(self) -> bool:
        """Whether this instance is the leader."""
        return self._term is not None

    async def start(self) -> None:
        """Start the periodic checks of who leads."""
        self._task = asyncio.create_task(
            run_periodically("leadership", _CHECK_INTERVAL_S, self._run_step)
        )

    async def close(self) -> None:
        """Stop the checks; a leader resigns and removes its record."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.leading:
            await self._resign("stopping")

    async def withdraw(self) -> None:
        """Stop standing for election, and resign once another instance can take over.

        While the platform's key-value service is unavailable no other instance could
        become the leader, and without a leader the grants of the keys would expire. A
        leader therefore continues until the removal of its record succeeds, or until
        ``close``.
        """
        self._withdrawn = True
        await self._remove_record()

    async def wait_stepped_down(self, timeout_s: float) -> None:
        """Wait until this instance no longer leads and its leader role is closed.

        Parameters
        ----------
        timeout_s : float
            Maximum wait in seconds.
        """
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._role_closed.wait()
        except TimeoutError:
            logger.bind(leading=self.leading).warning(
                "stopping before the leader role is closed"
            )

    async def step_down(self, reason: str) -> None:
        """Resign if this instance is the leader.

        Parameters
        ----------
        reason : str
            Reason for the log.
        """
        if self.leading:
            await self._resign(reason)

    async def hand_over(self, successor: str) -> None:
        """Resign in favour of another instance."""
        if self.leading:
            self._stands_from = self._clock() + _HANDOVER_PAUSE_S
            await self._resign(f"{successor} is much stronger")

    def _find_resignation(self) -> LeaderResigned | None:
        """Return the resignation of the last leader if it is recent."""
        recent = self._clock() - self._link.resigned_at < _RESIGNATION_S
        return self._link.resignation if recent else None

    async def _run_step(self) -> float | None:
        """Renew the lease or check who leads; returns the pause in seconds."""
        try:
            if self.leading and self._withdrawn:
                await self._remove_record()
                return None
            if self._term is not None:
                await self._renew(self._term)
                return _RENEWAL_INTERVAL_S
            await self._follow_leader()
            if self._link.alive:
                return _LINKED_CHECK_INTERVAL_S
        except PlatformUnavailableError as error:
            logger.bind(reason=str(error)).debug("leader record unavailable")
        except ValueError as error:
            logger.bind(reason=str(error)).warning("cannot decode the leader record")
        return None

    async def _follow_leader(self) -> None:
        """Link to the leader, or try to become the leader if there is none."""
        leader = self._state.leader
        if self._is_outdated(leader):
            return
        own = leader is not None and leader.instance == self._instance
        if leader is None or own:
            self._link.set_leader_address(None)
        else:
            self._record_followed(leader)
            self._link.set_leader_address(leader.address, leader.link_version)
        if self._withdrawn or self._link.alive:
            return
        if leader is None or own:
            await self._defer_to_stronger()
            if self._state.leader == leader:
                await self._try_start_term(leader)
        elif self._link.connection_refused:
            # The leader's process is gone, although its lease has not expired yet.
            await self._defer_to_stronger()
            if self._state.leader == leader and self._link.connection_refused:
                await self._try_start_term(leader)
        elif self._find_resignation() is not None:
            await self._read_record()
        elif self._link.last_message_age_s > _UNREACHABLE_AFTER_S:
            await self._check_record_exists()
            await asyncio.sleep(_UNREACHABLE_AFTER_S * self._rng.uniform(0.5, 1.0))

    def _record_followed(self, leader: LeaderRecord) -> None:
        if self._followed is not None and self._followed.identity != leader.identity:
            self._earlier_records.add(self._followed.identity)
        self._followed = leader

    def _is_outdated(self, record: LeaderRecord | None) -> bool:
        """Return whether a restored service has lost the record of a living leader.

        It then has none, or that of an earlier leader. The living one writes its record
        again.
        """
        followed = self._followed
        if followed is None or not self._link.alive:
            return False
        restored = get_era(followed.revision) < (self._store.era or 0)
        is_earlier = record is None or record.identity in self._earlier_records
        return restored and is_earlier

    async def _defer_to_stronger(self) -> None:
        """Wait so that an instance with more cores becomes the leader first."""
        resignation = self._find_resignation()
        successor = resignation.successor if resignation is not None else ""
        if successor == self._instance:
            return
        delay_s = self._rng.uniform(0.0, _MAX_JITTER_S)
        if successor or self._cores < _STRONG_CORES_RATIO * self._link.max_cores:
            delay_s += _WEAKER_DELAY_S
        await asyncio.sleep(delay_s)

    async def _check_record_exists(self) -> None:
        """Clear the known leader if its record is gone."""
        item = await self._store.get(LEADER_KEY, "read leader")
        if item is None:
            self._state.leader = None

    async def _try_start_term(self, former_record: LeaderRecord | None) -> None:
        """Try to become the leader after a former one, or without any."""
        paused = self._clock() < self._stands_from
        if self._withdrawn or paused or not self._role_closed.is_set():
            return
        if former_record is not None:
            # If the former leader is still alive, it finds that its lease has ended.
            await self._store.end_lease(former_record.lease, "lead")
        term = await self._write_record()
        if term is None:
            await self._read_record()
            return
        for known in (self._followed, former_record):
            if known is not None:
                self._earlier_records.add(known.identity)
        self._followed = None
        term.earlier_records = frozenset(self._earlier_records)
        self._link.set_leader_address(None)
        self._term = term
        self._role_closed.clear()
        logger.bind(
            revision=term.revision, former=former_record and former_record.instance
        ).info("leading the site")
        await self._begin_term(term)

    async def _write_record(self) -> LeaderTerm | None:
        """Write a record that names this instance, unless there is a record.

        Returns
        -------
        LeaderTerm or None
            Term of this instance, or None if there is a leader record.
        """
        sent_at = self._clock()
        lease = await self._store.create_lease(self._timings.lease_s, "lead")
        value = encode_leader_record(self._instance, self._address, lease, LINK_VERSION)
        try:
            result, revision = await self._store.write(
                LEADER_KEY, value, 0, "lead", lease
            )
        except PlatformUnavailableError:
            # The write may have taken effect.
            item = await self._store.get(LEADER_KEY, "read leader")
            if item is None or item.value != value:
                raise
            result, revision = WriteResult.DONE, item.revision
        if result is not WriteResult.DONE:
            return None
        self._state.leader = LeaderRecord(
            self._instance, self._address, lease, revision, LINK_VERSION
        )
        era = get_era(revision)
        return LeaderTerm(lease, revision, sent_at, self._timings, self._clock, era)

    async def _read_record(self) -> None:
        item = await self._store.get(LEADER_KEY, "read leader")
        if item is None:
            self._state.leader = None
            return
        self._state.leader = decode_leader_record(item.value, item.revision)

    async def _renew(self, term: LeaderTerm) -> None:
        leader = self._state.leader
        if leader is not None and leader.instance != self._instance:
            is_copied = leader.identity in term.earlier_records
            if not is_copied or get_era(leader.revision) <= term.era:
                await self._resign(f"{leader.instance} leads")
                return
        sent_at = self._clock()
        renewed = await self._store.renew_lease(term.lease, "renew leader")
        if renewed and self._store.era != term.era:
            renewed = await self._continue_after_restore(term)
        elif not renewed and self._store.era != term.era:
            renewed = await self._regain_record(term)
        if renewed:
            term.lease_renewed_at = sent_at
        elif self._term is term:
            await self._restart_term(term)

    async def _continue_after_restore(self, term: LeaderTerm) -> bool:
        """Continue a term if the copy of the service contains its record."""
        item = await self._store.get(LEADER_KEY, "read leader")
        if item is None:
            return False
        record = decode_leader_record(item.value, item.revision)
        if record.instance != self._instance or record.lease != term.lease:
            return False
        if not term.continue_in_era(get_era(item.revision), item.revision):
            return False
        self._state.leader = record
        self._log_continued(term)
        return True

    async def _regain_record(self, term: LeaderTerm) -> bool:
        """Continue a term whose record is newer than the copy of the service.

        The copy may contain the record of an earlier leader. A leader that was elected
        after the return has a record that is unknown here, and stays.
        """
        if not term.may_renew_grants():
            return False
        item = await self._store.get(LEADER_KEY, "read leader")
        if item is not None:
            record = decode_leader_record(item.value, item.revision)
            if record.identity not in term.earlier_records:
                return False
            await self._store.end_lease(record.lease, "lead")
        written = await self._write_record()
        if written is None or not term.continue_in_era(written.era, written.revision):
            return False
        term.lease = written.lease
        # Another leader may have come and gone since the return.
        term.uncertain = True
        self._log_continued(term)
        return True

    def _log_continued(self, term: LeaderTerm) -> None:
        logger.bind(era=term.era, uncertain=term.uncertain).warning(
            "leading the site on after the service was restored"
        )

    async def _restart_term(self, term: LeaderTerm) -> None:
        """End a term whose lease has ended; start another if no leader is known."""
        self._clear_leader(term)
        await self._resign("the lease has ended")
        if self._state.leader is None:
            await self._try_start_term(None)

    async def _remove_record(self) -> None:
        """Remove the record of the current term, and resign if that succeeded."""
        term = self._term
        if term is None:
            return
        try:
            await self._store.remove(LEADER_KEY, term.revision, "resign")
        except PlatformUnavailableError as error:
            logger.bind(reason=str(error)).debug("leader record not removed yet")
            return
        if self._term is term:
            self._clear_leader(term)
            await self._resign("stopping")

    def _clear_leader(self, term: LeaderTerm) -> None:
        """Clear the known leader record if it was written for a term."""
        leader = self._state.leader
        if leader is not None and leader.revision == term.revision:
            self._state.leader = None

    async def _resign(self, reason: str) -> None:
        term, self._term = self._term, None
        term.ended = True
        logger.bind(reason=reason).warning("no longer leading the site")
        try:
            await self._end_term()
        finally:
            self._role_closed.set()
        leader = self._state.leader
        if leader is None or leader.revision != term.revision:
            return
        self._state.leader = None
        try:
            await self._store.remove(LEADER_KEY, term.revision, "resign")
        except PlatformUnavailableError as error:
            logger.bind(reason=str(error)).info("leader record left to its lease")
