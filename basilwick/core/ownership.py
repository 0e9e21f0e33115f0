"""Who owns one shard or hot key, and who may still have rights to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilwick.core.types import Fence, Generation, ServerName

__all__ = [
    "SEVERAL_OWNERS",
    "Ownership",
    "can_rejoin",
    "decode_ownership",
    "encode_ownership",
    "replace_owner",
    "settle_ownership",
]

#: Stands in ``moved_from`` for more than one previous owner.
SEVERAL_OWNERS = ""


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


def replace_owner(
    previous: Ownership, owner: ServerName, generation: Generation
) -> Ownership:
    """Return the ownership after a move in a generation."""
    if owner == previous.owner:
        return previous
    if previous.moved_from is None:
        return Ownership(owner, generation, previous.owner or None)
    if previous.owner == "":
        return Ownership(owner, generation, previous.moved_from)
    # Several previous owners may still have rights, so only the wait settles the move.
    return Ownership(owner, generation, SEVERAL_OWNERS)


def settle_ownership(
    ownership: Ownership,
    generation: Generation,
    acknowledged: Mapping[ServerName, Generation],
) -> Ownership:
    """Return the ownership without its previous owner if those rights have ended."""
    if ownership.moved_from is None:
        return ownership
    ended = max(generation, acknowledged.get(ownership.moved_from, 0))
    return evolve(ownership, moved_from=None) if ownership.fence <= ended else ownership


def can_rejoin(hot: Ownership, shard: Ownership) -> bool:
    """Return whether a hot key needs no entry of its own any more."""
    return (
        hot.owner == shard.owner and hot.moved_from is None and shard.moved_from is None
    )


def encode_ownership(ownership: Ownership, index: Mapping[str, int]) -> list[int]:
    """Return numbers for an ownership, given the number of each server."""
    # -1 stands for no server, -2 for a settled ownership.
    moved_from = (
        -2 if ownership.moved_from is None else index.get(ownership.moved_from, -1)
    )
    return [index.get(ownership.owner, -1), ownership.fence, moved_from]


def decode_ownership(entry: list[int], servers: list[str]) -> Ownership:
    """Read what ``encode_ownership`` returned."""
    owner, fence, moved_from = entry
    return Ownership(
        servers[owner] if owner >= 0 else "",
        fence,
        None if moved_from == -2 else servers[moved_from] if moved_from >= 0 else "",
    )
