"""One instance of a site on the platform."""

from __future__ import annotations

import asyncio
from random import Random
from signal import SIGHUP
from typing import TYPE_CHECKING

from loguru import logger

from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.messages import Hello
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.server_selector import CapacityShare
from basilwick.core.dispatch.site import CallerLimits, SiteView
from basilwick.core.ranges.orders import OwnershipTimings
from basilwick.metrics import FleetMetrics
from basilwick.platform.http_messages import read_response_metadata
from basilwick.platform.key_value_store import KeyValueStore
from basilwick.runtime.fleet.caller_request_handler import CallerRequestHandler
from basilwick.runtime.fleet.clock import read_clock
from basilwick.runtime.fleet.dispatch_runner import DispatchRunner
from basilwick.runtime.fleet.failover_dispatcher import FailoverDispatcher, StoredOwners
from basilwick.runtime.fleet.leader_election import LeaderElection, StoredState
from basilwick.runtime.fleet.leader_links import LeaderLink, LinkListener
from basilwick.runtime.fleet.leader_role import LeaderRole
from basilwick.runtime.fleet.loops import run_periodically
from basilwick.runtime.fleet.site_watch import SiteWatch
from basilwick.transport.exchange import Answer
from basilwick.transport.http_server import HttpServer, RawResponse
from basilwick.transport.server_client import ServerClient

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from basilwick.core.deployment import Deployment
    from basilwick.runtime.fleet.leader_term import LeaderTerm

__all__ = ["FleetInstance"]

#: Share of the bound of additional sends that the leader uses; the rest covers the
#: instances that can't reach it.
_LEADER_RATIO = 0.7
_LEADER_SLACK = 0.4
#: The same for an instance that decides by itself.
_ALONE_RATIO = 0.1
_ALONE_SLACK = 0.02
#: Interval in seconds at which gone servers are forgotten. The leader gives their keys
#: to others then.
_EXPIRE_INTERVAL_S = 0.5
_LEADER_EXPIRE_INTERVAL_S = 0.1
#: Time in seconds for which a stopping instance still takes new connections, because
#: callers are sent to it until it was found not ready twice.
_LEAVE_S = 2.4
#: Time in seconds before the end of the stop at which running requests are given up.
_STOP_MARGIN_S = 0.4
#: Share of the stop time, before its end, in which requests that wait for a server are
#: refused instead.
_LAST_SENDS_SHARE = 0.2
#: Longest request line and header field in bytes.
_MAX_FIELD_BYTES = 16_384
#: Time in seconds after which an idle caller's connection is closed.
_IDLE_S = 15.0


