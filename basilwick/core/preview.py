"""What a change of a record will move, shown to operators before they put it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import asdict, frozen

from basilwick.core.records import (
    DataCentreRecord,
    DataCentreStatus,
    ServerRecord,
    ServerState,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.assignment import BlockDocument
    from basilwick.core.configuration import Configuration
    from basilwick.core.records import Record
    from basilwick.core.types import BlockIndex, ServiceName, ShardIndex

__all__ = ["BlockPreview", "Preview", "preview_change"]


@frozen
class BlockPreview:
    """Part of a block that will move.

    Attributes
    ----------
    service, block : str and int
        The block.
    leaves_home : bool
        Whether the block gets another home data centre.
    shards : tuple of int
        Shards that get another owner.
    hot_keys : int
        Number of hot keys that get another owner.
    """

    service: ServiceName
    block: BlockIndex
    leaves_home: bool
    shards: tuple[ShardIndex, ...]
    hot_keys: int


@frozen
class Preview:
    """What will move, and what the operator should know before.

    Attributes
    ----------
    blocks : tuple of BlockPreview
        Blocks of which something moves, by the instance's present view.
    warnings : tuple of str
        Consequences that are probably not intended.
    """

    blocks: tuple[BlockPreview, ...]
    warnings: tuple[str, ...]

    @property
    def shard_count(self) -> int:
        """Number of shards that get another owner."""
        return sum(len(block.shards) for block in self.blocks)

    def describe(self) -> dict[str, Any]:
        """Return the preview as JSON data."""
        return {
            "shards": self.shard_count,
            "hot_keys": sum(block.hot_keys for block in self.blocks),
            "blocks": [asdict(block) for block in self.blocks],
            "warnings": list(self.warnings),
        }


def preview_change(
    configuration: Configuration, old: Record | None, new: Record
) -> Preview:
    """Return what will leave a server or data centre through a change."""
    if isinstance(new, ServerRecord):
        return _preview_server(configuration, old, new)
    if isinstance(new, DataCentreRecord):
        return _preview_data_centre(configuration, old, new)
    return Preview((), ())


def _preview_server(
    configuration: Configuration, old: Record | None, new: ServerRecord
) -> Preview:
    warnings = []
    if new.service not in configuration.services:
        warnings.append(f"service {new.service!r} has no record yet")
    if new.data_centre not in configuration.data_centres:
        warnings.append(f"data centre {new.data_centre!r} has no record yet")
    if new.state == ServerState.ACTIVE:
        return Preview((), tuple(warnings))
    blocks = _collect(configuration, lambda owner: owner == new.name)
    others = [
        server
        for server in configuration.servers.values()
        if server.service == new.service
        and server.name != new.name
        and server.state == ServerState.ACTIVE
    ]
    was_active = not isinstance(old, ServerRecord) or old.state == ServerState.ACTIVE
    if not others and was_active:
        warnings.append(
            f"no other active server of service {new.service!r} remains; its keys will "
            f"have no owner"
        )
    return Preview(blocks, tuple(warnings))


def _preview_data_centre(
    configuration: Configuration, old: Record | None, new: DataCentreRecord
) -> Preview:
    warnings = []
    if not new.witnesses:
        warnings.append("no witness is listed; nothing will be served there")
    if new.status == DataCentreStatus.IN:
        return Preview((), tuple(warnings))
    if new.confirmed_stopped:
        warnings.append(
            "others may take the blocks at once; an instance that still runs there "
            "would be a second owner"
        )
    servers = {
        server.name
        for server in configuration.servers.values()
        if server.data_centre == new.name
    }
    blocks = _collect(configuration, servers.__contains__, new.name)
    others = [
        record
        for record in configuration.data_centres.values()
        if record.name != new.name and record.status == DataCentreStatus.IN
    ]
    if not others:
        warnings.append("no other data centre is in; the blocks have nowhere to go")
    return Preview(blocks, tuple(warnings))


def _collect(
    configuration: Configuration, leaves: Callable[[str], bool], home: str | None = None
) -> tuple[BlockPreview, ...]:
    found = []
    for block_id in sorted(configuration.blocks):
        document: BlockDocument = configuration.blocks[block_id].document
        preview = BlockPreview(
            document.service,
            document.block,
            document.home == home,
            tuple(
                shard for shard, owned in document.shards.items() if leaves(owned.owner)
            ),
            sum(leaves(owned.owner) for owned in document.hot.values()),
        )
        if preview.leaves_home or preview.shards or preview.hot_keys:
            found.append(preview)
    return tuple(found)
