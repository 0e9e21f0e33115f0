"""An instance of a site on the platform."""

from __future__ import annotations

import asyncio
from random import Random
from secrets import token_hex
from typing import TYPE_CHECKING

from loguru import logger

from basilwick.core.caller_budget import (
    CallerBudget,
    get_max_caller_bytes,
    get_max_connections,
)
from basilwick.core.dispatch.capacity import CapacityShare
from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.leader_strength import LeaderHandover, Strength
from basilwick.core.dispatch.load_spread import measure_load_spread
from basilwick.core.dispatch.messages import Hello
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.site import CallerLimits, SiteView
from basilwick.core.dispatch.stop_admission import StopAdmission
from basilwick.core.ranges.earlier_terms import OwnTerms, ProcessIdentity
from basilwick.core.ranges.orders import OwnershipTimings
from basilwick.logs import log_request_line
from basilwick.metrics import FleetMetrics
from basilwick.platform.http_messages import read_response_metadata
from basilwick.platform.key_value_store import KeyValueStore
from basilwick.runtime.fleet.caller_admission import CallerAdmission
from basilwick.runtime.fleet.caller_request_handler import CallerRequestHandler
from basilwick.runtime.fleet.clock import read_clock
from basilwick.runtime.fleet.dispatch_runner import DispatchRunner
from basilwick.runtime.fleet.failover_dispatcher import FailoverDispatcher, StoredOwners
from basilwick.runtime.fleet.leader_election import LeaderElection
from basilwick.runtime.fleet.leader_links import LeaderLink, LinkListener
from basilwick.runtime.fleet.leader_role import LeaderRole
from basilwick.runtime.fleet.loops import run_periodically
from basilwick.runtime.fleet.site_watch import SiteWatch
from basilwick.runtime.fleet.stored_state import StoredState
from basilwick.runtime.fleet.term_evidence import EvidenceSources
from basilwick.transport.exchange import Answer
from basilwick.transport.http_server import HttpServer, RawResponse
from basilwick.transport.server_client import ServerClient

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from basilwick.core.deployment import Deployment
    from basilwick.runtime.fleet.leader_term import LeaderTerm
    from basilwick.transport.discarded_answers import DiscardedAnswer

__all__ = ["FleetInstance"]

#: Parts of the deployment's retry budget that the leader uses: of its ratio and of its
#: slack. The rest covers the instances that can't reach the leader.
_LEADER_RETRY_RATIO_SHARE = 0.7
_LEADER_RETRY_SLACK_SHARE = 0.4
#: The same for the fallback dispatcher of an instance that can't reach the leader.
_FALLBACK_RETRY_RATIO_SHARE = 0.1
_FALLBACK_RETRY_SLACK_SHARE = 0.02
#: Interval in seconds between removals of expired servers. The leader removes them more
#: often, because it assigns their keys to other servers after that.
_EXPIRY_INTERVAL_S = 0.5
_LEADER_EXPIRY_INTERVAL_S = 0.1
#: Interval in seconds between samples of the servers' stated loads for the metrics.
_LOAD_SAMPLE_INTERVAL_S = 1.0
#: Time in seconds for which a stopping instance still accepts new connections, because
#: callers are directed to it until two readiness probes have failed.
_ACCEPT_WHILE_STOPPING_S = 2.4
#: Time in seconds before the end of the grace period at which running requests are
#: abandoned.
_SHUTDOWN_MARGIN_S = 0.4
#: Share of the grace period, right before that margin, in which requests that wait for
#: a server are refused.
_REFUSE_WAITING_SHARE = 0.2
#: Maximum length in bytes of the request line, of each header field, and of a whole
#: request head until the configuration sets another.
_MAX_FIELD_BYTES = 16_384
#: Time in seconds after which a caller's idle connection is closed, until the
#: configuration sets another.
_IDLE_TIMEOUT_S = 15.0