class FleetInstance:
    """Listens for callers and takes part in the site.

    Parameters
    ----------
    deployment : Deployment
        Where the instance runs.
    """

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        bounds = deployment.bounds
        self._times = OwnershipTimings()
        if bounds.max_grant_ttl_s < self._times.grant_ttl_s:
            self._times = OwnershipTimings(grant_ttl_s=bounds.max_grant_ttl_s)
        rng = Random()
        self.metrics = FleetMetrics()
        self._view = SiteView()
        self._state = StoredState()
        self._store = KeyValueStore(deployment.platform_address, self.metrics.registry)
        self._client = ServerClient(read_clock, read_response_metadata)
        # Answers to orders have no identity, so no request shares their connections.
        self._orders = ServerClient(
            read_clock, read_response_metadata, self._times.order_timeout_s
        )
        hello = Hello(deployment.instance, deployment.data_centre, deployment.cores)
        self._listener = LinkListener(deployment.link_address, hello)
        self._link = LeaderLink(hello, read_clock)
        self._watch = SiteWatch(
            self._store,
            self._view,
            self._state,
            read_clock,
            rng,
            self._link,
            self._listener,
            self.metrics,
        )
        self._rng = rng
        fallback = Dispatcher(
            self._view,
            StoredOwners(self._state),
            self._bound_retries(_ALONE_RATIO, _ALONE_SLACK),
            deployment.regions,
            rng,
            CapacityShare(slots=1),
        )
        self._fallback = DispatchRunner(fallback, read_clock)
        self._port = FailoverDispatcher(self._link, self._fallback)
        self._path = CallerRequestHandler(
            self._view,
            self._port,
            self._client,
            read_clock,
            self.metrics,
            deployment.data_centre,
        )
        self._leadership = LeaderElection(
            deployment.instance,
            deployment.link_address,
            deployment.cores,
            self._store,
            self._state,
            self._link,
            self._begin_to_lead,
            self._cease_to_lead,
            self._times,
            read_clock,
            rng,
        )
        self._role: LeaderRole | None = None
        self._callers = HttpServer(
            deployment.caller_address, self._path.handle, _IDLE_S, _MAX_FIELD_BYTES
        )
        self._ready = HttpServer(deployment.ready_address, self._tell_ready)
        self._admin = HttpServer(deployment.metrics_address, self._tell_metrics)
        self._limits = CallerLimits()
        self._task: asyncio.Task[None] | None = None
        self._stopping = False

    async def start(self) -> None:
        """Listen and join the site."""
        asyncio.get_running_loop().add_signal_handler(SIGHUP, self._note_reload)
        await self._store.start()
        await self._listener.start()
        await self._callers.start()
        await self._ready.start()
        await self._admin.start()
        await self._watch.start()
        await self._link.start()
        await self._fallback.start()
        await self._leadership.start()
        self._task = asyncio.create_task(
            run_periodically("expiry", _EXPIRE_INTERVAL_S, self._expire)
        )
        logger.bind(
            instance=self._deployment.instance,
            data_centre=self._deployment.data_centre,
        ).info("instance started")

    async def close(self) -> None:
        """Leave the site, finish what runs, and close all connections."""
        logger.bind(instance=self._deployment.instance).info("instance stopping")
        self._stopping = True
        self._callers.announce_close()
        await self._drain()
        await self._leadership.close()
        await self._watch.close()
        await self._link.close()
        await self._fallback.close()
        await self._listener.close()
        for server in (self._callers, self._ready, self._admin):
            await server.close()
        await self._client.close()
        await self._orders.close()
        await self._store.close()
        logger.bind(instance=self._deployment.instance).info("instance stopped")

    async def _drain(self) -> None:
        """Answer all requests that are read until the end of the stop."""
        grace_period_s = self._deployment.bounds.grace_period_s
        ends_at = read_clock() + grace_period_s - _STOP_MARGIN_S
        leaves_at = read_clock() + min(_LEAVE_S, grace_period_s / 2)
        await self._leadership.withdraw()
        await asyncio.sleep(max(0.0, leaves_at - read_clock()))
        refuses_at = ends_at - grace_period_s * _LAST_SENDS_SHARE
        if not await self._callers.drain(refuses_at - read_clock()):
            self._port.refuse_waiting()
            if not await self._callers.drain(ends_at - read_clock()):
                logger.bind(requests=self._callers.running).warning(
                    "stopping with requests that servers still run"
                )
        await self._leadership.wait_stepped_down(ends_at - read_clock())

    def _bound_retries(self, ratio: float, slack: float) -> RetryBudget:
        bounds = self._deployment.bounds
        return RetryBudget(
            bounds.retry_budget_ratio * ratio,
            bounds.retry_budget_slack * slack,
            bounds.retry_budget_window_s,
        )

    async def _begin_to_lead(self, term: LeaderTerm) -> None:
        self._role = LeaderRole(
            self._deployment,
            self._view,
            self._store,
            self._orders,
            self._bound_retries(_LEADER_RATIO, _LEADER_SLACK),
            self._times,
            read_clock,
            self._rng,
            term,
        )
        await self._role.start()
        self._port.set_leader_runner(self._role.runner)
        self._listener.set_leader_runner(self._role.runner)
        self.metrics.leading.set(1)

    async def _cease_to_lead(self) -> None:
        self._port.set_leader_runner(None)
        self._listener.set_leader_runner(None)
        self.metrics.leading.set(0)
        role, self._role = self._role, None
        if role is not None:
            await role.close()

    async def _expire(self) -> float:
        """Forget gone servers; returns the time in seconds to the next look."""
        for server in self._view.remove_expired_servers(read_clock()):
            self._client.forget(server.address)
            self._orders.forget(server.address)
            self._fallback.dispatcher.forget_server(server.name)
        if self._role is not None and self._role.deposed:
            await self._leadership.step_down("servers follow another leader")
        self._apply_limits()
        leads = self._role is not None
        return _LEADER_EXPIRE_INTERVAL_S if leads else _EXPIRE_INTERVAL_S

    def _apply_limits(self) -> None:
        """Bound callers' connections as the configuration says."""
        configuration = self._view.configuration
        if configuration is not None and configuration.limits != self._limits:
            self._limits = configuration.limits
            self._callers.set_timeouts(
                self._limits.idle_timeout_s, self._limits.header_timeout_s
            )

    def _note_reload(self) -> None:
        logger.bind(instance=self._deployment.instance).info(
            "settings changed; none of them can be applied without a restart"
        )

    async def _tell_ready(self, raw: BaseRequest) -> RawResponse:
        ready = not self._stopping and self._view.configuration is not None
        response = RawResponse(raw)
        await response.send(Answer(200 if ready else 503))
        return response

    async def _tell_metrics(self, raw: BaseRequest) -> RawResponse:
        response = RawResponse(raw)
        fields = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await response.send(Answer(200, fields, self.metrics.render()))
        return response
