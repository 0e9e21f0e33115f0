"""What an instance does while it leads its site."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.errors import PlatformUnavailableError
from basilwick.core.ranges.owner_selector import OwnerSelector
from basilwick.runtime.fleet.dispatch_runner import DispatchRunner
from basilwick.runtime.fleet.loops import run_periodically
from basilwick.runtime.fleet.range_manager import DeposedError, RangeManager

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable
    from random import Random

    from basilwick.core.deployment import Deployment
    from basilwick.core.dispatch.dispatcher import DispatchDecision
    from basilwick.core.dispatch.messages import DispatchRequest
    from basilwick.core.dispatch.retry_window import RetryBudget
    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.ranges.orders import OwnershipTimings
    from basilwick.core.types import MonotonicSeconds, ServiceName
    from basilwick.platform.key_value_store import KeyValueStore
    from basilwick.runtime.fleet.range_manager import LeaderAuthority
    from basilwick.transport.server_client import ServerClient

__all__ = ["LeaderRole"]

#: Interval in seconds between looks at orders that are due.
_TICK_INTERVAL_S = 0.05
#: Interval in seconds between looks for services without a keeper.
_TAKE_INTERVAL_S = 0.1
#: Interval in seconds between plans of moves.
_PLAN_INTERVAL_S = 0.4


class _MeasuringDesk(DispatchRunner):
    """Desk that also measures the load of each key."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Callable[[], MonotonicSeconds],
        keepers: dict[ServiceName, RangeManager],
    ):
        super().__init__(dispatcher, clock)
        self._range_managers = keepers

    def submit(
        self,
        peer: Hashable,
        ask: DispatchRequest,
        reply: Callable[[DispatchDecision | None], None],
    ) -> None:
        keeper = self._range_managers.get(ask.service)
        if keeper is not None and ask.key >= 0 and ask.attempt == 1:
            keeper.selection.load.record(ask.key, self._clock())
        super().submit(peer, ask, reply)


class LeaderRole:
    """Dispatcher of the whole site and keeper of all key ranges.

    Parameters
    ----------
    authority : LeaderAuthority
        Which orders may be sent now.
    """

    def __init__(
        self,
        deployment: Deployment,
        view: SiteView,
        store: KeyValueStore,
        client: ServerClient,
        bounds: RetryBudget,
        times: OwnershipTimings,
        clock: Callable[[], MonotonicSeconds],
        rng: Random,
        authority: LeaderAuthority,
    ):
        self._view = view
        self._store = store
        self._client = client
        self._times = times
        self._clock = clock
        self._authority = authority
        self._range_managers: dict[ServiceName, RangeManager] = {}
        dispatcher = Dispatcher(view, self, bounds, deployment.regions, rng)
        self.runner = _MeasuringDesk(dispatcher, clock, self._range_managers)
        self._tasks: list[asyncio.Task[None]] = []
        self._planned_at = clock()
        self.deposed = False

    async def start(self) -> None:
        """Begin to lead."""
        await self.runner.start()
        self._tasks = [
            asyncio.create_task(
                run_periodically("orders", _TICK_INTERVAL_S, self._order)
            ),
            asyncio.create_task(
                run_periodically("services", _TAKE_INTERVAL_S, self._take_new_services)
            ),
        ]

    async def close(self) -> None:
        """Stop leading."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for keeper in self._range_managers.values():
            await keeper.close()
        await self.runner.close()

    def find_owner(
        self, service: ServiceName, key: int, now: MonotonicSeconds
    ) -> KeyOwner:
        """Return the owner of a key."""
        keeper = self._range_managers.get(service)
        if keeper is None or keeper.control is None:
            return KeyOwner(None, moving=True)
        return keeper.control.find_owner(service, key, now)

    async def _order(self) -> None:
        for keeper in self._range_managers.values():
            keeper.tick()
            self.deposed |= keeper.control.deposed
        if self._clock() - self._planned_at >= _PLAN_INTERVAL_S:
            self._planned_at = self._clock()
            for keeper in self._range_managers.values():
                keeper.plan()

    async def _take_new_services(self) -> None:
        configuration = self._view.configuration
        # Reading and reserving would depose a leader that has followed this one.
        if configuration is None or not self._authority.may_move_ranges():
            return
        for spec in configuration.services.values():
            if not spec.partitioned or spec.name in self._range_managers:
                continue
            dispatcher = self.runner.dispatcher
            keeper = RangeManager(
                OwnerSelector(spec.name, self._view, dispatcher),
                self._view,
                self._store,
                self._client,
                self._times,
                self._clock,
                self._authority,
            )
            try:
                await keeper.start()
            except (PlatformUnavailableError, DeposedError, ValueError) as error:
                logger.bind(service=spec.name, reason=str(error)).warning(
                    "could not take over the ranges of a service"
                )
                continue
            self._range_managers[spec.name] = keeper
