"""Servers of a partitioned service that grant, release and record who holds a key."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field

from harness import Record, Request, Server, Site, encode_answer

SAMPLE_S = 0.02


@dataclass
class Hold:
    """Keys that a server holds until a time."""

    first: int
    last: int
    fence: int
    until: float


@dataclass(eq=False)
class OwningServer(Server):
    """Server that runs a request only while it holds its key."""

    holds: list[Hold] = field(default_factory=list)
    #: Highest fence seen, by spans of keys.
    fences: list[tuple[int, int, int]] = field(default_factory=list)
    alive: bool = True

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.headers.get("x-expected-instance", self.name) != self.name:
            writer.write(encode_answer(request, 421, b"", {"X-Not-Executed": "1"}))
            return True
        if request.target in ("/grant", "/release"):
            order = json.loads(request.body)
            status, fields = 200, ""
            if request.target == "/grant":
                status = 200 if self._take(order) else 409
            else:
                self._give_up(order)
                while self.running:
                    await asyncio.sleep(0.005)
                fields = "X-Handover: token\r\n"
            self.record.add(
                request.target, server=self.name, status=status, order=order
            )
            writer.write(
                f"HTTP/1.1 {status} Order\r\n{fields}Content-Length: 0\r\n\r\n".encode()
            )
            return True
        key = int(request.headers.get("x-shard-key", "-1"))
        if request.target != "/health" and not self.holds_key(key):
            writer.write(encode_answer(request, 421, b"", {"X-Not-Executed": "1"}))
            return True
        return await super()._handle(request, writer)

    def holds_key(self, key: int) -> bool:
        """Return whether a key is held now."""
        now = time.monotonic()
        return any(h.first <= key <= h.last and now < h.until for h in self.holds)

    def list_held(self) -> list[Hold]:
        """Return what is held now."""
        now = time.monotonic()
        return [hold for hold in self.holds if now < hold.until]

    def _take(self, order: dict) -> bool:
        first, last, fence = order["source"], order["to"], order["fence"]
        if any(a <= last and first <= b and fence < f for a, b, f in self.fences):
            return False
        self.fences.append((first, last, fence))
        self._cut(first, last)
        until = time.monotonic() + order["holdMs"] / 1000
        self.holds.append(Hold(first, last, fence, until))
        return True

    def _give_up(self, order: dict) -> None:
        self._cut(order["source"], order["to"], order["fence"])

    def _cut(self, first: int, last: int, fence: int | None = None) -> None:
        """Remove a span of keys from what is held, up to a fence."""
        kept = []
        for hold in self.list_held():
            newer = fence is not None and hold.fence > fence
            if newer or hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(Hold(hold.first, first - 1, hold.fence, hold.until))
            if last < hold.last:
                kept.append(Hold(last + 1, hold.last, hold.fence, hold.until))
        self.holds = kept


@dataclass
class OwnerCheck:
    """Measures for how long two servers hold the same keys."""

    site: Site
    record: Record
    #: Longest time in seconds, and who held which keys.
    longest_s: float = 0.0
    detail: str = ""

    async def run(self) -> None:
        """Look at what all servers hold, at short intervals."""
        since: dict[tuple[str, str], float] = {}
        while True:
            now = time.monotonic()
            overlaps = self._find_overlaps()
            for pair, (first, last) in overlaps.items():
                if pair not in since:
                    self.record.add("two holders", servers=pair, keys=[first, last])
                began_at = since.setdefault(pair, now)
                if now - began_at > self.longest_s:
                    self.longest_s = now - began_at
                    self.detail = f"{pair[0]} and {pair[1]} held keys {first} to {last}"
            since = {pair: since[pair] for pair in overlaps}
            await asyncio.sleep(SAMPLE_S)

    def _find_overlaps(self) -> dict[tuple[str, str], tuple[int, int]]:
        found = {}
        servers = [s for s in self.site.servers if isinstance(s, OwningServer)]
        for index, one in enumerate(servers):
            for other in servers[index + 1 :]:
                for a in one.list_held() if one.alive and other.alive else ():
                    for b in other.list_held():
                        first, last = max(a.first, b.first), min(a.last, b.last)
                        if first <= last:
                            found[one.name, other.name] = (first, last)
        return found
