"""Grants that a backend server checks requests against."""

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
    """Granted shards of a server with their expiry, and the highest fences seen.

    Attributes
    ----------
    digest : str
        Digest that came with the last complete list of grants; empty if that list was
        accepted only in part.
    """

    digest: str = ""
    _blocks: dict[tuple[str, int], _BlockGrant] = field(factory=dict)
    _generations: dict[tuple[str, int], int] = field(factory=dict)
    _highest_fences: dict[tuple[str, str, int], int] = field(factory=dict)

    def apply(self, message: dict[str, Any]) -> None:
        """Apply the body of ``PUT /grants``."""
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
            # This sender's list is older than that of another sender, so a block
            # missing from it is not revoked.
            self.digest = ""
            return
        self._blocks = {key: self._blocks[key] for key in accepted}
        self.digest = message["digest"]

    def _apply_block(self, entry: dict[str, Any], expires_at_ms: float) -> bool:
        key = (entry["service"], entry["block"])
        generation = entry["generation"]
        if generation < self._generations.get(key, 0):
            return False
        current = self._blocks.get(key)
        if current is not None and current.generation == generation:
            expires_at_ms = max(current.expires_at_ms, expires_at_ms)
        shards = {int(shard): fence for shard, fence in entry["shards"].items()}
        hot = {int(text, 16): fence for text, fence in entry.get("hot", {}).items()}
        self._generations[key] = generation
        self._blocks[key] = _BlockGrant(generation, expires_at_ms, shards, hot)
        for kind, fences in (("shard", shards), ("hot", hot)):
            for number, fence in fences.items():
                fence_key = (entry["service"], kind, number)
                self._highest_fences[fence_key] = max(
                    self._highest_fences.get(fence_key, 0), fence
                )
        return True

    def find_refusal_reason(
        self, service: str, shard: int, key: str, fence: int, clock_ms: float
    ) -> str | None:
        """Return why a request must be refused, or None if it may run."""
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
        highest = self._highest_fences.get((service, "shard", shard), 0)
        if fence < highest:
            return f"fence {fence} is below the highest fence {highest}"
        return "no grant"
