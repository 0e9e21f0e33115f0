"""Evidence that earlier terms have ended, between the instances of a site."""

from __future__ import annotations

import asyncio
from time import monotonic
from types import SimpleNamespace

import pytest
import pytest_asyncio
from fleet_site import FleetSite, make_configuration, wait_until
from test_range_manager import DelayedWriteStore

from basilwick.core.dispatch.messages import Hello, TermEnded, TermQuery
from basilwick.core.dispatch.site import ServerEntry, SiteView
from basilwick.core.errors import PlatformUnavailableError
from basilwick.core.ranges.earlier_terms import OwnTerms, ProcessIdentity
from basilwick.core.ranges.orders import OrderResult, OwnershipTimings
from basilwick.core.ranges.table import StoredRange
from basilwick.platform.key_value_store import Item
from basilwick.runtime.fleet.fleet_instance import FleetInstance
from basilwick.runtime.fleet.leader_links import LeaderLink
from basilwick.runtime.fleet.order_messages import classify_answer, has_successor
from basilwick.runtime.fleet.range_manager import RangeManager
from basilwick.runtime.fleet.stored_ranges import (
    StoredRanges,
    decode_ranges,
    encode_ranges,
    get_ranges_key,
)
from basilwick.runtime.fleet.term_evidence import EvidenceSources
from basilwick.transport.link import Link

PROCESS = ProcessIdentity("i0", "10.0.0.1:7000", "a")
BULK_ROUTE = {"pathPrefix": "/bulk/", "kind": "download", "service": "desk"}


def make_manager(store, own_terms=None):
    return RangeManager(
        SimpleNamespace(service="maps"),
        None,
        store,
        None,
        OwnershipTimings(),
        monotonic,
        None,
        EvidenceSources(own_terms or OwnTerms()),
        uses_evidence=True,
    )


async def test_a_term_is_listed_by_the_write_that_takes_over():
    """A term that was listed later could have sent orders that no list named."""
    store = DelayedWriteStore()
    own_terms = OwnTerms(PROCESS)
    first = make_manager(store, own_terms)
    await first.start()
    assert list(decode_ranges(store.item.value).terms) == [first.term]
    second = make_manager(store, own_terms)
    await second.start()
    assert decode_ranges(store.item.value).terms == [first.term, second.term]
    await first.close()
    assert own_terms.knows_end(first.term)
    assert not own_terms.knows_end(second.term)


async def test_a_takeover_that_failed_leaves_no_term_that_counts_as_live():
    """Its write took effect late, and later leaders waited for a term without end."""
    store = DelayedWriteStore()
    await make_manager(store).start()
    own_terms = OwnTerms(PROCESS)
    manager = make_manager(store, own_terms)
    store.delay_next_write = True
    with pytest.raises(PlatformUnavailableError):
        await manager.start()
    assert own_terms.knows_end(manager.term)


async def test_after_a_leader_of_an_earlier_build_no_list_is_stored():
    """The next leader would have taken the list for complete."""
    store = DelayedWriteStore()
    ranges = [StoredRange(0, 65535, "m0")]
    value = encode_ranges(StoredRanges(300, ranges, "earlier", 0))
    store.item = Item(get_ranges_key("maps"), value, 1)
    manager = make_manager(store)
    await manager.start()
    assert decode_ranges(store.item.value).terms is None
    (only,) = manager.controller.table.ranges
    assert only.latest_grant_end > monotonic() + 12.0


async def test_a_linked_instance_states_only_terms_that_have_ended():
    """A leader gave keys away while the asked instance still sent orders."""
    received, links = [], []
    loop = asyncio.get_running_loop()

    def accept():
        links.append(Link(lambda _, message: received.append(message), lambda _: None))
        return links[-1]

    server = await loop.create_server(accept, "127.0.0.1", 0)
    own_terms = OwnTerms(PROCESS)
    ended, live = own_terms.begin(), own_terms.begin()
    own_terms.end(ended)
    link = LeaderLink(Hello("i0", "a"), monotonic)
    link.knows_term_end = own_terms.knows_end
    link.set_leader_address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 3)
    await link.start()
    await wait_until(lambda: received)
    for term in (live, ended):
        links[0].send(TermQuery(term.writer, "i0", "10.0.0.1:7000", "a"))
    await wait_until(lambda: len(received) > 1)
    await asyncio.sleep(0.05)
    await link.close()
    server.close()
    assert received[1:] == [TermEnded(ended.writer)]


