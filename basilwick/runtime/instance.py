"""One entry instance: control loop, caller listener and backend client."""

from __future__ import annotations

import asyncio
from random import Random
from time import monotonic
from typing import TYPE_CHECKING
from uuid import uuid4

from aiohttp import web
from loguru import logger
from orjson import dumps

from basilwick.core.control import ControlNode, Identity
from basilwick.core.errors import ErrorKind, Refusal, refuse
from basilwick.core.routing import Peer
from basilwick.platform.http import HttpPlatform
from basilwick.runtime.control import ControlLoop
from basilwick.transport.backend import BackendClient

if TYPE_CHECKING:
    from basilwick.core.records import ServiceRecord
    from basilwick.core.routing import Location
    from basilwick.settings import Settings

__all__ = ["Instance"]

#: Others act on the announced leave after at most one heartbeat and one tick.
_LEAVE_NOTICE_S = 0.3


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
        self._backends = BackendClient()
        peer = Peer(
            settings.instance.name,
            uuid4().hex,
            settings.instance.data_centre,
            settings.listen.forward,
        )
        identity = Identity(peer, settings.listen.peer, settings.peers.seeds)
        self._node = ControlNode(identity)
        self._loop = ControlLoop(
            self._node, self._platform, settings.security.shared_key, Random()
        )
        self._runner: web.AppRunner | None = None
        self._opening: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Join the other instances; callers are accepted once the node is ready."""
        await self._platform.start()
        await self._backends.start()
        await self._loop.start()
        self._opening = asyncio.create_task(self._open_when_ready())

    async def close(self) -> None:
        """Announce the leave, end running requests and close all connections."""
        if self._opening is not None:
            self._opening.cancel()
        await self._loop.leave(_LEAVE_NOTICE_S)
        if self._runner is not None:
            await self._runner.cleanup()
        await self._loop.close()
        await self._backends.close()
        await self._platform.close()

    async def _open_when_ready(self) -> None:
        await self._loop.ready.wait()
        app = web.Application()
        app.router.add_route("*", "/v1/{service}/{key}", self._answer)
        app.router.add_route("*", "/v1/{service}/{key}/{rest:.*}", self._answer)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, _, port = self._settings.listen.caller.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        logger.info("accepting callers address={}", self._settings.listen.caller)

    async def _answer(self, request: web.Request) -> web.Response:
        result = await self._route(request)
        if isinstance(result, Refusal):
            return _respond_refusal(result)
        return result

    async def _route(self, request: web.Request) -> web.Response | Refusal:
        service = self._node.get_service(request.match_info["service"])
        if service is None:
            return refuse(
                ErrorKind.UNKNOWN_SERVICE,
                f"no service {request.match_info['service']!r}",
            )
        body = await request.read()
        location = await self._find_usable(service, request.match_info["key"])
        if isinstance(location, Refusal):
            return location
        answer = await self._backends.send(
            location.owner.address,
            request.method,
            request.raw_path,
            body,
            location.fence,
            service.default_deadline_ms / 1000,
        )
        if isinstance(answer, Refusal):
            return answer
        return web.Response(
            status=answer.status, body=answer.body, content_type=answer.content_type
        )

    async def _find_usable(
        self, service: ServiceRecord, key: str
    ) -> Location | Refusal:
        """Return where a key may be sent to right now, after a wait if needed."""
        deadline = monotonic() + service.default_deadline_ms / 1000
        while True:
            now = monotonic()
            location = self._node.locate(service, key, now)
            if isinstance(location, Refusal):
                return location
            end = self._node.get_permission_end(
                location.block, location.generation, now
            )
            if location.owner and location.active_at <= now < end:
                return location
            if now >= deadline:
                return refuse(
                    ErrorKind.NO_OWNER if end > now else ErrorKind.NO_PERMISSION,
                    f"shard {location.shard} can't be served here yet",
                )
            await asyncio.sleep(0.01)


def _respond_refusal(refusal: Refusal) -> web.Response:
    body = {
        "error": refusal.kind,
        "outcome": refusal.outcome,
        "message": refusal.message,
        "remedy": refusal.remedy,
        "retry_after_ms": None
        if refusal.retry_after_s is None
        else round(refusal.retry_after_s * 1000),
    }
    return web.Response(
        status=refusal.status,
        body=dumps(body),
        content_type="application/json",
        headers={
            "Basilwick-Error": refusal.kind,
            "Basilwick-Outcome": refusal.outcome,
        },
    )
