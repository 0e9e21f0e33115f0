"""How the ranges of a service are taken over and stored."""

from __future__ import annotations

import asyncio
from time import monotonic
from types import SimpleNamespace

import pytest

from basilwick.core.errors import PlatformUnavailableError
from basilwick.core.ranges.orders import OwnershipTimings
from basilwick.core.ranges.table import StoredRange
from basilwick.platform.key_value_store import Item, WriteResult
from basilwick.runtime.fleet.range_manager import DeposedError, RangeManager
from basilwick.runtime.fleet.stored_ranges import decode_ranges


class RacingStore:
    """Store whose readers all see a key before any of them writes it."""

    def __init__(self, readers):
        self.item = None
        self._all_read = asyncio.Barrier(readers)

    async def get(self, key, cause):
        item = self.item
        if cause == "read ranges":
            await self._all_read.wait()
        return item

    async def write(self, key, value, revision, cause):
        if revision != (self.item.revision if self.item else 0):
            return WriteResult.CONFLICT, 0
        self.item = Item(key, value, revision + 1)
        return WriteResult.DONE, revision + 1


async def test_two_leaders_never_reserve_the_same_fences():
    """Each took the other's write for its own, as both wrote the same value."""
    store = RacingStore(2)
    managers = [
        RangeManager(
            SimpleNamespace(service="maps"),
            None,
            store,
            None,
            OwnershipTimings(),
            monotonic,
            None,
        )
        for _ in range(2)
    ]
    starts = [manager.start() for manager in managers]
    results = await asyncio.gather(*starts, return_exceptions=True)
    assert {type(result) for result in results} == {DeposedError, type(None)}


class LateStore:
    """Store that carries the first write after the start out late, without answer."""

    def __init__(self):
        self.item = None
        self.late = None
        self.lose_next = False

    async def get(self, key, cause):
        return self.item

    async def write(self, key, value, revision, cause):
        if self.lose_next:
            self.lose_next = False
            self.late = value, revision
            raise PlatformUnavailableError("no answer")
        if revision != (self.item.revision if self.item else 0):
            return WriteResult.CONFLICT, 0
        self.item = Item(key, value, revision + 1)
        return WriteResult.DONE, revision + 1

    def apply_late(self):
        value, revision = self.late
        assert revision == self.item.revision
        self.item = Item(self.item.key, value, revision + 1)


async def test_an_own_write_that_took_effect_late_deposes_nobody():
    """The leader took its own earlier write for that of another leader."""
    store = LateStore()
    manager = RangeManager(
        SimpleNamespace(service="maps"),
        None,
        store,
        None,
        OwnershipTimings(),
        monotonic,
        None,
    )
    await manager.start()
    store.lose_next = True
    with pytest.raises(PlatformUnavailableError):
        await manager._save([StoredRange(0, 65535, "m0")])
    store.apply_late()
    # Keys began to move before the write was repeated.
    await manager._save([StoredRange(0, 65535, "m1", "m0")])
    stored = decode_ranges(store.item.value)
    assert stored.ranges == [StoredRange(0, 65535, "m1", "m0")]


async def test_a_long_term_reserves_more_fences():
    """After 100,000 fences a leader sent no more orders, and kept its lease."""
    store = LateStore()
    permits = SimpleNamespace(
        may_renew_grants=lambda: True, may_move_ranges=lambda: False
    )
    selector = SimpleNamespace(service="maps", list_eligible_owners=lambda now: [])
    manager = RangeManager(
        selector, None, store, None, OwnershipTimings(), monotonic, permits
    )
    await manager.start()
    fences = manager.controller.fences
    first_end = fences.end
    fences.next_fence = first_end - 10
    manager.tick()
    await asyncio.gather(*manager._tasks)
    stored = decode_ranges(store.item.value)
    assert fences.end == stored.reserved_end > first_end
