"""Keeps an instance's view of its site up to date from the key-value service.

The leader watches the platform's key-value service for all instances, broadcasts the
changes, and sends an instance the changes that it lacks. Internal items, which the
instances write themselves, are not passed on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from attrs import evolve
from loguru import logger

from basilwick.core.dispatch.change_cursor import ChangeCursor
from basilwick.core.dispatch.known_items import ItemVersion, KnownItems
from basilwick.core.dispatch.messages import LeaderHeartbeat, SharedChanges
from basilwick.core.dispatch.packed_changes import (
    MissingBaseError,
    PackedChanges,
    pack_changes,
    unpack_changes,
)
from basilwick.core.errors import PlatformUnavailableError
from basilwick.platform.key_value_store import RevisionCompactedError, get_era
from basilwick.runtime.fleet.catch_up import LeaderCatchUp
from basilwick.runtime.fleet.item_applier import ItemApplier
from basilwick.runtime.fleet.loops import run_periodically

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.types import MonotonicSeconds
    from basilwick.metrics import FleetMetrics
    from basilwick.platform.key_value_store import Change, Item, KeyValueStore
    from basilwick.runtime.fleet.leader_links import LeaderLink, LinkListener

__all__ = ["SiteWatch", "InternalItemObserver"]

#: Interval in seconds between reads of the changes by an instance without a leader. If
#: all instances read again at once, they would use up the platform's rate limit.
_UPDATE_INTERVAL_S = 1.0
#: Interval in seconds between reads by the leader, which reads for all instances.
_LEADER_UPDATE_INTERVAL_S = 0.25
#: Maximum time in seconds for which a read waits for a change.
_WATCH_TIMEOUT_S = 1.0
#: Maximum time in seconds for which a read by the leader waits. It is below the age up
#: to which the leader's changes count as complete.
_LEADER_WATCH_TIMEOUT_S = 0.7
#: Interval in seconds between checks whether the leader keeps this instance up to date.
_FOLLOWER_CHECK_INTERVAL_S = 0.3
#: Time in seconds without an update after which all items are listed. The changes of a
#: longer time can be too many for a slow connection to transfer within one call.
_RELIST_AFTER_S = 3.0
#: Minimum interval in seconds between reads of internal items, which the leader doesn't
#: broadcast. They are needed when the leader is lost.
_MIN_INTERNAL_READ_INTERVAL_S = 2.0
#: Maximum age in seconds that is reported, also if the service has never answered.
_MAX_REPORTED_AGE_S = 3600.0
#: Range in seconds of the random delay after a failed call.
_MIN_RETRY_DELAY_S = 0.15
_MAX_RETRY_DELAY_S = 0.4
#: Interval in seconds between checks while changes of the leader are expected.
_TRANSFER_CHECK_INTERVAL_S = 0.05
#: Time in seconds for which a starting instance waits until it knows whether there is a
#: leader, and then until it is linked, before it lists all items itself.
_FIND_LEADER_S = 0.2
_LINK_LEADER_S = 0.8


class InternalItemObserver(Protocol):
    """Receives the internal items, which the instances write themselves."""

    prefix: str

    def apply(self, change: ItemVersion) -> None:
        """Apply a change of an internal item."""

    def remove_unlisted(self, keys: set[str], revision: int) -> None:
        """Remove internal items that are missing from a complete listing."""


class SiteWatch:
    """Lists all items once, then reads their changes periodically.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    view : SiteView
        Receives the items that operators and servers wrote.
    observer : InternalItemObserver
        Receives the items that instances wrote.
    clock : callable
        Local clock in seconds.
    rng : random.Random
        Spreads the retries of the instances.
    link : LeaderLink
        Delivers the changes that the leader has read.
    listener : LinkListener
        Broadcasts changes while this instance leads.
    metrics : FleetMetrics
        Reports the number of unusable resources of the configuration.
    """

    def __init__(
        self,
        store: KeyValueStore,
        view: SiteView,
        observer: InternalItemObserver,
        clock: Callable[[], MonotonicSeconds],
        rng: Random,
        link: LeaderLink,
        listener: LinkListener,
        metrics: FleetMetrics,
    ):
        self._store = store
        self._view = view
        self._observer = observer
        self._clock = clock
        self._rng = rng
        self._link = link
        self._listener = listener
        self._items = KnownItems()
        self._applier = ItemApplier(view, clock, metrics)
        link.on_changes = self._apply_shared
        link.on_packed_changes = self._apply_packed
        listener.changes.source = self
        listener.complete_heartbeat = self._complete_heartbeat
        metrics.changes_age_seconds.set_function(self.get_changes_age)
        self._cursor = ChangeCursor()
        self._task: asyncio.Task[None] | None = None
        #: Local time of the last response of the key-value service.
        self._answered_at: MonotonicSeconds = float("-inf")
        #: Local time at which all changes were last known, either read by this instance
        #: or broadcast by the leader.
        self._current_at: MonotonicSeconds = float("-inf")
        self._failing = False
        #: Era of the last revision that was listed or passed on.
        self._era: int | None = None
        self._catch_up = LeaderCatchUp(link)
        #: Local time until which a starting instance waits for news of a leader; None
        #: until the internal items were read.
        self._leader_expected_until: MonotonicSeconds | None = None
        #: Revision of the last known change of an internal item.
        self._internal_revision = 0
        #: Revision up to which all changes of internal items are known.
        self._internal_known_revision = 0
        self._internal_read_at: MonotonicSeconds = float("-inf")

    async def start(self) -> None:
        """Start reading items."""
        self._task = asyncio.create_task(
            run_periodically("site watch", 0.0, self._run_step)
        )

    async def close(self) -> None:
        """Stop reading items."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def get_changes_age(self) -> float:
        """Return the seconds since all changes of the service were last known."""
        now = self._clock()
        heartbeat, heard_at = self._link.heartbeat
        known_at = self._current_at
        if self._cursor.is_current(heartbeat, heard_at, now):
            known_at = max(known_at, heard_at - heartbeat.platform_age_s)
        return min(now - known_at, _MAX_REPORTED_AGE_S)

    def get_known_revision(self) -> int:
        """Return the revision up to which all changes of the service are known."""
        return self._cursor.revision or 0

    async def _run_step(self) -> float:
        """Update once; returns the pause in seconds."""
        sent_at = self._clock()
        try:
            interval_s = await self._update(sent_at)
        except RevisionCompactedError as error:
            logger.bind(revision=self._cursor.revision, reason=str(error)).warning(
                "changes since the known revision are unavailable; listing all items"
            )
            self._cursor.revision = None
            return 0.0
        except PlatformUnavailableError as error:
            self._record_failure(error)
            return self._rng.uniform(_MIN_RETRY_DELAY_S, _MAX_RETRY_DELAY_S)
        return max(0.0, sent_at + interval_s - self._clock())

    async def _update(self, now: MonotonicSeconds) -> float:
        """Apply new changes; returns the interval in seconds to the next update."""
        heartbeat, heard_at = self._link.heartbeat
        if self._cursor.is_current(heartbeat, heard_at, now):
            self._current_at = max(
                self._current_at, heard_at - heartbeat.platform_age_s
            )
            await self._follow_leader(heartbeat, now)
            return _FOLLOWER_CHECK_INTERVAL_S
        if self._catch_up.expects_changes(self._cursor, now):
            return _TRANSFER_CHECK_INTERVAL_S
        if self._cursor.revision is None and await self._expect_leader(now):
            return _TRANSFER_CHECK_INTERVAL_S
        broadcasting = self._listener.instance_count > 1
        if now - self._current_at > _RELIST_AFTER_S:
            # The list lacks the changes that the leader broadcasts while it is read. A
            # cursor without a revision rejects them, and they are read afterwards.
            self._cursor.revision = None
        if self._cursor.revision is None:
            await self._list_all()
        else:
            if self._internal_known_revision < self._cursor.revision:
                await self._read_internal_items(stale=False)
            await self._read_changes(
                _LEADER_WATCH_TIMEOUT_S if broadcasting else _WATCH_TIMEOUT_S
            )
        self._answered_at = self._current_at = self._clock()
        self._record_recovery()
        return _LEADER_UPDATE_INTERVAL_S if broadcasting else _UPDATE_INTERVAL_S

    async def _expect_leader(self, now: MonotonicSeconds) -> bool:
        """Return whether a starting instance should wait for a link to the leader."""
        if self._leader_expected_until is None:
            await self._read_internal_items(stale=False)
            self._leader_expected_until = self._clock() + _FIND_LEADER_S
            return True
        expected_until = self._leader_expected_until
        if self._link.has_leader_address and not self._link.connection_refused:
            expected_until += _LINK_LEADER_S
        return now < expected_until

    async def _follow_leader(
        self, heartbeat: LeaderHeartbeat, now: MonotonicSeconds
    ) -> None:
        """Read only the internal items, which the leader doesn't broadcast."""
        if self._failing:
            self._failing = False
            logger.bind(dependency="platform", revision=self._cursor.revision).info(
                "the leader passes on the changes of the platform's service"
            )
        if heartbeat.internal_items_revision <= self._internal_known_revision:
            return
        if now - self._internal_read_at < _MIN_INTERNAL_READ_INTERVAL_S:
            return
        self._internal_read_at = now
        try:
            await self._read_internal_items(stale=True)
        except PlatformUnavailableError as error:
            logger.bind(reason=str(error)).debug("failed to read the internal items")

    def _complete_heartbeat(self, heartbeat: LeaderHeartbeat) -> LeaderHeartbeat:
        """Add the state of the key-value service to a heartbeat of the leader."""
        platform_age_s = min(self._clock() - self._answered_at, _MAX_REPORTED_AGE_S)
        return evolve(
            heartbeat,
            revision=self._cursor.revision or 0,
            platform_age_s=round(platform_age_s, 3),
            internal_items_revision=self._internal_revision,
        )

    def _record_failure(self, error: PlatformUnavailableError) -> None:
        if not self._failing:
            self._failing = True
            logger.bind(dependency="platform", reason=str(error)).warning(
                "lost the platform's service"
            )

    def _record_recovery(self) -> None:
        if self._failing:
            self._failing = False
            self._view.record_platform_recovery(self._clock())
            logger.bind(dependency="platform", revision=self._cursor.revision).info(
                "regained the platform's service"
            )

    async def _list_all(self) -> None:
        items, revision = await self._store.list_items("", "list all")
        if self._failing:
            self._view.record_platform_recovery(self._clock())
        self._record_era(revision)
        versions = [_make_version(item) for item in items]
        internal = [version for version in versions if self._is_internal(version.key)]
        for version in internal:
            self._apply(version)
        self._remove_unlisted_items({version.key for version in internal}, revision)
        self._apply_listing(
            [version for version in versions if not self._is_internal(version.key)],
            revision,
        )

    def _record_era(self, revision: int) -> None:
        """Expect missing items to be written again if the service was restored."""
        era = get_era(revision)
        if self._era is not None and era > self._era:
            self._view.record_platform_recovery(self._clock())
            self._items.begin_era(revision)
        self._era = era

    def _apply_listing(self, items: Sequence[ItemVersion], revision: int) -> None:
        """Apply all items that operators and servers wrote, and remove the others."""
        for item in items:
            self._apply(item)
        keys = {item.key for item in items}
        self._items.record_listing(keys, revision)
        self._applier.retain_listed(keys)
        self._cursor.advance(revision)

    async def _read_internal_items(self, stale: bool) -> None:
        """Read the internal items, which the leader doesn't broadcast."""
        items, revision = await self._store.list_items(
            self._observer.prefix, "list own items", stale
        )
        for item in items:
            self._apply(_make_version(item))
        self._remove_unlisted_items({item.key for item in items}, revision)

    def _remove_unlisted_items(self, keys: set[str], revision: int) -> None:
        self._observer.remove_unlisted(keys, revision)
        self._internal_known_revision = max(self._internal_known_revision, revision)

    async def _read_changes(self, wait_s: float) -> None:
        after = self._cursor.revision
        read = await self._store.watch("", after, wait_s, "watch all")
        after_outage = self._failing
        if after_outage:
            self._view.record_platform_recovery(self._clock())
        latest = _select_latest(read.changes)
        former = {change.key: self._items.find(change.key) for change in latest}
        for change in latest:
            self._apply(_make_version(change))
        if self._internal_known_revision >= after:
            self._internal_known_revision = max(
                self._internal_known_revision, read.revision
            )
        if read.revision > after:
            self._broadcast(
                SharedChanges(after, read.revision, after_outage, ()), latest, former
            )
        self._cursor.advance(read.revision)

    def _is_internal(self, key: str) -> bool:
        return key.startswith(self._observer.prefix)

    def _broadcast(
        self,
        shared: SharedChanges,
        changes: Sequence[Change],
        former: dict[str, ItemVersion | None],
    ) -> None:
        """Broadcast changes to the linked instances, which only a leader has."""

        def find_base(key: str) -> ItemVersion | None:
            # Instances that know all changes up to `after` know this version.
            base = former[key]
            return base if base is not None and base.revision <= shared.after else None

        items = [_make_version(c) for c in changes if not self._is_internal(c.key)]
        self._listener.changes.broadcast(self._listener.links, shared, items, find_base)

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known, 0 before the first listing."""
        return self._cursor.revision or 0

    def collect_missing(self, after: int) -> PackedChanges | None:
        """Return the changes after a revision, None if they are not known here."""
        revision = self._cursor.revision
        if revision is None or after > revision:
            return None
        missing = self._items.list_missing(after)
        after_outage = self._view.in_registration_grace(self._clock())
        return PackedChanges(
            max(0, after),
            revision,
            after_outage,
            missing.complete,
            pack_changes(missing.items),
        )

    def _apply_shared(self, shared: SharedChanges) -> None:
        """Apply changes that the leader has broadcast."""
        changes = self._cursor.accept(shared)
        if changes and shared.after_outage:
            self._view.record_platform_recovery(self._clock())
        for change in changes:
            value = None if change.value is None else change.value.encode("latin-1")
            self._apply(ItemVersion(change.key, value, change.revision))

    def _apply_packed(self, packed: PackedChanges) -> None:
        """Apply changes that the leader has packed."""
        self._catch_up.finish()
        known_revision = self._cursor.revision
        if not self._cursor.covers(packed.after, packed.complete):
            return
        if known_revision is not None and packed.revision <= known_revision:
            return
        unpack_after = -1 if packed.complete else known_revision
        try:
            items = unpack_changes(packed.data, unpack_after, self._items.find)
        except MissingBaseError as error:
            logger.bind(revision=packed.revision, reason=str(error)).debug(
                "cannot apply changes of the leader; asking for them"
            )
            return
        except ValueError as error:
            logger.bind(revision=packed.revision, reason=str(error)).warning(
                "ignored changes of the leader"
            )
            return
        if packed.after_outage:
            self._view.record_platform_recovery(self._clock())
        self._record_era(packed.revision)
        if packed.complete:
            self._apply_listing(items, packed.revision)
            return
        for item in items:
            self._apply(item)
        self._cursor.advance(packed.revision)

    def _apply(self, item: ItemVersion) -> None:
        """Apply an item; an unexpected error costs this item alone."""
        try:
            if self._is_internal(item.key):
                self._internal_revision = max(self._internal_revision, item.revision)
                self._observer.apply(item)
            elif self._items.record(item):
                self._applier.apply(item)
        except Exception as error:
            logger.bind(
                key=item.key[:200], revision=item.revision, reason=repr(error)[:200]
            ).error("passed over an entry after an unexpected error")


def _make_version(item: Item | Change) -> ItemVersion:
    return ItemVersion(item.key, item.value, item.revision)


def _select_latest(changes: Sequence[Change]) -> list[Change]:
    """Return the last change of each key, in order."""
    latest = {change.key: change for change in changes}
    return [change for change in changes if latest[change.key] is change]
