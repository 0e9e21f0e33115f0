"""The whole path on the stand-ins: callers, instances, servers and store."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
import pytest_asyncio
from aiohttp import ClientError
from fleet_site import ORDER, FleetSite, make_configuration, wait_until

from basilwick.core.errors import PlatformUnavailableError


@pytest_asyncio.fixture
async def site():
    site = FleetSite()
    try:
        await site.start()
        yield site
    finally:
        await site.close()


async def test_reads_go_to_the_owner_of_their_key(site):
    """Each key has one holder, which answers from every instance."""
    for key in (0, 30_000, 65_535):
        answers = [await site.read(key, index) for index in (0, 1)]
        assert [answer.status for answer in answers] == [200, 200]
        assert answers[0].body == answers[1].body
        holders = [s.name for s in site.servers if s.partitioned and s.holds(key)]
        assert len(holders) == 1
        assert answers[0].body.startswith(holders[0].encode())


async def test_one_instance_leads(site):
    assert Counter(m._leadership.leading for m in site.instances) == {True: 1, False: 1}


async def test_the_answer_and_the_request_pass_unchanged(site):
    body = bytes(range(256)) * 400
    reply = await site.order(body=body, **{"X-Other": "kept"})
    assert reply.status == 200
    assert reply.headers["X-Response-Signature"].startswith("desk")
    run = site.runs[-1]
    assert (run.method, run.target, run.body) == ("POST", f"{ORDER}x", body)


async def test_a_large_body_is_passed_on_as_it_arrives(site):
    body = b"x" * (3 << 20)
    reply = await site.order(body=body)
    assert reply.status == 200
    assert site.runs[-1].body == body


async def test_a_body_above_the_limit_is_refused(site):
    reply = await site.order(body=b"x" * (5 << 20))
    assert reply.status == 413


async def test_a_path_without_route_gets_404(site):
    assert (await site.send("GET", "/none/x")).status == 404


async def test_an_order_whose_answer_is_lost_runs_once(site):
    """A repeat after a lost answer would run the order again."""
    for server in site.servers:
        server.trouble = "lose"
    before = len(site.runs)
    reply = await site.order()
    assert reply.status == 502
    assert len(site.runs) == before + 1


async def test_a_read_whose_answer_is_lost_is_sent_again(site):
    for server in site.servers:
        server.trouble = "lose"
    before = len(site.runs)
    reply = await site.read(5)
    assert reply.status == 502
    assert len(site.runs) == before + 2


async def test_a_shed_order_is_refused_as_not_run(site):
    for server in site.servers:
        server.trouble = "shed"
    before = len(site.runs)
    reply = await site.order()
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert len(site.runs) == before


async def test_a_stray_answer_reaches_no_caller(site):
    """An answer with another request's identity was taken for the own one."""
    for server in site.servers:
        server.trouble = "stray"
    for _ in range(5):
        reply = await site.order()
        assert reply.body != b"stray"
        assert reply.status == 200


async def test_a_failure_of_the_server_passes_with_its_mark(site):
    for server in site.servers:
        server.trouble = "fail"
    reply = await site.order()
    assert reply.status == 500
    assert reply.headers["X-Response-Signature"].startswith("desk")


async def test_a_new_configuration_is_in_force_everywhere(site):
    change = {"pathPrefix": "/new/", "kind": "safe", "service": "desk"}
    await site.store.put("op/config", make_configuration(7, added=change))
    await asyncio.sleep(1.9)
    for index in (0, 1):
        assert (await site.send("GET", "/new/x", index)).status == 200


async def test_an_older_or_unreadable_configuration_changes_nothing(site):
    await site.store.put("op/config", make_configuration(7))
    await asyncio.sleep(1.2)
    broken = make_configuration(9)
    broken["resources"][0]["specification"].pop("timeoutMs")
    await site.store.put("op/config", broken)
    await site.store.put("op/config", {**make_configuration(3), "resources": []})
    await asyncio.sleep(1.5)
    assert [m._view.configuration.version for m in site.instances] == [7, 7]
    assert (await site.order()).status == 200


async def test_a_leaving_server_gets_nothing_new_and_its_keys_move(site):
    leaving = next(s for s in site.servers if s.partitioned and s.holds(0))
    leaving.leaving = True
    await leaving.register()
    await asyncio.sleep(1.9)
    before = len(site.runs)
    for key in range(0, 65_536, 2048):
        assert (await site.read(key)).status == 200
    assert all(run.server != leaving.name for run in site.runs[before:])


async def test_servers_of_a_data_centre_out_get_nothing(site):
    await site.add_server("other", "desk")
    site.servers[-1].data_centre = "b"
    await site.servers[-1].register()
    await site.store.put("op/evacuate/a", {})
    await asyncio.sleep(1.9)
    before = len(site.runs)
    for _ in range(4):
        await site.order()
    assert {run.server for run in site.runs[before:]} <= {"other"}
    await site.store.remove("op/evacuate/a")
    await asyncio.sleep(3.0)
    assert (await site.read(0)).status == 200


async def test_another_instance_leads_when_the_leader_is_killed(site):
    leader = site.find_leader()
    index = site.instances.index(leader)
    await site.stop(leader)
    other = site.instances[1 - index]
    await wait_until(lambda: other._leadership.leading)
    site.instances = [other]
    site.callers = [site.callers[1 - index]]
    await site.wait_until_served(6.0)


async def test_reads_and_orders_go_on_while_the_store_is_down(site):
    site.store.down = True
    for _ in range(15):
        assert (await site.read(0, 1)).status == 200
        assert (await site.order(1)).status == 200
        await asyncio.sleep(0.25)
    site.store.down = False


