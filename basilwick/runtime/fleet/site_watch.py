"""Keeps an instance's view of its site up to date from the platform's service."""

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

#: Interval in seconds between reads of the changes by an instance without a leader. A
#: fleet that repeated them at once would take the platform's rate of calls.
_INTERVAL_S = 1.0
#: The same for the leader, which reads for all instances.
_LEADER_INTERVAL_S = 0.25
#: Longest time in seconds for which a read waits for a change.
_WAIT_S = 1.0
#: The same for the leader, below the age up to which its changes count as complete.
_LEADER_WAIT_S = 0.7
#: Interval in seconds at which an instance checks whether the leader keeps it current.
_CHECK_S = 0.3
#: Time in seconds without news after which all items are listed. The changes of a
#: longer time can be more than a slow link carries in the time for one call.
_RELIST_AFTER_S = 3.0
#: Shortest interval in seconds between reads of the instances' own items, which the
#: leader doesn't pass on. They serve when the leader is lost.
_OWN_INTERVAL_S = 2.0
#: Age in seconds that is told of a service that never answered.
_LONGEST_AGE_S = 3600.0
#: Bounds in seconds of the random pause after a failed call.
_MIN_PAUSE_S = 0.15
_MAX_PAUSE_S = 0.4
#: Faults of one configuration that are logged; the metric counts all.
_MAX_LOGGED_FAULTS = 20


class InternalItemObserver(Protocol):
    """Takes the items that the instances themselves keep."""

    prefix: str

    def apply(self, change: Change) -> None:
        """Take a change of an own item."""

    def remove_unlisted(self, keys: set[str], revision: int) -> None:
        """Drop the own items that a whole list of a revision doesn't name."""


