"""Reading changes while the leader passes changes on."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from orjson import dumps

from basilwick.core.dispatch.messages import (
    Hello,
    ItemChange,
    LeaderHeartbeat,
    SharedChanges,
)
from basilwick.core.dispatch.site import SiteView
from basilwick.metrics import FleetMetrics
from basilwick.platform.key_value_store import Change, ChangeBatch, Item
from basilwick.runtime.fleet.leader_election import StoredState
from basilwick.runtime.fleet.leader_links import LeaderLink, LinkListener
from basilwick.runtime.fleet.site_watch import SiteWatch


def encode_server(name):
    return dumps(
        {
            "service": "maps",
            "address": f"127.0.0.1:{name[1:]}",
            "zone": "a",
            "slots": 4,
            "state": "ready",
            "warmupRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }
    )


class SlowStore:
    """Store whose lists wait until they are let go."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.items = {"servers/s1": (encode_server("s1"), 2)}
        self.revision = 2
        self.history = []

    async def list_items(self, prefix, cause, stale=False):
        rows, revision = dict(self.items), self.revision
        await self.gate.wait()
        items = [Item(k, v, r) for k, (v, r) in rows.items() if k.startswith(prefix)]
        return items, revision

    async def watch(self, prefix, after, wait_s, cause):
        changes = [change for change in self.history if change.revision > after]
        return ChangeBatch(changes, self.revision)

    def put(self, name):
        self.revision += 1
        self.items[f"servers/{name}"] = (encode_server(name), self.revision)
        change = Change(f"servers/{name}", encode_server(name), self.revision)
        self.history.append(change)
        return change


@pytest.fixture
def parts():
    now = [0.0]

    def clock():
        return now[0]

    store, view = SlowStore(), SiteView()
    link = LeaderLink(Hello("i", "a"), clock)
    listener = LinkListener("127.0.0.1:0", Hello("i", "a"))
    metrics = FleetMetrics()
    watch = SiteWatch(
        store, view, StoredState(), clock, Random(1), link, listener, metrics
    )
    return watch, store, view, now


def share(change, after):
    value = change.value.decode("latin-1")
    rows = (ItemChange(change.key, value, change.revision),)
    return SharedChanges(after, change.revision, False, rows)


async def test_a_change_passed_on_during_a_list_is_not_lost(parts):
    """The list did not name the new server, and no later look brought it back."""
    watch, store, view, now = parts
    store.gate.set()
    await watch._update(now[0])
    now[0] = 10.0
    store.gate.clear()
    listing = asyncio.create_task(watch._update(now[0]))
    await asyncio.sleep(0)
    change = store.put("s2")
    watch._apply_shared(share(change, after=2))
    store.gate.set()
    await listing
    await watch._update(now[0])
    assert view.get_server("s2") is not None
    assert {s.name for s in view.list_servers("maps")} == {"s1", "s2"}


async def test_changes_passed_on_are_applied(parts):
    watch, store, view, now = parts
    store.gate.set()
    await watch._update(now[0])
    watch._apply_shared(share(store.put("s2"), after=2))
    assert view.get_server("s2") is not None
    assert watch._complete_heartbeat(LeaderHeartbeat(2)).revision == 3
