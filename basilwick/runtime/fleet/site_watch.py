"""Keeps an instance's view of its site up to date from the platform's service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from basilwick.core.errors import PlatformUnavailableError
from basilwick.platform.decoding import (
    CONFIGURATION_KEY,
    OUT_PREFIX,
    SERVERS_PREFIX,
    UnreadableEntryError,
    decode_configuration,
    decode_server,
)
from basilwick.platform.store import Change, HistoryLostError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.types import MonotonicSeconds
    from basilwick.platform.store import Store

__all__ = ["SiteWatch", "StateObserver"]

#: Interval in seconds between looks at the changes. Servers write all the time, so a
#: watch that were repeated at once would take the platform's rate of calls.
_INTERVAL_S = 1.0
#: Longest time in seconds for which a look waits for a change.
_WAIT_S = 1.0
#: Bounds in seconds of the random pause after a failed call.
_MIN_PAUSE_S = 0.15
_MAX_PAUSE_S = 0.4


class StateObserver(Protocol):
    """Takes the items that the instances themselves keep."""

    prefix: str

    def apply(self, change: Change) -> None:
        """Take a change of an own item."""

    def keep(self, keys: set[str]) -> None:
        """Drop the own items that a whole list doesn't name."""


class SiteWatch:
    """Reads all items once, then their changes at an interval.

    Parameters
    ----------
    store : Store
        The platform's service.
    view : SiteView
        Takes what the operators and servers wrote.
    observer : StateObserver
        Takes what the instances wrote.
    clock : callable
        Local clock in seconds.
    rng : random.Random
        Spreads the calls of the instances.
    """

    def __init__(
        self,
        store: Store,
        view: SiteView,
        observer: StateObserver,
        clock: Callable[[], MonotonicSeconds],
        rng: Random,
    ):
        self._store = store
        self._view = view
        self._observer = observer
        self._clock = clock
        self._rng = rng
        self._revision: int | None = None
        self._task: asyncio.Task[None] | None = None
        #: Local time at which the last successful call was sent.
        self.contact_at: MonotonicSeconds = float("-inf")
        self._failing = False

    async def start(self) -> None:
        """Begin to read."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            sent_at = self._clock()
            try:
                if self._revision is None:
                    await self._list_all()
                else:
                    await self._read_changes()
            except HistoryLostError as error:
                logger.bind(revision=self._revision, reason=str(error)).warning(
                    "history of the platform's service is lost; listing all items"
                )
                self._revision = None
                continue
            except PlatformUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(self._rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
                continue
            self._note_contact(sent_at)
            await asyncio.sleep(max(0.0, sent_at + _INTERVAL_S - self._clock()))

    def _note_failure(self, error: PlatformUnavailableError) -> None:
        if not self._failing:
            self._failing = True
            logger.bind(dependency="platform", reason=str(error)).warning(
                "lost the platform's service"
            )

    def _note_contact(self, sent_at: MonotonicSeconds) -> None:
        self.contact_at = sent_at
        if self._failing:
            self._failing = False
            self._view.note_platform_back(self._clock())
            logger.bind(dependency="platform", revision=self._revision).info(
                "regained the platform's service"
            )

    async def _list_all(self) -> None:
        items, revision = await self._store.list_items("", "list all")
        if self._failing:
            self._view.note_platform_back(self._clock())
        keys = {item.key for item in items}
        for item in items:
            self._apply(Change(item.key, item.value, item.revision))
        now = self._clock()
        self._view.keep_servers(_list_names(keys, SERVERS_PREFIX), now)
        out = _list_names(keys, OUT_PREFIX)
        for data_centre in self._view.data_centres_out - out:
            self._view.set_out(data_centre, False, now)
        self._observer.keep(
            {key for key in keys if key.startswith(self._observer.prefix)}
        )
        self._revision = revision

    async def _read_changes(self) -> None:
        changes = await self._store.watch("", self._revision, _WAIT_S, "watch all")
        if self._failing:
            self._view.note_platform_back(self._clock())
        for change in _keep_last(changes.changes):
            self._apply(change)
        self._revision = max(self._revision, changes.revision)

    def _apply(self, change: Change) -> None:
        key = change.key
        try:
            if key == CONFIGURATION_KEY:
                self._apply_configuration(change)
            elif key.startswith(SERVERS_PREFIX):
                self._apply_server(change)
            elif key.startswith(OUT_PREFIX):
                self._apply_out(change)
            elif key.startswith(self._observer.prefix):
                self._observer.apply(change)
        except UnreadableEntryError as error:
            logger.bind(key=key, revision=change.revision, reason=str(error)).warning(
                "passed over an unreadable entry"
            )

    def _apply_configuration(self, change: Change) -> None:
        if change.value is None:
            return
        configuration = decode_configuration(change.value)
        if self._view.apply_configuration(configuration):
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
        data_centre = change.key.removeprefix(OUT_PREFIX)
        out = change.value is not None
        self._view.set_out(data_centre, out, self._clock())
        logger.bind(data_centre=data_centre, out=out, revision=change.revision).info(
            "data centre taken out" if out else "data centre taken back"
        )


def _keep_last(changes: Sequence[Change]) -> list[Change]:
    """Return the last change of each key, in order."""
    last = {change.key: change for change in changes}
    return [change for change in changes if last[change.key] is change]


def _list_names(keys: set[str], prefix: str) -> set[str]:
    return {key.removeprefix(prefix) for key in keys if key.startswith(prefix)}
