"""Block documents: which backend server owns each shard of a block."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any

from attrs import evolve, frozen
from orjson import dumps, loads

from basilwick.core.errors import InvalidRecordError
from basilwick.core.ownership import (
    SEVERAL_OWNERS,
    Ownership,
    can_rejoin,
    decode_ownership,
    encode_ownership,
    replace_owner,
    settle_ownership,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from basilwick.core.types import (
        BlockId,
        BlockIndex,
        DataCentreName,
        Generation,
        KeyHash,
        ServerName,
        ServiceName,
        ShardIndex,
    )

__all__ = [
    "MAX_HOT_KEYS",
    "SEVERAL_OWNERS",
    "BlockDocument",
    "BlockState",
    "Ownership",
    "block_key",
    "parse_block_key",
]

#: Most hot keys of a block; bounds the size of its document.
MAX_HOT_KEYS = 32

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
        Owner of single hot keys, by key hash. A key that went back to its shard stays
        here with the shard's owner until the rights of its own owner have ended.
    state : BlockState
        Stage of a change of the home.
    released_from : str
        Previous home while the state is releasing.
    write_id : str
        Identity of the write, by which a lost answer is resolved.
    shard_count : int
        Number of shards of the service, which gives the shard of a hot key. A document
        without it (0) can hold no hot keys.
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
    shard_count: int = 0

    @property
    def id(self) -> BlockId:
        """Service and index of the block."""
        return (self.service, self.block)

    def get_ownership(self, shard: ShardIndex, key_hash: KeyHash) -> Ownership:
        """Return the ownership that applies to a key of a shard."""
        return self.hot.get(key_hash) or self.shards[shard]

    def get_shard(self, key_hash: KeyHash) -> ShardIndex:
        """Return the shard of a hot key."""
        if self.shard_count < 1:
            raise ValueError(
                f"block {self.id} holds hot key {key_hash:016x} but no shard count; "
                "write the document with the shard count of its service"
            )
        return key_hash % self.shard_count

    def move_shards(
        self,
        owners: Mapping[ShardIndex, ServerName],
        hot: Mapping[KeyHash, ServerName | None] | None = None,
        write_id: str = "",
        *,
        settled: Generation = 0,
        acknowledged: Mapping[ServerName, Generation] | None = None,
    ) -> BlockDocument:
        """Return the next generation with new owners.

        A hot key whose owner is its shard's owner follows the shard.

        Parameters
        ----------
        owners : mapping of int to str
            New owner of each shard that moves.
        hot : mapping of int to str or None, optional
            New owner of each hot key; None returns the key to its shard's owner.
        write_id : str
            Identity of the write.
        settled, acknowledged : optional
            Earlier moves that the same write settles, as in ``settle_moves``.

        Raises
        ------
        ValueError
            If the block is changing its home or would hold too many hot keys.
        """
        if self.state is not BlockState.ACTIVE:
            raise ValueError(
                f"block {self.id} is {self.state}; activate it before moving shards"
            )
        base = self._settle(settled, acknowledged or {})
        generation = self.generation + 1
        shards = dict(base.shards)
        for shard, owner in owners.items():
            shards[shard] = replace_owner(shards[shard], owner, generation)
        moved = base._move_hot_keys(shards, hot or {}, generation)
        if len(moved) > MAX_HOT_KEYS:
            raise ValueError(
                f"block {self.id} would hold {len(moved)} hot keys, at most "
                f"{MAX_HOT_KEYS} are allowed; return some to their shards first"
            )
        return evolve(
            base, generation=generation, shards=shards, hot=moved, write_id=write_id
        )

    def _move_hot_keys(
        self,
        shards: Mapping[ShardIndex, Ownership],
        hot: Mapping[KeyHash, ServerName | None],
        generation: Generation,
    ) -> dict[KeyHash, Ownership]:
        moved = dict(self.hot)
        for key_hash, ownership in self.hot.items():
            if self.shard_count and key_hash not in hot:
                shard = self.get_shard(key_hash)
                if ownership.owner == self.shards[shard].owner:
                    moved[key_hash] = replace_owner(
                        ownership, shards[shard].owner, generation
                    )
        for key_hash, owner in hot.items():
            previous = moved.get(key_hash)
            if owner is None and previous is None:
                continue
            if owner is None or previous is None:
                shard = self.get_shard(key_hash)
                # The shard's present and previous owners may have rights to the key.
                previous = previous or self.shards[shard]
                owner = shards[shard].owner if owner is None else owner
            if key_hash in moved or owner != shards[self.get_shard(key_hash)].owner:
                moved[key_hash] = replace_owner(previous, owner, generation)
        return moved

    def settle_moves(
        self,
        generation: Generation,
        write_id: str = "",
        acknowledged: Mapping[ServerName, Generation] | None = None,
    ) -> BlockDocument:
        """Return the next generation without the moves that are settled.

        A block that is releasing becomes released with its last pending move.

        Parameters
        ----------
        generation : int
            Generation up to which the rights of previous owners have ended.
        write_id : str
            Identity of the write.
        acknowledged : mapping of str to int, optional
            Generation up to which a previous owner acknowledged that it gave up what
            was moved away from it.
        """
        settled = evolve(
            self._settle(generation, acknowledged or {}),
            generation=self.generation + 1,
            write_id=write_id,
        )
        if self.state is BlockState.RELEASING and not settled.list_pending():
            return evolve(settled, state=BlockState.RELEASED, released_from="")
        return settled

    def _settle(
        self, generation: Generation, acknowledged: Mapping[ServerName, Generation]
    ) -> BlockDocument:
        shards, hot = (
            {
                name: settle_ownership(ownership, generation, acknowledged)
                for name, ownership in ownerships.items()
            }
            for ownerships in (self.shards, self.hot)
        )
        if self.shard_count:
            for key_hash, ownership in list(hot.items()):
                shard = self.get_shard(key_hash)
                if can_rejoin(ownership, shards[shard]):
                    del hot[key_hash]
                    # The fence that applies to the key must not fall.
                    fence = max(shards[shard].fence, ownership.fence)
                    shards[shard] = evolve(shards[shard], fence=fence)
        return evolve(self, shards=shards, hot=hot)

    def release(self, home: DataCentreName, write_id: str = "") -> BlockDocument:
        """Return the next generation, in which the home gives the block up.

        No shard has an owner until the new home activates the block; the previous
        owners are pending until their rights have ended.
        """
        if self.state is not BlockState.ACTIVE:
            raise ValueError(f"block {self.id} is {self.state} and cannot be released")
        emptied = self.move_shards(
            dict.fromkeys(self.shards, ""), dict.fromkeys(self.hot), write_id
        )
        return evolve(
            emptied, home=home, state=BlockState.RELEASING, released_from=self.home
        )

    def activate(
        self,
        home: DataCentreName,
        owners: Mapping[ShardIndex, ServerName],
        write_id: str = "",
    ) -> BlockDocument:
        """Return the next generation, active in a home with new owners.

        The caller must know that no right of an earlier generation is valid: the block
        is released, or it is taken from a data centre that is out as the protocol
        allows.
        """
        generation = self.generation + 1
        return evolve(
            self,
            generation=generation,
            home=home,
            state=BlockState.ACTIVE,
            released_from="",
            shards={
                shard: Ownership(owners.get(shard, ""), generation)
                for shard in self.shards
            },
            hot={},
            write_id=write_id,
        )

    def iter_ownerships(self) -> Iterator[Ownership]:
        """Iterate over the ownerships of shards and hot keys."""
        yield from self.shards.values()
        yield from self.hot.values()

    def list_pending(self) -> list[Ownership]:
        """Return the ownerships whose previous owner may still have rights."""
        return [
            ownership
            for ownership in self.iter_ownerships()
            if ownership.moved_from is not None
        ]

    def encode(self) -> bytes:
        """Return the document as JSON."""
        servers = sorted(
            {
                name
                for ownership in self.iter_ownerships()
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
                "shard_count": self.shard_count,
                "servers": servers,
                "shards": [
                    [shard, *encode_ownership(ownership, index)]
                    for shard, ownership in self.shards.items()
                ],
                "hot": [
                    [f"{key_hash:016x}", *encode_ownership(ownership, index)]
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
            return cls.from_data(loads(value))
        except (ValueError, KeyError, TypeError, IndexError) as error:
            raise InvalidRecordError(
                f"value is not a block document ({error!r}); restore it from history"
            ) from error

    @classmethod
    def from_data(cls, data: dict[str, Any]) -> BlockDocument:
        """Read a document from parsed JSON; errors are those of wrong types."""
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
            shard_count=data["shard_count"],
            shards={
                entry[0]: decode_ownership(entry[1:], servers)
                for entry in data["shards"]
            },
            hot={
                int(entry[0], 16): decode_ownership(entry[1:], servers)
                for entry in data["hot"]
            },
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
