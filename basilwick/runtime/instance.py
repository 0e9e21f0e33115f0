"""One entry instance: caller listener, platform client and backend client."""

from __future__ import annotations

import asyncio
from random import Random
from time import monotonic
from typing import TYPE_CHECKING
from uuid import uuid4

from loguru import logger

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
from basilwick.core.operations import OperationLedger
from basilwick.core.records import ServerRecord, ServiceRecord, decode_record
from basilwick.core.routing import Location, Peer
from basilwick.core.timing import PERMISSION_TERM_S
from basilwick.metrics import Metrics
from basilwick.platform.http import HttpPlatform
from basilwick.runtime.request_path import RequestPath
from basilwick.runtime.request_server import RequestServer

if TYPE_CHECKING:
    from basilwick.core.types import BlockId
    from basilwick.platform.service import Changes
    from basilwick.settings import Settings

__all__ = ["Instance"]

_WATCH_TIMEOUT_S = 5.0
_RETRY_DELAY_S = 0.2
_STOP_TIMEOUT_S = 10.0


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
        self.services: dict[str, ServiceRecord] = {}
        self.servers: dict[str, ServerRecord] = {}
        self.blocks: dict[tuple[str, int], BlockDocument] = {}
        view = _LocalView(self, settings)
        shared_key = settings.security.shared_key
        path = RequestPath(
            view,
            monotonic,
            Random(),
            OperationLedger(
                view.self_peer.name, view.self_peer.incarnation, shared_key.encode()
            ),
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
        self._watch_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Learn the assignment, then listen for callers."""
        await self._platform.start()
        self._apply(await self._platform.list_entries(""))
        await self._create_missing_blocks()
        changes = await self._platform.list_entries("")
        self._apply(changes)
        self._watch_task = asyncio.create_task(self._watch(changes.revision))
        await self._requests.start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._requests.stop(None, _STOP_TIMEOUT_S)
        if self._watch_task is not None:
            self._watch_task.cancel()
        await self._requests.close()
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
                known = self.blocks.get(document.id)
                if known is None or known.generation < document.generation:
                    self.blocks[document.id] = document
                continue
            record = decode_record(entry.value)
            if isinstance(record, ServiceRecord):
                self.services[record.name] = record
            elif isinstance(record, ServerRecord):
                self.servers[record.name] = record

    async def _create_missing_blocks(self) -> None:
        for service in self.services.values():
            for block in range(service.blocks):
                if (service.name, block) not in self.blocks:
                    await self._create_block(service, block)

    async def _create_block(self, service: ServiceRecord, block: int) -> None:
        first = block * service.shards_per_block
        shards = range(first, first + service.shards_per_block)
        names = [s.name for s in self.servers.values() if s.service == service.name]
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


class _LocalView:
    """Routing by the documents read, without confirmation or peers."""

    def __init__(self, instance: Instance, settings: Settings):
        self._instance = instance
        self.self_peer = Peer(
            settings.instance.name,
            uuid4().hex,
            settings.instance.data_centre,
            settings.listen.forward,
        )

    @property
    def ready(self) -> bool:
        return bool(self._instance.services)

    def get_service(self, name: str) -> ServiceRecord | None:
        return self._instance.services.get(name)

    def locate(
        self, service: ServiceRecord, key: str, now: float
    ) -> Location | Refusal:
        key_hash = compute_key_hash(service.name, key)
        shard = key_hash % service.shard_count
        block = service.name, shard // service.shards_per_block
        document = self._instance.blocks.get(block)
        ownership = document.get_ownership(shard, key_hash) if document else None
        server = self._instance.servers.get(ownership.owner) if ownership else None
        if document is None or ownership is None or server is None:
            return refuse(ErrorKind.NO_OWNER, f"shard {shard} has no owner")
        return Location(
            service=service.name,
            shard=shard,
            block=block,
            key_hash=key_hash,
            home=self.self_peer.data_centre,
            generation=document.generation,
            fence=ownership.fence,
            owner=server,
            active_at=now,
            gateway=self.self_peer,
        )

    def get_permission_end(self, block: BlockId, generation: int, now: float) -> float:
        return now + PERMISSION_TERM_S

    def map_to_server_clock(self, server: str, at: float) -> float | None:
        return None

    def find_peer(self, name: str) -> Peer | None:
        return self.self_peer if name == self.self_peer.name else None

    def find_successor(self, name: str, incarnation: str) -> Peer | None:
        return None

    def list_peers(self, data_centre: str) -> list[Peer]:
        return [self.self_peer]

    def list_served(self) -> list[ServerRecord]:
        return list(self._instance.servers.values())

    def record_result(self, server: str, succeeded: bool, now: float) -> None:
        pass

    def record_request(self, location: Location, now: float) -> None:
        pass
