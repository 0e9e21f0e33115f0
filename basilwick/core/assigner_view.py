"""What the assigner of a service in a data centre sees and does."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from basilwick.core.assignment import BlockDocument
    from basilwick.core.records import DataCentreRecord, ServerRecord, ServiceRecord
    from basilwick.core.types import (
        BlockId,
        DataCentreName,
        Generation,
        KeyHash,
        MonotonicSeconds,
        Revision,
        ServerName,
        ShardIndex,
    )

__all__ = ["AssignerAction", "AssignerView", "StoredBlock", "WriteBlock"]


@frozen
class StoredBlock:
    """A block document with the platform revision that a write must expect."""

    document: BlockDocument
    revision: Revision


@frozen
class AssignerView:
    """Input of the assigner, collected again for each decision.

    Attributes
    ----------
    service : ServiceRecord
        Service whose blocks are assigned.
    data_centre : str
        Data centre of this instance.
    data_centres : mapping of str to DataCentreRecord
        All data centres.
    out_seen_at : mapping of str to float
        Local time at which each record that now says out was first seen.
    autonomy_s : mapping of str to float
        Larger autonomy term of the present record of a data centre and the one that it
        replaced, in seconds.
    servers : mapping of str to ServerRecord
        Servers of the service in all data centres.
    blocks : mapping of (str, int) to StoredBlock
        Known block documents of the service.
    lost : mapping of str to float
        Servers declared lost and the local time of the declaration.
    shard_loads : mapping of int to float
        Requests a second by shard.
    hot_keys : mapping of int to (int, float)
        Shard and requests a second by key hash.
    revoked : mapping of ((str, int), str) to int
        Highest generation of a block up to which a checking server acknowledged that it
        gave up the shards moved away from it.
    active_at : callable
        Gives the local time from which a generation of a block may be used, infinite
        while a majority of the own data centre's witnesses does not know it.
    platform_reachable : bool
        Whether the latest call to the platform succeeded.
    writing : mapping of (str, int) to BlockDocument
        Documents of writes whose outcome is not known yet. The assigner writes nothing
        else to these blocks and counts their moves as in flight.
    stragglers : collection of str
        Servers that answer, but much more slowly than their peers.
    live_data_centres : collection of str or None
        Data centres that can be reached; no block is handed to others. None stands for
        all.
    """

    service: ServiceRecord
    data_centre: DataCentreName
    data_centres: Mapping[DataCentreName, DataCentreRecord]
    servers: Mapping[ServerName, ServerRecord]
    blocks: Mapping[BlockId, StoredBlock]
    active_at: Callable[[BlockId, Generation], MonotonicSeconds]
    out_seen_at: Mapping[DataCentreName, MonotonicSeconds] = field(factory=dict)
    autonomy_s: Mapping[DataCentreName, float] = field(factory=dict)
    lost: Mapping[ServerName, MonotonicSeconds] = field(factory=dict)
    shard_loads: Mapping[ShardIndex, float] = field(factory=dict)
    hot_keys: Mapping[KeyHash, tuple[ShardIndex, float]] = field(factory=dict)
    revoked: Mapping[tuple[BlockId, ServerName], Generation] = field(factory=dict)
    platform_reachable: bool = True
    writing: Mapping[BlockId, BlockDocument] = field(factory=dict)
    stragglers: Collection[ServerName] = ()
    live_data_centres: Collection[DataCentreName] | None = None


@frozen
class WriteBlock:
    """Write a block document by compare-and-swap, then announce it.

    Attributes
    ----------
    document : BlockDocument
        New document; its write_id is set.
    expected : int
        Platform revision that the write expects, 0 for a new document.
    reason : str
        Why, for the log.
    """

    document: BlockDocument
    expected: Revision
    reason: str


AssignerAction: TypeAlias = WriteBlock
