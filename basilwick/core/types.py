"""Types shared by the modules of ``basilwick.core``."""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

ServiceName: TypeAlias = str
ServerName: TypeAlias = str
InstanceName: TypeAlias = str
DataCentreName: TypeAlias = str

#: Index of a shard within its service, 0 to ``blocks * shards_per_block - 1``.
ShardIndex: TypeAlias = int
#: Index of a block within its service.
BlockIndex: TypeAlias = int
#: 64-bit hash of a key within its service.
KeyHash: TypeAlias = int
#: Version number of a block document, incremented by each write.
Generation: TypeAlias = int
#: Fencing token: the generation in which a shard or hot key got its current owner.
Fence: TypeAlias = int
#: Revision that the platform's key-value service assigns to each write.
Revision: TypeAlias = int
#: Seconds on the local monotonic clock.
MonotonicSeconds: TypeAlias = float

#: Identifies a block: its service and its index.
BlockId: TypeAlias = tuple[ServiceName, BlockIndex]


class Operation(StrEnum):
    """How often the operation of a request may be executed."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    UPLOAD = "upload"
