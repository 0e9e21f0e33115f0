"""Hashes that map keys to shards and duties or shards to their holders."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from basilwick.core.types import KeyHash, ServiceName

__all__ = ["assign_bounded", "compute_key_hash", "rank_candidates"]


def compute_key_hash(service: ServiceName, key: str) -> KeyHash:
    """Return the 64-bit hash of a key within its service."""
    return xxh3_64_intdigest(f"{service}\0{key}".encode())


def rank_candidates(item: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates by descending rendezvous score for an item.

    Rendezvous hashing (Thaler and Ravishankar, 1998) moves only the items of a
    candidate that leaves, and takes an even share from the others for one that joins.
    """
    return sorted(
        candidates,
        key=lambda candidate: (
            xxh3_64_intdigest(f"{item}\0{candidate}".encode()),
            candidate,
        ),
        reverse=True,
    )


def assign_bounded(
    items: Sequence[str],
    candidates: Sequence[str],
    weights: Mapping[str, float] | None = None,
    slack: float = 1.0,
) -> dict[str, str]:
    """Assign each item to a candidate by rendezvous hashing with bounded loads.

    No candidate gets more than ``ceil(slack * share)`` items (Mirrokni, Thorup and
    Zadimoghaddam, 2018), so that a small number of items is spread evenly as well.

    Parameters
    ----------
    items : sequence of str
        Items in any order; the result does not depend on it.
    candidates : sequence of str
        Names that can hold items. An empty sequence gives an empty result.
    weights : mapping of str to float, optional
        Relative capacity of each candidate, 1 when not given.
    slack : float, default=1.0
        Bound on the load as a multiple of the fair share.

    Returns
    -------
    dict of str to str
        The candidate of each item.
    """
    if not candidates:
        return {}
    weight_of = {name: (weights or {}).get(name, 1.0) for name in candidates}
    total = sum(weight_of.values())
    if total <= 0:
        return {}
    room = {
        name: ceil(slack * len(items) * weight / total)
        for name, weight in weight_of.items()
    }
    assigned = {}
    for item in sorted(items, key=_hash_text):
        for candidate in rank_candidates(item, candidates):
            if room[candidate] > 0:
                room[candidate] -= 1
                assigned[item] = candidate
                break
    return assigned


def _hash_text(text: str) -> int:
    return xxh3_64_intdigest(text.encode())