class FleetInstance:
    """Serves callers and takes part in the leader election of its site.

    Parameters
    ----------
    deployment : Deployment
        Addresses, limits and identity of the instance.
    """

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        bounds = deployment.bounds
        self._timings = OwnershipTimings()
        if bounds.max_grant_ttl_s < self._timings.grant_ttl_s:
            self._timings = OwnershipTimings(grant_ttl_s=bounds.max_grant_ttl_s)
        rng = Random()
        self.metrics = FleetMetrics()
        self._view = SiteView()
        self._state = StoredState()
        self._store = KeyValueStore(deployment.platform_address, self.metrics.registry)
        self._client = ServerClient(
            read_clock, read_response_metadata, on_discarded=self._record_discarded
        )
        # Responses to orders carry no request identity, so orders don't share
        # connections with requests.
        self._order_client = ServerClient(
            read_clock,
            read_response_metadata,
            self._timings.order_timeout_s,
            self._record_discarded,
        )
        hello = Hello(
            deployment.instance,
            deployment.data_centre,
            deployment.cores,
            link_mbps=deployment.link_mbps,
        )
        self._handover = LeaderHandover(
            Strength(deployment.cores, deployment.link_mbps)
        )
        self._successor = ""
        self._listener = LinkListener(deployment.link_address, hello, read_clock)
        self._link = LeaderLink(hello, read_clock)
        self._link.list_rate_limits = self._view.list_rate_limits
        self._link.list_leaving = self._view.list_leaving
        # The link starts after the process has bound its addresses, so no other process
        # at them is left when a question about its terms is answered.
        process = ProcessIdentity(
            deployment.instance, deployment.link_address, token_hex(8)
        )
        self._evidence = EvidenceSources(
            OwnTerms(process),
            self._listener.query_term,
            lambda: self._watch.get_known_revision(),
            self.metrics.count_evidence,
        )
        self._link.knows_term_end = self._evidence.own_terms.knows_end
        self._listener.on_term_ended = self._record_term_end
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
            self._make_retry_budget(
                _FALLBACK_RETRY_RATIO_SHARE, _FALLBACK_RETRY_SLACK_SHARE
            ),
            deployment.regions,
            rng,
            CapacityShare(slots=1),
            deployment.priority_floor,
        )
        self._fallback = DispatchRunner(fallback, read_clock)
        self._dispatcher = FailoverDispatcher(self._link, self._fallback, read_clock)
        budget = CallerBudget(get_max_caller_bytes(deployment.memory_bytes))
        self._request_handler = CallerRequestHandler(
            self._view,
            self._dispatcher,
            self._client,
            read_clock,
            self.metrics,
            deployment.data_centre,
            self._watch.get_changes_age,
            budget,
        )
        self._election = LeaderElection(
            deployment.instance,
            deployment.link_address,
            deployment.cores,
            self._store,
            self._state,
            self._link,
            self._start_leading,
            self._stop_leading,
            self._timings,
            read_clock,
            rng,
        )
        self._role: LeaderRole | None = None
        admission = CallerAdmission(
            self._request_handler.handle,
            budget,
            self.metrics,
            lambda: self._caller_server.abort_unread(),
        )
        self._caller_server = HttpServer(
            deployment.caller_address,
            admission.handle,
            _IDLE_TIMEOUT_S,
            _MAX_FIELD_BYTES,
            _MAX_FIELD_BYTES,
            budget,
            get_max_connections(deployment.descriptors),
        )
        self.metrics.caller_bytes.set_function(lambda: budget.held_bytes)
        self._ready_server = HttpServer(deployment.ready_address, self._respond_ready)
        self._metrics_server = HttpServer(
            deployment.metrics_address, self._respond_metrics
        )
        self._limits = CallerLimits()
        self._loads_sampled_at = read_clock()
        self._task: asyncio.Task[None] | None = None
        self._stopping = False

    async def start(self) -> None:
        """Start listening and join the site."""
        await self._store.start()
        await self._listener.start()
        await self._caller_server.start()
        await self._ready_server.start()
        await self._metrics_server.start()
        await self._watch.start()
        await self._link.start()
        await self._fallback.start()
        await self._election.start()
        self._task = asyncio.create_task(
            run_periodically("expiry", _EXPIRY_INTERVAL_S, self._run_maintenance)
        )
        logger.bind(
            instance=self._deployment.instance,
            data_centre=self._deployment.data_centre,
        ).info("instance started")

    def reload(self) -> None:
        """Log that the settings have changed; none can be applied while it runs."""
        logger.bind(instance=self._deployment.instance).info(
            "settings changed; none of them can be applied without a restart"
        )

    async def close(self) -> None:
        """Leave the site, finish the running requests, and close all connections."""
        logger.bind(instance=self._deployment.instance).info("instance stopping")
        self._stopping = True
        self._caller_server.announce_close()
        await self._drain()
        # Before the parts that may wait for others: ready answers would be lost if the
        # grace period ended meanwhile.
        await self._caller_server.close()
        await self._election.close()
        # Orders end before the addresses are free for the next process.
        await self._order_client.close()
        await self._watch.close()
        await self._link.close()
        await self._fallback.close()
        await self._listener.close()
        await self._ready_server.close()
        await self._metrics_server.close()
        await self._client.close()
        await self._store.close()
        logger.bind(instance=self._deployment.instance).info("instance stopped")

    async def _drain(self) -> None:
        """Answer all requests that are read before the end of the grace period."""
        grace_period_s = self._deployment.bounds.grace_period_s
        shutdown_deadline = read_clock() + grace_period_s - _SHUTDOWN_MARGIN_S
        stop_accepting_at = read_clock() + min(
            _ACCEPT_WHILE_STOPPING_S, grace_period_s / 2
        )
        self._dispatcher.begin_stop(
            StopAdmission(shutdown_deadline, refuses_small_from=stop_accepting_at)
        )
        await self._election.withdraw()
        await asyncio.sleep(max(0.0, stop_accepting_at - read_clock()))
        refuse_waiting_at = shutdown_deadline - grace_period_s * _REFUSE_WAITING_SHARE
        if not await self._caller_server.drain(refuse_waiting_at - read_clock()):
            self._dispatcher.refuse_waiting()
            if not await self._caller_server.drain(shutdown_deadline - read_clock()):
                logger.bind(
                    requests=self._caller_server.running,
                    unsent_bytes=self._caller_server.count_unsent_bytes(),
                ).warning("stopping with requests in flight")
        await self._election.wait_stepped_down(shutdown_deadline - read_clock())

    def _make_retry_budget(self, ratio_share: float, slack_share: float) -> RetryBudget:
        bounds = self._deployment.bounds
        return RetryBudget(
            bounds.retry_budget_ratio * ratio_share,
            bounds.retry_budget_slack * slack_share,
            bounds.retry_budget_window_s,
        )

    async def _start_leading(self, term: LeaderTerm) -> None:
        self._role = LeaderRole(
            self._deployment,
            self._view,
            self._store,
            self._order_client,
            self._make_retry_budget(
                _LEADER_RETRY_RATIO_SHARE, _LEADER_RETRY_SLACK_SHARE
            ),
            self._timings,
            read_clock,
            self._rng,
            term,
            lambda: self._listener.instance_count,
            self._link.instance_count,
            self._evidence,
        )
        await self._role.start()
        self._dispatcher.set_leader_runner(self._role.runner)
        self._listener.set_leader_runner(self._role.runner)
        self.metrics.leading.set(1)

    async def _stop_leading(self) -> None:
        self._dispatcher.set_leader_runner(None)
        self._listener.announce_resignation(self._successor)
        self._listener.set_leader_runner(None)
        self.metrics.leading.set(0)
        role, self._role = self._role, None
        if role is not None:
            await role.close()

    def _record_term_end(self, writer: str) -> None:
        if self._role is not None:
            self._role.record_term_end(writer)

    async def _run_maintenance(self) -> float:
        """Apply what is due: removals, returns, the end of a term, changed limits.

        Returns the time in seconds until the next run.
        """
        for server in self._view.remove_expired_servers(read_clock()):
            self._client.remove_address(server.address)
            self._order_client.remove_address(server.address)
            self._fallback.dispatcher.remove_server(server.name)
            self.metrics.remove_server(server.name)
        for server_name in self._view.remove_ended_pauses(read_clock()):
            logger.bind(server=server_name).info("server wants requests again")
        for data_centre in self._view.take_back_due(read_clock()):
            logger.bind(data_centre=data_centre, out=False).info(
                "data centre taken back"
            )
        if self._role is not None and self._role.deposed:
            await self._election.step_down("servers follow another leader")
        await self._hand_over_to_stronger(read_clock())
        self._apply_limits()
        self._sample_loads()
        is_leader = self._role is not None
        return _LEADER_EXPIRY_INTERVAL_S if is_leader else _EXPIRY_INTERVAL_S

    async def _hand_over_to_stronger(self, now: float) -> None:
        """Resign if an instance on a much stronger machine can lead instead.

        A successor writes its record to the key-value service, which must answer. Only
        sites with bulk routes hand over: elsewhere a new leader waits for the grants of
        lost servers anew, which costs callers more than a weak leader.
        """
        leads = self._role is not None and self._role.can_hand_over
        leads = leads and self._view.has_bulk_routes
        linked = self._listener.list_strengths() if leads else {}
        successor = self._handover.choose_successor(linked, now)
        if successor is None:
            return
        self._handover.record_handover(now)
        logger.bind(successor=successor).info("handing over the lead")
        self._successor = successor
        try:
            await self._election.hand_over(successor)
        finally:
            self._successor = ""

    def _apply_limits(self) -> None:
        """Apply the configured timeouts to callers' connections."""
        configuration = self._view.configuration
        if configuration is not None and configuration.limits != self._limits:
            self._limits = configuration.limits
            self._caller_server.set_timeouts(
                self._limits.idle_timeout_s, self._limits.header_timeout_s
            )
            self._caller_server.set_head_limit(self._limits.header_bytes)

    def _sample_loads(self) -> None:
        """Record how old and how even the loads are that servers state."""
        now = read_clock()
        configuration = self._view.configuration
        if not self._view.has_bulk_routes or configuration is None:
            return
        if now - self._loads_sampled_at < _LOAD_SAMPLE_INTERVAL_S:
            return
        self._loads_sampled_at = now
        runner = self._fallback if self._role is None else self._role.runner
        for service in configuration.services:
            spread = measure_load_spread(self._view, runner.dispatcher, service, now)
            self.metrics.observe_load_spread(
                service, spread.report_ages_s, spread.busiest_to_mean
            )

    def _record_discarded(self, answer: DiscardedAnswer) -> None:
        self.metrics.count_discarded_answer(answer.reason)
        log_request_line(
            "answer discarded",
            address=answer.address,
            reason=answer.reason,
            connection=answer.connection,
            request=answer.request_id.decode("latin-1"),
            status=answer.status,
        )

    async def _respond_ready(self, raw: BaseRequest) -> RawResponse:
        ready = not self._stopping and self._view.configuration is not None
        response = RawResponse(raw)
        await response.send(Answer(200 if ready else 503))
        return response

    async def _respond_metrics(self, raw: BaseRequest) -> RawResponse:
        response = RawResponse(raw)
        fields = [(b"Content-Type", b"text/plain; version=0.0.4")]
        self.metrics.set_rate_limits(self._view.list_rate_limits())
        self.metrics.leaving_servers.set(len(self._view.list_leaving()))
        self.metrics.paused_servers.set(len(self._view.list_pauses(read_clock())))
        await response.send(Answer(200, fields, self.metrics.render()))
        return response
