"""Block documents: which backend server owns each shard of a block."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import evolve, frozen
from orjson import dumps, loads

from basilwick.core.errors import InvalidRecordError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilwick.core.types import (
        BlockId,
        BlockIndex,
        DataCentreName,
        Fence,
        Generation,
        KeyHash,
        ServerName,
        ServiceName,
        ShardIndex,
    )

__all__ = [
    "SEVERAL_OWNERS",
    "BlockDocument",
    "BlockState",
    "Ownership",
    "block_key",
    "parse_block_key",
]

#: Stands in ``moved_from`` for more than one previous owner.
SEVERAL_OWNERS = ""

_PREFIX = "blocks/"
_SCHEMA = 1


class BlockState(StrEnum):
    """Stage of a block in a change of its home data centre."""

    #: The home data centre assigns and serves the shards.
    ACTIVE = "active"
    #: The previous home still waits for permissions to end.
    RELEASING = "releasing"
    #: No permission is left; the new home may assign owners.
    RELEASED = "released"


@frozen
class Ownership:
    """Owner of a shard or hot key.

    Attributes
    ----------
    owner : str
        Name of the backend server, empty when none is assigned.
    fence : int
        Generation of the document in which the owner got the shard.
    moved_from : str or None
        Previous owner while its rights may still be valid, SEVERAL_OWNERS when more
        than one may have some.
    """

    owner: ServerName
    fence: Fence
    moved_from: ServerName | None = None


@frozen
class BlockDocument:
    """The durable assignment of one block, replaced as a whole.

    Attributes
    ----------
    service : str
        Service that the block belongs to.
    block : int
        Index of the block.
    generation : int
        Version of the document, raised by one on each write.
    home : str
        Data centre whose instances assign the shards.
    state : BlockState
        Stage of a change of the home.
    shards : mapping of int to Ownership
        Owner of each shard of the block.
    hot : mapping of int to Ownership
        Owner of single hot keys, by key hash.
    released_from : str
        Previous home while the state is releasing.
    write_id : str
        Identity of the write, by which a lost answer is resolved.
    """

    service: ServiceName
    block: BlockIndex
    generation: Generation
    home: DataCentreName
    shards: Mapping[ShardIndex, Ownership]
    hot: Mapping[KeyHash, Ownership] = {}
    state: BlockState = BlockState.ACTIVE
    released_from: DataCentreName = ""
    write_id: str = ""

    @property
    def id(self) -> BlockId:
        """Service and index of the block."""
        return (self.service, self.block)

    def get_ownership(self, shard: ShardIndex, key_hash: KeyHash) -> Ownership:
        """Return the ownership that applies to a key of a shard."""
        return self.hot.get(key_hash) or self.shards[shard]

    def move_shards(
        self,
        owners: Mapping[ShardIndex, ServerName],
        hot: Mapping[KeyHash, ServerName | None] | None = None,
        write_id: str = "",
    ) -> BlockDocument:
        """Return the next generation with new owners.

        Parameters
        ----------
        owners : mapping of int to str
            New owner of each shard that moves.
        hot : mapping of int to str or None, optional
            New owner of each hot key; None returns the key to its shard's owner.
        write_id : str
            Identity of the write.
        """
        generation = self.generation + 1
        shards = dict(self.shards)
        for shard, owner in owners.items():
            shards[shard] = _replace_owner(shards[shard], owner, generation)
        return evolve(
            self,
            generation=generation,
            shards=shards,
            hot=self._move_hot_keys(hot or {}, generation),
            write_id=write_id,
        )

    def _move_hot_keys(
        self, hot: Mapping[KeyHash, ServerName | None], generation: Generation
    ) -> dict[KeyHash, Ownership]:
        moved = dict(self.hot)
        for key_hash, owner in hot.items():
            if owner is None:
                moved.pop(key_hash, None)
                continue
            previous = moved.get(key_hash) or Ownership("", 0)
            moved[key_hash] = _replace_owner(previous, owner, generation)
        return moved

    def settle_moves(self, generation: Generation, write_id: str = "") -> BlockDocument:
        """Return the next generation without the moves up to a generation."""
        return evolve(
            self,
            generation=self.generation + 1,
            shards={
                shard: _settle(ownership, generation)
                for shard, ownership in self.shards.items()
            },
            hot={
                key_hash: _settle(ownership, generation)
                for key_hash, ownership in self.hot.items()
            },
            write_id=write_id,
        )

    def list_pending(self) -> list[Ownership]:
        """Return the ownerships whose previous owner may still have rights."""
        return [
            ownership
            for ownership in (*self.shards.values(), *self.hot.values())
            if ownership.moved_from is not None
        ]

    def encode(self) -> bytes:
        """Return the document as JSON."""
        servers = sorted(
            {
                name
                for ownership in (*self.shards.values(), *self.hot.values())
                for name in (ownership.owner, ownership.moved_from)
                if name
            }
        )
        index = {name: number for number, name in enumerate(servers)}
        return dumps(
            {
                "schema": _SCHEMA,
                "service": self.service,
                "block": self.block,
                "generation": self.generation,
                "home": self.home,
                "state": self.state,
                "released_from": self.released_from,
                "write_id": self.write_id,
                "servers": servers,
                "shards": [
                    [shard, *_encode_ownership(ownership, index)]
                    for shard, ownership in self.shards.items()
                ],
                "hot": [
                    [f"{key_hash:016x}", *_encode_ownership(ownership, index)]
                    for key_hash, ownership in self.hot.items()
                ],
            }
        )

    @classmethod
    def decode(cls, value: bytes) -> BlockDocument:
        """Read a document from JSON.

        Raises
        ------
        InvalidRecordError
            If the value is not a block document of a known schema.
        """
        try:
            data = loads(value)
            if data["schema"] != _SCHEMA:
                raise InvalidRecordError(
                    f"block document has schema {data['schema']!r}; this program "
                    f"reads {_SCHEMA}: upgrade the instance"
                )
            servers = data["servers"]
            return cls(
                service=data["service"],
                block=data["block"],
                generation=data["generation"],
                home=data["home"],
                state=BlockState(data["state"]),
                released_from=data["released_from"],
                write_id=data["write_id"],
                shards={
                    entry[0]: _decode_ownership(entry[1:], servers)
                    for entry in data["shards"]
                },
                hot={
                    int(entry[0], 16): _decode_ownership(entry[1:], servers)
                    for entry in data["hot"]
                },
            )
        except (ValueError, KeyError, TypeError, IndexError) as error:
            raise InvalidRecordError(
                f"value is not a block document ({error!r}); restore it from history"
            ) from error


def _replace_owner(
    previous: Ownership, owner: ServerName, generation: Generation
) -> Ownership:
    if previous.moved_from is None:
        return Ownership(owner, generation, previous.owner or None)
    # Several previous owners may still have rights, so only the wait settles the move.
    return Ownership(owner, generation, SEVERAL_OWNERS)


def _settle(ownership: Ownership, generation: Generation) -> Ownership:
    if ownership.moved_from is None or ownership.fence > generation:
        return ownership
    return evolve(ownership, moved_from=None)


def _encode_ownership(ownership: Ownership, index: Mapping[str, int]) -> list[int]:
    # -1 stands for no server, -2 for a settled ownership.
    moved_from = (
        -2 if ownership.moved_from is None else index.get(ownership.moved_from, -1)
    )
    return [index.get(ownership.owner, -1), ownership.fence, moved_from]


def _decode_ownership(entry: list[int], servers: list[str]) -> Ownership:
    owner, fence, moved_from = entry
    return Ownership(
        servers[owner] if owner >= 0 else "",
        fence,
        None if moved_from == -2 else servers[moved_from] if moved_from >= 0 else "",
    )


def block_key(service: ServiceName, block: BlockIndex) -> str:
    """Return the platform key of a block document."""
    return f"{_PREFIX}{service}/{block}"


def parse_block_key(key: str) -> BlockId | None:
    """Return the block that a platform key names, or None for other keys."""
    if not key.startswith(_PREFIX):
        return None
    service, _, block = key.removeprefix(_PREFIX).rpartition("/")
    return (service, int(block))