async def test_lost_answers_of_the_store_leave_one_owner(site):
    """A write that took effect without an answer must not be taken for a conflict."""
    site.store.lose_answers = True
    leaving = next(s for s in site.servers if s.partitioned and s.holds(0))
    leaving.leaving = True
    await leaving.register()
    await asyncio.sleep(2.5)
    site.store.lose_answers = False
    await wait_until(lambda: any(m._leadership.leading for m in site.instances))
    await site.wait_until_served()
    for key in (0, 65_535):
        holders = [s.name for s in site.servers if s.partitioned and s.holds(key)]
        assert len(holders) == 1


async def test_a_lost_history_is_listed_anew(site):
    site.store.forget_history()
    await site.store.put("op/config", make_configuration(8))
    site.store.forget_history()
    await asyncio.sleep(2.5)
    assert {m._view.configuration.version for m in site.instances} == {8}


async def test_a_caller_that_leaves_ends_the_work_on_its_read(site):
    for server in site.servers:
        server.work_s = 2.0
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await site.read(0)
    await wait_until(lambda: not any(s.running for s in site.servers), 1.0)


async def test_a_request_without_time_is_refused_at_once(site):
    reply = await site.order(**{"X-Request-Deadline-Ms": "1"})
    assert reply.status in (503, 504)


async def test_an_unreadable_registration_is_passed_over(site):
    await site.store.put("servers/odd", {"service": 5})
    await site.store.put("servers/none", "no object")
    await asyncio.sleep(1.2)
    assert (await site.order()).status == 200


async def test_the_leader_reads_changes_for_all_instances(site):
    """Each instance looked at the store each second, in proportion to the fleet."""
    leader = site.find_leader()
    (other,) = [m for m in site.instances if m is not leader]
    await wait_until(lambda: other._link.heartbeat[0] is not None)
    await asyncio.sleep(2.5)
    calls = count_calls(other, "watch all")
    await site.store.put("op/config", make_configuration(9))
    await wait_until(lambda: other._view.configuration.version == 9, 1.0)
    await asyncio.sleep(2.0)
    assert count_calls(other, "watch all") == calls


async def test_instances_read_by_themselves_when_the_leader_lost_the_store(site):
    """Its signs of life must not keep them on an old configuration."""
    leader = site.find_leader()
    (other,) = [m for m in site.instances if m is not leader]

    async def fail(*_, **__):
        raise PlatformUnavailableError("cut off; nothing is read")

    leader._store.watch = leader._store.list_items = fail
    await asyncio.sleep(1.0)
    await site.store.put("op/config", make_configuration(9))
    await wait_until(lambda: other._view.configuration.version == 9, 2.0)
    assert leader._view.configuration.version == 1


async def test_all_items_are_listed_after_a_long_outage(site):
    """A slow link did not carry the history of an outage in the time for a call."""
    counts = {m: count_calls(m, "list all") for m in site.instances}
    site.store.down = True
    await asyncio.sleep(4.0)
    site.store.down = False
    await asyncio.sleep(1.5)
    listed = [m for m in site.instances if count_calls(m, "list all") > counts[m]]
    assert site.find_leader() in listed


async def test_a_strong_instance_leads_after_the_leader(site):
    """A weak leader limits what the whole site can serve."""
    weak = await site.add_instance("weak", cores=0.4)
    strong = await site.add_instance("strong", cores=2.0)
    followers = [m for m in site.instances if not m._leadership.leading]
    await wait_until(lambda: all(m._link.max_cores == 2.0 for m in followers))
    assert weak in followers
    leader = site.find_leader()
    index = site.instances.index(leader)
    await site.stop(leader)
    site.instances.pop(index)
    site.callers.pop(index)
    await wait_until(lambda: site.find_leader() is not None)
    assert site.find_leader() is strong


def count_calls(instance, cause):
    """Return the answered calls of an instance to the store for a cause."""
    samples = [s for m in instance._store._calls.collect() for s in m.samples]
    return sum(
        s.value
        for s in samples
        if s.name.endswith("_total")
        and (s.labels["cause"], s.labels["result"]) == (cause, "200")
    )


async def test_an_unusable_route_leaves_the_other_routes_served(site):
    """One route of a kind that was not known made all instances refuse everything."""
    selector = {"service": "desk", "pathPrefix": "/new/"}
    broken = {"timeoutMs": "soon", "kind": "safe", **selector}
    odd = {"kind": "odd", "service": "desk", "pathPrefix": "/odd/"}
    await site.store.put("op/config", make_configuration(7, added=broken, odd=odd))
    views = [instance._view for instance in site.instances]
    await wait_until(lambda: all(v.configuration.version == 7 for v in views))
    assert (await site.send("GET", "/new/x")).status == 503
    assert (await site.send("POST", "/odd/x")).status == 200
    assert (await site.read(5)).status == 200
    assert (await site.order()).status == 200


async def test_a_chunked_body_is_passed_on_as_it_arrives(site):
    """A body without a stated length was held whole, up to 16 MiB each."""
    body = b"y" * (3 << 20)

    async def pieces():
        for start in range(0, len(body), 100_000):
            yield body[start : start + 100_000]

    reply = await site.order(body=pieces())
    assert reply.status == 200
    assert site.runs[-1].body == body


async def test_a_long_answer_that_breaks_off_is_not_whole(site):
    """An answer that ended early reached the caller as a complete one."""
    for server in site.servers:
        server.trouble = "break"
    with pytest.raises(ClientError):
        await site.read(5)
