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
from basilwick.platform.http import HttpPlatform
from basilwick.runtime.control import ControlLoop
from basilwick.runtime.request_path import RequestPath
from basilwick.runtime.request_server import RequestServer

if TYPE_CHECKING:
    from basilwick.settings import Settings

__all__ = ["Instance"]

#: Others act on the announced leave after at most one heartbeat and one tick.
_LEAVE_NOTICE_S = 0.3
_STOP_TIMEOUT_S = 10.0


class Instance:
    """Serves callers' requests; composes decisions, transport and platform client.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._platform = HttpPlatform(settings.platform.address)
        shared_key = settings.security.shared_key
        peer = Peer(
            settings.instance.name,
            uuid4().hex,
            settings.instance.data_centre,
            settings.listen.forward,
        )
        identity = Identity(peer, settings.listen.peer, tuple(settings.peers.seeds))
        self._node = ControlNode(identity)
        self._loop = ControlLoop(self._node, self._platform, shared_key, Random())
        path = RequestPath(
            self._node,
            monotonic,
            Random(),
            OperationLedger(peer.name, peer.incarnation, shared_key.encode()),
            Metrics(),
            shared_key,
        )
        self._requests = RequestServer(
            path,
            monotonic,
            settings.listen.caller,
            settings.listen.forward,
            shared_key,
        )
        self._opening: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Join the other instances; requests are accepted once the node is ready."""
        await self._platform.start()
        await self._loop.start()
        self._opening = asyncio.create_task(self._open_when_ready())

    async def close(self) -> None:
        """Announce the leave, end running requests and close all connections."""
        if self._opening is not None and not self._opening.done():
            self._opening.cancel()
        await self._loop.leave(_LEAVE_NOTICE_S)
        if self._loop.ready.is_set():
            successor = self._node.find_peer(self._node.successor)
            await self._requests.stop(successor, _STOP_TIMEOUT_S)
            await self._requests.close()
        await self._loop.close()
        await self._platform.close()

    async def _open_when_ready(self) -> None:
        await self._loop.ready.wait()
        await self._requests.start()
        logger.info("accepting callers address={}", self._settings.listen.caller)
