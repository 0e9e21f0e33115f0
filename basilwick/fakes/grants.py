"""Grants as a checking backend server keeps them."""

from __future__ import annotations

from typing import Any

from attrs import define, field

from basilwick.core.hashing import compute_key_hash

__all__ = ["GrantTable"]


@define
class _BlockGrant:
    generation: int
    expires_at_ms: float
    shards: dict[int, int]
    hot: dict[int, int]


@define
class GrantTable:
    """Shards that a server may run, until when, and the highest fences seen.

    Attributes
    ----------
    digest : str
        Digest that the last sender of a complete list gave it; empty when the list was
        accepted only in part.
    """

    digest: str = ""
    _blocks: dict[tuple[str, int], _BlockGrant] = field(factory=dict)
    _generations: dict[tuple[str, int], int] = field(factory=dict)
    _highest: dict[tuple[str, str, int], int] = field(factory=dict)

    def apply(self, message: dict[str, Any]) -> None:
        """Take a grant message as ``PUT /grants`` carries it."""
        expires_at_ms = message["expires_at_ms"]
        if "blocks" not in message:
            if message["digest"] == self.digest:
                for grant in self._blocks.values():
                    grant.expires_at_ms = max(grant.expires_at_ms, expires_at_ms)
            return
        accepted = {
            (entry["service"], entry["block"])
            for entry in message["blocks"]
            if self._apply_block(entry, expires_at_ms)
        }
        if len(accepted) < len(message["blocks"]):
            # The sender knows less than another sender did, so what it leaves out is
            # no revocation.
            self.digest = ""
            return
        self._blocks = {key: self._blocks[key] for key in accepted}
        self.digest = message["digest"]

    def _apply_block(self, entry: dict[str, Any], expires_at_ms: float) -> bool:
        key = (entry["service"], entry["block"])
        generation = entry["generation"]
        if generation < self._generations.get(key, 0):
            return False
        known = self._blocks.get(key)
        if known is not None and known.generation == generation:
            expires_at_ms = max(known.expires_at_ms, expires_at_ms)
        shards = {int(shard): fence for shard, fence in entry["shards"].items()}
        hot = {int(text, 16): fence for text, fence in entry.get("hot", {}).items()}
        self._generations[key] = generation
        self._blocks[key] = _BlockGrant(generation, expires_at_ms, shards, hot)
        for kind, fences in (("shard", shards), ("hot", hot)):
            for number, fence in fences.items():
                place = (entry["service"], kind, number)
                self._highest[place] = max(self._highest.get(place, 0), fence)
        return True

    def find_objection(
        self, service: str, shard: int, key: str, fence: int, clock_ms: float
    ) -> str | None:
        """Return why a request may not run, None when it may."""
        key_hash = compute_key_hash(service, key)
        for (name, _), grant in self._blocks.items():
            granted = grant.hot.get(key_hash, grant.shards.get(shard))
            if name != service or granted is None:
                continue
            if fence != granted:
                return f"fence {fence} is not the granted fence {granted}"
            if clock_ms >= grant.expires_at_ms:
                return "the grant has ended"
            return None
        highest = self._highest.get((service, "shard", shard), 0)
        if fence < highest:
            return f"fence {fence} is below the highest fence {highest}"
        return "no grant"
