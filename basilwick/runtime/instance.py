"""One entry instance: control loop, request path and their ports."""

from __future__ import annotations

import asyncio
from random import Random
from time import monotonic
from typing import TYPE_CHECKING
from uuid import uuid4

from loguru import logger

from basilwick.core.control import ControlNode, Identity
from basilwick.core.operations import OperationLedger
from basilwick.core.routing import Peer
from basilwick.metrics import Metrics
from basilwick.platform.http import HttpPlatformClient
from basilwick.runtime.control import ControlLoop
from basilwick.runtime.request_path import RequestPath
from basilwick.runtime.request_server import RequestServer
from basilwick.runtime.server_calls import ServerCalls
from basilwick.runtime.status import InstanceView
from basilwick.transport.admin import AdminPort

if TYPE_CHECKING:
    from basilwick.settings import Settings

__all__ = ["Instance"]

#: Others act on the announced leave after at most one heartbeat and one tick.
_LEAVE_NOTICE_S = 0.3
_METRICS_INTERVAL_S = 1.0


class Instance:
    """Serves callers' requests; composes decisions, transport and platform client.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._platform = HttpPlatformClient(settings.platform.address)
        self._metrics = Metrics()
        self._node = ControlNode(_identify(settings))
        path = self._build_path()
        shared_key = settings.security.shared_key
        self._loop = ControlLoop(
            self._node,
            self._platform,
            ServerCalls(path.backends, self._node.configuration),
            shared_key,
            Random(),
        )
        self._view = InstanceView(self._loop)
        self._requests = RequestServer(
            path,
            monotonic,
            settings.listen.caller,
            settings.listen.forward,
            shared_key,
        )
        self._admin = AdminPort(
            self._view,
            self._platform,
            settings.listen.admin,
            shared_key,
            self._metrics.registry,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Join the other instances; requests are accepted once the node is ready."""
        await self._platform.start()
        await self._admin.start()
        await self._loop.start()
        self._tasks = [
            asyncio.create_task(self._open_when_ready()),
            asyncio.create_task(self._update_metrics()),
        ]

    async def close(self) -> None:
        """Announce the leave, end running requests and close all connections."""
        for task in self._tasks:
            task.cancel()
        await self._loop.leave(_LEAVE_NOTICE_S)
        if self._loop.ready.is_set():
            successor = self._node.find_peer(self._node.successor)
            await self._requests.stop(successor, self._settings.limits.shutdown_s)
            await self._requests.close()
        await self._loop.close()
        await self._admin.close()
        await self._platform.close()

    def _build_path(self) -> RequestPath:
        peer = self._node.self_peer
        shared_key = self._settings.security.shared_key
        return RequestPath(
            self._node,
            monotonic,
            Random(),
            OperationLedger(peer.name, peer.incarnation, shared_key.encode()),
            self._metrics,
            shared_key,
        )

    async def _open_when_ready(self) -> None:
        await self._loop.ready.wait()
        await self._requests.start()
        logger.info("accepting callers address={}", self._settings.listen.caller)

    async def _update_metrics(self) -> None:
        while True:
            self._view.update_metrics(self._metrics)
            await asyncio.sleep(_METRICS_INTERVAL_S)


def _identify(settings: Settings) -> Identity:
    peer = Peer(
        settings.instance.name,
        uuid4().hex,
        settings.instance.data_centre,
        settings.listen.forward,
    )
    return Identity(peer, settings.listen.peer, tuple(settings.peers.seeds))