def make_server(name, started_ms, address="10.0.1.1:80"):
    return ServerEntry(name, "maps", address, "a", 4, False, 0.0, started_ms)


@pytest.mark.parametrize(
    ("other", "expected"),
    [
        (make_server("m1", 20), True),
        (make_server("m1", 5), False),
        (make_server("m1", 20, "10.0.1.2:80"), False),
    ],
)
def test_only_a_later_process_at_the_address_replaces_a_server(other, expected):
    """A registration of a former process, which arrives late, shows nothing."""
    view = SiteView()
    for server in (make_server("m0", 10), other):
        view.apply_server(server, 0.0)
    assert has_successor(view.get_server("m0"), view) == expected
    answer = SimpleNamespace(status=421)
    result = OrderResult.ENDED if expected else OrderResult.UNKNOWN
    assert classify_answer(answer, expected) == (result, None)


@pytest_asyncio.fixture
async def site():
    site = FleetSite(instance_count=3)
    try:
        await site.start()
        await site.store.put("op/config", make_configuration(2, bulk=BULK_ROUTE))
        await wait_until(lambda: all(i._view.has_bulk_routes for i in site.instances))
        yield site
    finally:
        await site.close()


async def lose_server(site):
    """Lose a server that owns keys, without a word."""
    server = next(s for s in site.servers if s.partitioned)
    await server.close()
    await site.store.remove(f"servers/{server.name}")


async def wait_for_owners(site, timeout_s):
    """Wait until each key is owned, as the present leader knows."""

    def all_owned():
        leader = site.find_leader()
        manager = leader and leader._role and leader._role._range_managers.get("maps")
        if not manager:
            return False
        now = monotonic()
        ranges = manager.controller.table.ranges
        return all(r.owner and r.serving_until > now for r in ranges)

    await wait_until(all_owned, timeout_s)


async def test_keys_of_a_server_lost_with_a_leader_that_resigns_are_owned_soon(site):
    """They had no owner for 12.8 s, although the former leader could tell its end."""
    leader = site.find_leader()
    await lose_server(site)
    await leader._election.withdraw()
    await wait_until(lambda: site.find_leader() not in (None, leader))
    await wait_for_owners(site, 5.5)


async def test_keys_of_a_server_lost_with_a_killed_leader_are_owned_soon(site):
    """The next process of the killed leader shows that the former one has ended."""
    leader = site.find_leader()
    site.instances.remove(leader)
    await lose_server(site)
    await site.kill(leader)
    restarted = FleetInstance(leader._deployment)
    await restarted.start()
    site.instances.append(restarted)
    await wait_until(lambda: site.find_leader() is not None)
    await wait_for_owners(site, 7.0)


async def test_keys_of_a_process_whose_address_is_used_again_move_at_once(site):
    """Their grants were waited out, although the next process had answered."""
    leader = site.find_leader()
    await leader._election.withdraw()
    await wait_until(lambda: site.find_leader() not in (None, leader))
    await wait_for_owners(site, 8.0)
    # An earlier leader may count on its lease for 2 s.
    await asyncio.sleep(2.2)
    former = next(s for s in site.servers if s.partitioned)
    await former.close()
    await site.add_server("next", "maps", partitioned=True, address=former.address)
    manager = site.find_leader()._role._range_managers["maps"]
    await wait_until(
        lambda: former.name not in {r.owner for r in manager.controller.table.ranges},
        2.5,
    )


async def test_a_process_that_is_waited_for_is_asked_when_its_address_is_used(site):
    """The leader sent no more orders, and the grants were waited out to their end."""
    await site.find_leader()._election.withdraw()
    await wait_for_owners(site, 8.0)
    manager = site.find_leader()._role._range_managers["maps"]
    former = next(s for s in site.servers if s.partitioned)
    await former.close()
    await wait_until(
        lambda: former.name in manager.controller.table.list_awaited_owners()
    )
    for key_range in manager.controller.table.ranges:
        if key_range.owner == former.name:
            key_range.latest_grant_end = monotonic() + 60.0
    await site.add_server("next", "maps", partitioned=True, address=former.address)
    await wait_for_owners(site, 4.0)
