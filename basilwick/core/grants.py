"""Content of the grant that a gateway gives to a backend server."""

from __future__ import annotations

from math import floor
from typing import TYPE_CHECKING, Any

from attrs import frozen
from orjson import dumps
from xxhash import xxh3_128_hexdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from basilwick.core.assignment import BlockDocument, Ownership
    from basilwick.core.types import (
        BlockId,
        Generation,
        MonotonicSeconds,
        ServerName,
    )

__all__ = [
    "NOT_GRANTED",
    "Grant",
    "GrantContent",
    "GrantReply",
    "build_grant",
    "compute_grant_end",
]

#: Fence that no request carries. It tells the owner of a shard that a hot key of the
#: shard is not granted, so that the shard's fence does not admit requests for it.
NOT_GRANTED = 0


@frozen
class GrantContent:
    """What a server may run, without the time until which it may.

    Attributes
    ----------
    digest : str
        Digest of the blocks.
    blocks : tuple of dict
        Entries of the grant message.
    generations : mapping of (str, int) to int
        Generation of each block listed. A checking server that acknowledges the digest
        gave up what was moved away from it up to that generation.
    """

    digest: str
    blocks: tuple[dict[str, Any], ...]
    generations: Mapping[BlockId, Generation]


@frozen
class Grant:
    """A grant message.

    Attributes
    ----------
    content : GrantContent
        What the server may run.
    expires_at_ms : int
        End on the server's clock.
    known_digest : str or None
        Digest of the server's last reply; the blocks are left out if it has them.
    """

    content: GrantContent
    expires_at_ms: int
    known_digest: str | None = None

    def encode(self) -> bytes:
        """Return the body of ``PUT /grants``."""
        message: dict[str, Any] = {
            "expires_at_ms": self.expires_at_ms,
            "digest": self.content.digest,
        }
        if self.known_digest != self.content.digest:
            message["blocks"] = self.content.blocks
        return dumps(message)


@frozen
class GrantReply:
    """Answer of a server to ``GET /grants`` or ``PUT /grants``."""

    clock_ms: float | None
    incarnation: str
    checks: bool
    digest: str


def build_grant(
    server: ServerName,
    documents: Iterable[BlockDocument],
    active_at: Callable[[BlockId, Generation], MonotonicSeconds],
    now: MonotonicSeconds,
) -> GrantContent:
    """Return what a server owns and may use now.

    Blocks from which something was moved away are listed although nothing of them may
    be left, because the server must learn their generation: otherwise a gateway that
    still acts on the generation before could grant the shard again.

    Parameters
    ----------
    server : str
        The server.
    documents : iterable of BlockDocument
        Blocks for which this instance has permission, and blocks that its data centre
        is releasing.
    active_at : callable
        Local time from which a generation of a block may be used.
    now : float
        Local time in seconds.
    """
    entries = {
        document.id: _build_entry(server, document, active_at, now)
        for document in documents
        if any(
            server in (ownership.owner, ownership.moved_from)
            for ownership in document.iter_ownerships()
        )
    }
    blocks = tuple(entry for _, entry in sorted(entries.items()))
    generations = {id_: entry["generation"] for id_, entry in entries.items()}
    return GrantContent(xxh3_128_hexdigest(dumps(blocks)), blocks, generations)


def _build_entry(
    server: ServerName,
    document: BlockDocument,
    active_at: Callable[[BlockId, Generation], MonotonicSeconds],
    now: MonotonicSeconds,
) -> dict[str, Any]:
    def is_usable(ownership: Ownership) -> bool:
        return ownership.owner == server and (
            ownership.moved_from is None
            or active_at(document.id, ownership.fence) <= now
        )

    shards = {
        shard: ownership.fence
        for shard, ownership in document.shards.items()
        if is_usable(ownership)
    }
    hot = {
        key_hash: ownership.fence if is_usable(ownership) else NOT_GRANTED
        for key_hash, ownership in document.hot.items()
        if is_usable(ownership) or document.get_shard(key_hash) in shards
    }
    return {
        "service": document.service,
        "block": document.block,
        "generation": document.generation,
        "shards": {str(shard): fence for shard, fence in sorted(shards.items())},
        "hot": {f"{key_hash:016x}": fence for key_hash, fence in sorted(hot.items())},
    }


def compute_grant_end(
    permission_end: MonotonicSeconds,
    server_clock_ms: float,
    reply_arrived_at: MonotonicSeconds,
) -> int:
    """Return the end of a grant in milliseconds on the server's clock.

    The server read its clock before its reply arrived, so the delay of the reply can
    only shorten the grant. Rounded down for the same reason.
    """
    return floor(server_clock_ms + (permission_end - reply_arrived_at) * 1000)
