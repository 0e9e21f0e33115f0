"""Keeps an instance's view of its site up to date from the key-value service.

The leader watches the platform's key-value service for all instances and broadcasts the
changes. Internal items, which the instances write themselves, are not broadcast.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from attrs import evolve
from loguru import logger

from basilwick.core.dispatch.change_cursor import ChangeCursor
from basilwick.core.dispatch.messages import ItemChange, LeaderHeartbeat, SharedChanges
from basilwick.core.errors import PlatformUnavailableError
from basilwick.platform.decoding import (
    CONFIGURATION_KEY,
    DATA_CENTRE_OUT_PREFIX,
    SERVERS_PREFIX,
    UnreadableEntryError,
    decode_configuration,
    decode_server,
)
from basilwick.platform.key_value_store import Change, RevisionCompactedError
from basilwick.runtime.fleet.loops import run_periodically

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.types import MonotonicSeconds
    from basilwick.metrics import FleetMetrics
    from basilwick.platform.key_value_store import KeyValueStore
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
#: Maximum number of faults logged per configuration; the metric counts all.
_MAX_LOGGED_FAULTS = 20


class InternalItemObserver(Protocol):
    """Receives the internal items, which the instances write themselves."""

    prefix: str

    def apply(self, change: Change) -> None:
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
        self._metrics = metrics
        link.on_changes = self._apply_shared
        listener.complete_heartbeat = self._complete_heartbeat
        metrics.changes_age_seconds.set_function(
            lambda: min(clock() - self._current_at, _MAX_REPORTED_AGE_S)
        )
        self._cursor = ChangeCursor()
        self._task: asyncio.Task[None] | None = None
        #: Local time of the last response of the key-value service.
        self._answered_at: MonotonicSeconds = float("-inf")
        #: Local time at which all changes were last known, either read by this instance
        #: or broadcast by the leader.
        self._current_at: MonotonicSeconds = float("-inf")
        self._failing = False
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
            self._current_at = now
            await self._follow_leader(heartbeat, now)
            return _FOLLOWER_CHECK_INTERVAL_S
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
        keys = {item.key for item in items}
        for item in items:
            self._apply(Change(item.key, item.value, item.revision))
        now = self._clock()
        self._view.retain_servers(_list_names(keys, SERVERS_PREFIX), now)
        out = _list_names(keys, DATA_CENTRE_OUT_PREFIX)
        for data_centre in self._view.data_centres_out - out:
            self._view.set_data_centre_out(data_centre, False, now)
        self._remove_unlisted_items(keys, revision)
        self._cursor.advance(revision)

    async def _read_internal_items(self, stale: bool) -> None:
        """Read the internal items, which the leader doesn't broadcast."""
        items, revision = await self._store.list_items(
            self._observer.prefix, "list own items", stale
        )
        for item in items:
            self._apply(Change(item.key, item.value, item.revision))
        self._remove_unlisted_items({item.key for item in items}, revision)

    def _remove_unlisted_items(self, keys: set[str], revision: int) -> None:
        internal_keys = {key for key in keys if self._is_internal(key)}
        self._observer.remove_unlisted(internal_keys, revision)
        self._internal_known_revision = max(self._internal_known_revision, revision)

    async def _read_changes(self, wait_s: float) -> None:
        after = self._cursor.revision
        read = await self._store.watch("", after, wait_s, "watch all")
        after_outage = self._failing
        if after_outage:
            self._view.record_platform_recovery(self._clock())
        latest = _select_latest(read.changes)
        # The leader may have broadcast later changes in the meantime.
        known = self._cursor.revision
        for change in latest:
            if change.revision > known or self._is_internal(change.key):
                self._apply(change)
        if self._internal_known_revision >= after:
            self._internal_known_revision = max(
                self._internal_known_revision, read.revision
            )
        if read.revision > after:
            self._broadcast(
                SharedChanges(after, read.revision, after_outage, ()), latest
            )
        self._cursor.advance(read.revision)

    def _is_internal(self, key: str) -> bool:
        return key.startswith(self._observer.prefix)

    def _broadcast(self, shared: SharedChanges, changes: Sequence[Change]) -> None:
        """Broadcast changes to the linked instances, which only a leader has."""
        if self._listener.instance_count == 1:
            return
        rows = [
            ItemChange(
                change.key,
                None if change.value is None else change.value.decode("latin-1"),
                change.revision,
            )
            for change in changes
            if not self._is_internal(change.key)
        ]
        self._listener.broadcast_changes(evolve(shared, changes=tuple(rows)))

    def _apply_shared(self, shared: SharedChanges) -> None:
        """Apply changes that the leader has broadcast."""
        changes = self._cursor.accept(shared)
        if changes and shared.after_outage:
            self._view.record_platform_recovery(self._clock())
        for change in changes:
            value = None if change.value is None else change.value.encode("latin-1")
            self._apply(Change(change.key, value, change.revision))

    def _apply(self, change: Change) -> None:
        key = change.key
        try:
            if key == CONFIGURATION_KEY:
                self._apply_configuration(change)
            elif key.startswith(SERVERS_PREFIX):
                self._apply_server(change)
            elif key.startswith(DATA_CENTRE_OUT_PREFIX):
                self._apply_data_centre_out(change)
            elif self._is_internal(key):
                self._internal_revision = max(self._internal_revision, change.revision)
                self._observer.apply(change)
        except UnreadableEntryError as error:
            logger.bind(key=key, revision=change.revision, reason=str(error)).warning(
                "passed over an unreadable entry"
            )

    def _apply_configuration(self, change: Change) -> None:
        if change.value is None:
            return
        decoded = decode_configuration(change.value, self._view.configuration)
        configuration = decoded.configuration
        if self._view.apply_configuration(configuration):
            self._metrics.configuration_version.set(configuration.version)
            self._metrics.unusable_resources.set(len(decoded.faults))
            for fault in decoded.faults[:_MAX_LOGGED_FAULTS]:
                logger.bind(version=configuration.version, reason=fault).warning(
                    "resource of the configuration is unusable as written"
                )
            logger.bind(
                version=configuration.version,
                revision=change.revision,
                routes=len(configuration.routes),
            ).info("configuration in force")

    def _apply_server(self, change: Change) -> None:
        name = change.key.removeprefix(SERVERS_PREFIX)
        now = self._clock()
        if change.value is None:
            self._view.remove_server(name, now)
            logger.bind(server=name, revision=change.revision).info("server left")
            return
        server = decode_server(name, change.value)
        if self._view.apply_server(server, now):
            logger.bind(
                server=name,
                service=server.service,
                leaving=server.leaving,
                warm_up_left_s=server.warm_up_left_s,
                revision=change.revision,
            ).info("server registered")

    def _apply_data_centre_out(self, change: Change) -> None:
        data_centre = change.key.removeprefix(DATA_CENTRE_OUT_PREFIX)
        out = change.value is not None
        self._view.set_data_centre_out(data_centre, out, self._clock())
        logger.bind(data_centre=data_centre, out=out, revision=change.revision).info(
            "data centre taken out" if out else "data centre taken back"
        )


def _select_latest(changes: Sequence[Change]) -> list[Change]:
    """Return the last change of each key, in order."""
    latest = {change.key: change for change in changes}
    return [change for change in changes if latest[change.key] is change]


def _list_names(keys: set[str], prefix: str) -> set[str]:
    return {key.removeprefix(prefix) for key in keys if key.startswith(prefix)}