class SiteWatch:
    """Reads all items once, then their changes at an interval.

    Parameters
    ----------
    store : Store
        The platform's service.
    view : SiteView
        Takes what the operators and servers wrote.
    observer : InternalItemObserver
        Takes what the instances wrote.
    clock : callable
        Local clock in seconds.
    rng : random.Random
        Spreads the calls of the instances.
    link : LeaderLink
        Brings the changes that the leader has read.
    listener : LinkListener
        Passes changes on while this instance leads.
    metrics : FleetMetrics
        Counts resources that can't be used.
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
        link.on_changes = self._take_shared
        listener.complete_heartbeat = self._describe
        self._cursor = ChangeCursor()
        self._task: asyncio.Task[None] | None = None
        #: Local time of the last answer.
        self._answered_at: MonotonicSeconds = float("-inf")
        #: Local time at which all changes were last known, read or passed on.
        self._current_at: MonotonicSeconds = float("-inf")
        self._failing = False
        #: Revision of the last known change of an own item.
        self._own_revision = 0
        #: Revision up to which all changes of own items are known.
        self._own_known = 0
        self._own_read_at: MonotonicSeconds = float("-inf")

    async def start(self) -> None:
        """Begin to read."""
        self._task = asyncio.create_task(
            run_periodically("site watch", 0.0, self._look)
        )

    async def close(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _look(self) -> float:
        """Update once; returns the pause in seconds."""
        sent_at = self._clock()
        try:
            interval_s = await self._update(sent_at)
        except RevisionCompactedError as error:
            logger.bind(revision=self._cursor.revision, reason=str(error)).warning(
                "history of the platform's service is lost; listing all items"
            )
            self._cursor.revision = None
            return 0.0
        except PlatformUnavailableError as error:
            self._note_failure(error)
            return self._rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S)
        return max(0.0, sent_at + interval_s - self._clock())

    async def _update(self, now: MonotonicSeconds) -> float:
        """Learn what is new; returns the time in seconds to the next update."""
        heartbeat, heard_at = self._link.heartbeat
        if self._cursor.is_current(heartbeat, heard_at, now):
            self._current_at = now
            await self._follow(heartbeat, now)
            return _CHECK_S
        sharing = self._listener.instances > 1
        if now - self._current_at > _RELIST_AFTER_S:
            # Changes that the leader passes on meanwhile are not in the list.
            self._cursor.revision = None
        if self._cursor.revision is None:
            await self._list_all()
        else:
            if self._own_known < self._cursor.revision:
                await self._read_own_items(stale=False)
            await self._read_changes(_LEADER_WAIT_S if sharing else _WAIT_S)
        self._answered_at = self._current_at = self._clock()
        self._note_regained()
        return _LEADER_INTERVAL_S if sharing else _INTERVAL_S

    async def _follow(self, heartbeat: LeaderHeartbeat, now: MonotonicSeconds) -> None:
        """Read only what the leader doesn't pass on."""
        if self._failing:
            self._failing = False
            logger.bind(dependency="platform", revision=self._cursor.revision).info(
                "the leader passes on the changes of the platform's service"
            )
        if heartbeat.own_items_revision <= self._own_known:
            return
        if now - self._own_read_at < _OWN_INTERVAL_S:
            return
        self._own_read_at = now
        try:
            await self._read_own_items(stale=True)
        except PlatformUnavailableError as error:
            logger.bind(reason=str(error)).debug("own items not read")

    def _describe(self, heartbeat: LeaderHeartbeat) -> LeaderHeartbeat:
        """Add what this instance knows to the sign of life that it gives as leader."""
        platform_age_s = min(self._clock() - self._answered_at, _LONGEST_AGE_S)
        return evolve(
            heartbeat,
            revision=self._cursor.revision or 0,
            platform_age_s=round(platform_age_s, 3),
            own_items_revision=self._own_revision,
        )

    def _note_failure(self, error: PlatformUnavailableError) -> None:
        if not self._failing:
            self._failing = True
            logger.bind(dependency="platform", reason=str(error)).warning(
                "lost the platform's service"
            )

    def _note_regained(self) -> None:
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
        self._keep_own(keys, revision)
        self._cursor.advance(revision)

    async def _read_own_items(self, stale: bool) -> None:
        """Read the items that the instances keep, which the leader doesn't pass on."""
        items, revision = await self._store.list_items(
            self._observer.prefix, "list own items", stale
        )
        for item in items:
            self._apply(Change(item.key, item.value, item.revision))
        self._keep_own({item.key for item in items}, revision)

    def _keep_own(self, keys: set[str], revision: int) -> None:
        own = {key for key in keys if self._is_own(key)}
        self._observer.remove_unlisted(own, revision)
        self._own_known = max(self._own_known, revision)

    async def _read_changes(self, wait_s: float) -> None:
        after = self._cursor.revision
        read = await self._store.watch("", after, wait_s, "watch all")
        after_outage = self._failing
        if after_outage:
            self._view.record_platform_recovery(self._clock())
        last = _keep_last(read.changes)
        # The leader may have passed on later changes meanwhile.
        known = self._cursor.revision
        for change in last:
            if change.revision > known or self._is_own(change.key):
                self._apply(change)
        if self._own_known >= after:
            self._own_known = max(self._own_known, read.revision)
        if read.revision > after:
            self._share(SharedChanges(after, read.revision, after_outage, ()), last)
        self._cursor.advance(read.revision)

    def _is_own(self, key: str) -> bool:
        return key.startswith(self._observer.prefix)

    def _share(self, shared: SharedChanges, changes: Sequence[Change]) -> None:
        """Pass changes on, which does nothing unless this instance leads."""
        if self._listener.instances == 1:
            return
        rows = [
            ItemChange(
                change.key,
                None if change.value is None else change.value.decode("latin-1"),
                change.revision,
            )
            for change in changes
            if not self._is_own(change.key)
        ]
        self._listener.broadcast_changes(evolve(shared, changes=tuple(rows)))

    def _take_shared(self, shared: SharedChanges) -> None:
        """Apply changes that the leader has passed on."""
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
                self._apply_out(change)
            elif self._is_own(key):
                self._own_revision = max(self._own_revision, change.revision)
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
            self._metrics.unusable_resources.set(len(decoded.faults))
            for fault in decoded.faults[:_MAX_LOGGED_FAULTS]:
                logger.bind(version=configuration.version, reason=fault).warning(
                    "resource of the configuration is not used as written"
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

    def _apply_out(self, change: Change) -> None:
        data_centre = change.key.removeprefix(DATA_CENTRE_OUT_PREFIX)
        out = change.value is not None
        self._view.set_data_centre_out(data_centre, out, self._clock())
        logger.bind(data_centre=data_centre, out=out, revision=change.revision).info(
            "data centre taken out" if out else "data centre taken back"
        )


def _keep_last(changes: Sequence[Change]) -> list[Change]:
    """Return the last change of each key, in order."""
    last = {change.key: change for change in changes}
    return [change for change in changes if last[change.key] is change]


def _list_names(keys: set[str], prefix: str) -> set[str]:
    return {key.removeprefix(prefix) for key in keys if key.startswith(prefix)}
