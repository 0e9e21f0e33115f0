"""One entry instance: caller listener, platform client and backend client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from uuid import uuid4

from aiohttp import web
from loguru import logger
from orjson import dumps

from basilwick.core.assignment import (
    BlockDocument,
    Ownership,
    block_key,
    parse_block_key,
)
from basilwick.core.errors import (
    ErrorKind,
    PlatformUnavailableError,
    Refusal,
    refuse,
)
from basilwick.core.hashing import assign_bounded, compute_key_hash
from basilwick.core.records import ServerRecord, ServiceRecord, decode_record
from basilwick.platform.http import HttpPlatform
from basilwick.transport.backend import BackendClient

if TYPE_CHECKING:
    from basilwick.platform.service import Changes
    from basilwick.settings import Settings

__all__ = ["Instance"]

_WATCH_TIMEOUT_S = 5.0
_RETRY_DELAY_S = 0.2


class Instance:
    """Serves callers' requests by the assignment kept in the platform.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._platform = HttpPlatform(settings.platform.address)
        self._backends = BackendClient()
        self._services: dict[str, ServiceRecord] = {}
        self._servers: dict[str, ServerRecord] = {}
        self._blocks: dict[tuple[str, int], BlockDocument] = {}
        self._runner: web.AppRunner | None = None
        self._watch_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Learn the assignment, then listen for callers."""
        await self._platform.start()
        await self._backends.start()
        self._apply(await self._platform.list_entries(""))
        await self._create_missing_blocks()
        changes = await self._platform.list_entries("")
        self._apply(changes)
        self._watch_task = asyncio.create_task(self._watch(changes.revision))
        app = web.Application()
        app.router.add_route("*", "/v1/{service}/{key}", self._answer)
        app.router.add_route("*", "/v1/{service}/{key}/{rest:.*}", self._answer)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, _, port = self._settings.listen.caller.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._watch_task is not None:
            self._watch_task.cancel()
        await self._backends.close()
        await self._platform.close()

    async def _watch(self, revision: int) -> None:
        while True:
            try:
                changes = await self._platform.watch("", revision, _WATCH_TIMEOUT_S)
            except PlatformUnavailableError as error:
                logger.warning("watch failed, retrying: {}", error)
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            self._apply(changes)
            revision = changes.revision

    def _apply(self, changes: Changes) -> None:
        for entry in changes.entries:
            if parse_block_key(entry.key) is not None:
                document = BlockDocument.decode(entry.value)
                known = self._blocks.get(document.id)
                if known is None or known.generation < document.generation:
                    self._blocks[document.id] = document
                continue
            record = decode_record(entry.value)
            if isinstance(record, ServiceRecord):
                self._services[record.name] = record
            elif isinstance(record, ServerRecord):
                self._servers[record.name] = record

    async def _create_missing_blocks(self) -> None:
        for service in self._services.values():
            for block in range(service.blocks):
                if (service.name, block) not in self._blocks:
                    await self._create_block(service, block)

    async def _create_block(self, service: ServiceRecord, block: int) -> None:
        first = block * service.shards_per_block
        shards = range(first, first + service.shards_per_block)
        names = [s.name for s in self._servers.values() if s.service == service.name]
        owners = assign_bounded([str(shard) for shard in shards], names)
        write_id = uuid4().hex
        document = BlockDocument(
            service=service.name,
            block=block,
            generation=1,
            home=self._settings.instance.data_centre,
            shards={shard: Ownership(owners[str(shard)], 1) for shard in shards},
            write_id=write_id,
        )
        await self._platform.compare_and_swap(
            block_key(service.name, block), document.encode(), 0, write_id
        )

    async def _answer(self, request: web.Request) -> web.Response:
        result = await self._route(request)
        if isinstance(result, Refusal):
            return _respond_refusal(result)
        return result

    async def _route(self, request: web.Request) -> web.Response | Refusal:
        service = self._services.get(request.match_info["service"])
        if service is None:
            return refuse(
                ErrorKind.UNKNOWN_SERVICE,
                f"no service {request.match_info['service']!r}",
            )
        key_hash = compute_key_hash(service.name, request.match_info["key"])
        shard = key_hash % service.shard_count
        document = self._blocks.get((service.name, shard // service.shards_per_block))
        ownership = document.get_ownership(shard, key_hash) if document else None
        server = self._servers.get(ownership.owner) if ownership else None
        if ownership is None or server is None:
            return refuse(ErrorKind.NO_OWNER, f"shard {shard} has no owner")
        answer = await self._backends.send(
            server.address,
            request.method,
            request.raw_path,
            await request.read(),
            ownership.fence,
            service.default_deadline_ms / 1000,
        )
        logger.info(
            "routed service={} shard={} server={} fence={}",
            service.name,
            shard,
            server.name,
            ownership.fence,
        )
        if isinstance(answer, Refusal):
            return answer
        return web.Response(
            status=answer.status, body=answer.body, content_type=answer.content_type
        )


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
