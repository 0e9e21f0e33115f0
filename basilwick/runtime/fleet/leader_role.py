"""The work of an instance while it leads its site."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.instance_window import InstanceWindow
from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.errors import PlatformUnavailableError
from basilwick.core.ranges.owner_selector import OwnerSelector
from basilwick.runtime.fleet.dispatch_runner import DispatchRunner
from basilwick.runtime.fleet.leader_authority import DeposedError
from basilwick.runtime.fleet.loops import run_periodically
from basilwick.runtime.fleet.range_manager import RangeManager

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
    from basilwick.runtime.fleet.leader_authority import LeaderAuthority
    from basilwick.runtime.fleet.term_evidence import EvidenceSources
    from basilwick.transport.server_client import ServerClient

__all__ = ["LeaderRole"]

#: Interval in seconds between checks for orders that are due.
_ORDER_INTERVAL_S = 0.05
#: Interval in seconds between checks for services whose ranges are not managed yet.
_SERVICE_CHECK_INTERVAL_S = 0.1
#: Interval in seconds between decisions about moves that balance the load.
_REBALANCE_INTERVAL_S = 0.4
#: Interval in seconds between questions about terms and server processes that aren't
#: known to have ended. It adds to the time for which keys have no owner, which is
#: seconds.
_EVIDENCE_INTERVAL_S = 0.1


class _LoadRecordingRunner(DispatchRunner):
    """Dispatch runner that also records the load of each key."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Callable[[], MonotonicSeconds],
        range_managers: dict[ServiceName, RangeManager],
    ):
        super().__init__(dispatcher, clock)
        self._range_managers = range_managers

    def submit(
        self,
        peer: Hashable,
        request: DispatchRequest,
        reply: Callable[[DispatchDecision | None], None],
    ) -> None:
        manager = self._range_managers.get(request.service)
        if manager is not None and request.key >= 0 and request.attempt == 1:
            manager.selector.load.record(request.key, self._clock())
        super().submit(peer, request, reply)


class LeaderRole:
    """Dispatches the requests of the whole site and manages all key ranges.

    Parameters
    ----------
    deployment : Deployment
        Where the instance runs.
    view : SiteView
        Configuration and servers of the site.
    store : KeyValueStore
        Stores the ranges.
    client : ServerClient
        Sends orders to servers.
    retry_budget : RetryBudget
        Limits retries of requests.
    timings : OwnershipTimings
        Time limits of the ownership protocol.
    clock : callable
        Local clock in seconds.
    rng : random.Random
        Random source of the dispatcher.
    authority : LeaderAuthority
        Tells which orders may be sent at the moment.
    count_linked : callable
        Returns the number of linked instances, including this one.
    known_instances : int
        Number of instances that the former leader had.
    evidence : EvidenceSources
        Where to find evidence that earlier terms and server processes have ended.

    Attributes
    ----------
    runner : DispatchRunner
        Runs the dispatcher of the site.
    deposed : bool
        Whether servers or stored ranges show that another leader has taken over.
    """

    def __init__(
        self,
        deployment: Deployment,
        view: SiteView,
        store: KeyValueStore,
        client: ServerClient,
        retry_budget: RetryBudget,
        timings: OwnershipTimings,
        clock: Callable[[], MonotonicSeconds],
        rng: Random,
        authority: LeaderAuthority,
        count_linked: Callable[[], int],
        known_instances: int,
        evidence: EvidenceSources,
    ):
        self._view = view
        self._store = store
        self._client = client
        self._timings = timings
        self._clock = clock
        self._authority = authority
        self._range_managers: dict[ServiceName, RangeManager] = {}
        dispatcher = Dispatcher(
            view,
            self,
            retry_budget,
            deployment.regions,
            rng,
            priority_floor=deployment.priority_floor,
        )
        self.runner = _LoadRecordingRunner(dispatcher, clock, self._range_managers)
        self._count_linked = count_linked
        self._evidence = evidence
        self._instances = InstanceWindow()
        self._instances.record(known_instances, clock())
        self._tasks: list[asyncio.Task[None]] = []
        self._rebalanced_at = clock()
        self.deposed = False

    async def start(self) -> None:
        """Start dispatching requests and managing key ranges."""
        self._update_rate_fraction()
        await self.runner.start()
        self._tasks = [
            asyncio.create_task(
                run_periodically("orders", _ORDER_INTERVAL_S, self._send_orders)
            ),
            asyncio.create_task(
                run_periodically(
                    "services", _SERVICE_CHECK_INTERVAL_S, self._take_over_services
                )
            ),
            asyncio.create_task(
                run_periodically("evidence", _EVIDENCE_INTERVAL_S, self._find_evidence)
            ),
        ]

    async def close(self) -> None:
        """Stop dispatching requests and sending orders."""
        for manager in self._range_managers.values():
            manager.stop_orders()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for manager in self._range_managers.values():
            await manager.close()
        await self.runner.close()

    @property
    def can_hand_over(self) -> bool:
        """Whether the lease is renewed and no unknown leader may have led."""
        return self._authority.may_move_ranges() and not self._authority.uncertain

    def find_owner(
        self, service: ServiceName, key: int, now: MonotonicSeconds
    ) -> KeyOwner:
        """Return the owner of a key.

        Until the ranges of the service are read, the key counts as moving.
        """
        manager = self._range_managers.get(service)
        if manager is None or manager.controller is None:
            return KeyOwner(None, moving=True)
        return manager.controller.find_owner(service, key, now)

    def record_term_end(self, writer: str) -> None:
        """Record that an instance has stated the end of an earlier term."""
        for manager in self._range_managers.values():
            manager.record_term_end(writer, "statement")

    async def _find_evidence(self) -> None:
        for manager in self._range_managers.values():
            manager.find_ended_terms()
            manager.find_ended_servers()

    def _update_rate_fraction(self) -> None:
        """Leave the part of the servers' rates to instances that are not linked.

        They decide by themselves, or are still linked to an earlier leader.
        """
        linked = self._count_linked()
        self._instances.record(linked, self._clock())
        self.runner.dispatcher.share.rate_fraction = linked / self._instances.largest

    async def _send_orders(self) -> None:
        self._update_rate_fraction()
        for manager in self._range_managers.values():
            manager.tick()
            self.deposed |= manager.controller.deposed
        if self._clock() - self._rebalanced_at >= _REBALANCE_INTERVAL_S:
            self._rebalanced_at = self._clock()
            for manager in self._range_managers.values():
                manager.rebalance()

    async def _take_over_services(self) -> None:
        configuration = self._view.configuration
        # Taking over writes the ranges, which would depose a leader that was elected
        # after this one.
        if configuration is None or not self._authority.may_move_ranges():
            return
        for spec in configuration.services.values():
            if not spec.partitioned or spec.name in self._range_managers:
                continue
            dispatcher = self.runner.dispatcher
            selector = OwnerSelector(spec.name, self._view, dispatcher)
            manager = RangeManager(
                selector,
                self._view,
                self._store,
                self._client,
                self._timings,
                self._clock,
                self._authority,
                self._evidence,
                self._view.has_bulk_routes,
                divider=selector,
            )
            try:
                await manager.start()
            except (PlatformUnavailableError, DeposedError, ValueError) as error:
                logger.bind(service=spec.name, reason=str(error)).warning(
                    "failed to take over the ranges of a service"
                )
                continue
            self._range_managers[spec.name] = manager
