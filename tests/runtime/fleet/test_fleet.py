"""End-to-end tests of a site: callers, instances, simulated servers and store."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from aiohttp import ClientError
from fleet_site import ORDER, make_configuration, wait_until

from basilwick.core.errors import PlatformUnavailableError


async def test_reads_go_to_the_owner_of_their_key(site):
    """Each key has one owner, which serves it through every instance."""
    for key in (0, 30_000, 65_535):
        responses = [await site.read(key, index) for index in (0, 1)]
        assert [response.status for response in responses] == [200, 200]
        assert responses[0].body == responses[1].body
        holders = [s.name for s in site.servers if s.partitioned and s.holds(key)]
        assert len(holders) == 1
        assert responses[0].body.startswith(holders[0].encode())


async def test_one_instance_leads(site):
    assert Counter(m._election.leading for m in site.instances) == {True: 1, False: 1}


async def test_requests_and_responses_are_forwarded_unchanged(site):
    body = bytes(range(256)) * 400
    response = await site.order(body=body, **{"X-Other": "kept"})
    assert response.status == 200
    assert response.headers["X-Response-Signature"].startswith("desk")
    run = site.runs[-1]
    assert (run.method, run.target, run.body) == ("POST", f"{ORDER}x", body)


async def test_a_large_body_is_streamed(site):
    body = b"x" * (3 << 20)
    response = await site.order(body=body)
    assert response.status == 200
    assert site.runs[-1].body == body


async def test_a_body_above_the_limit_is_refused(site):
    response = await site.order(body=b"x" * (5 << 20))
    assert response.status == 413


async def test_a_path_without_route_gets_404(site):
    assert (await site.send("GET", "/none/x")).status == 404


async def test_an_order_whose_response_is_lost_runs_once(site):
    """A retry after a lost response would run the order again."""
    for server in site.servers:
        server.fault = "lose"
    before = len(site.runs)
    response = await site.order()
    assert response.status == 502
    assert len(site.runs) == before + 1


async def test_a_read_whose_response_is_lost_is_retried(site):
    for server in site.servers:
        server.fault = "lose"
    before = len(site.runs)
    response = await site.read(5)
    assert response.status == 502
    assert len(site.runs) == before + 2


async def test_a_shed_order_is_refused_as_not_run(site):
    for server in site.servers:
        server.fault = "shed"
    before = len(site.runs)
    response = await site.order()
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
    assert len(site.runs) == before


async def test_a_response_to_another_request_reaches_no_caller(site):
    """A response with another request's identity was returned to the caller."""
    for server in site.servers:
        server.fault = "stray"
    for _ in range(5):
        response = await site.order()
        assert response.body != b"stray"
        assert response.status == 200


async def test_a_repeated_rejection_is_not_taken_for_that_of_a_retry(site):
    """A caller was told "not run" while the retry on the same connection ran."""
    claim = {"pathPrefix": "/claim/", "kind": "unsafe", "service": "maps"}
    await site.store.put("op/config", make_configuration(7, claim=claim))
    await asyncio.sleep(1.9)
    for server in site.servers:
        server.fault = "repeat"
    for number in range(6):
        site.runs.clear()
        headers = {"X-Shard-Key": str(number * 9_000)}
        response = await site.send("POST", "/claim/x", headers=headers)
        assert response.status != 503 or not site.runs
        assert len(site.runs) <= 1


async def test_an_error_response_is_forwarded_with_its_signature(site):
    for server in site.servers:
        server.fault = "fail"
    response = await site.order()
    assert response.status == 500
    assert response.headers["X-Response-Signature"].startswith("desk")


async def test_a_new_configuration_takes_effect_on_all_instances(site):
    change = {"pathPrefix": "/new/", "kind": "safe", "service": "desk"}
    await site.store.put("op/config", make_configuration(7, added=change))
    await asyncio.sleep(1.9)
    for index in (0, 1):
        assert (await site.send("GET", "/new/x", index)).status == 200


async def test_an_older_or_unreadable_configuration_is_ignored(site):
    await site.store.put("op/config", make_configuration(7))
    await asyncio.sleep(1.2)
    broken = make_configuration(9)
    broken["resources"][0]["specification"].pop("timeoutMs")
    await site.store.put("op/config", broken)
    await site.store.put("op/config", {**make_configuration(3), "resources": []})
    await asyncio.sleep(1.5)
    assert [m._view.configuration.version for m in site.instances] == [7, 7]
    assert (await site.order()).status == 200


async def test_a_leaving_server_gets_no_new_requests_and_its_keys_move(site):
    leaving = next(s for s in site.servers if s.partitioned and s.holds(0))
    leaving.leaving = True
    await leaving.register()
    await asyncio.sleep(1.9)
    before = len(site.runs)
    for key in range(0, 65_536, 2048):
        assert (await site.read(key)).status == 200
    assert all(run.server != leaving.name for run in site.runs[before:])


async def test_servers_of_a_data_centre_taken_out_get_no_requests(site):
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
    await site.kill(leader)
    other = site.instances[1 - index]
    await wait_until(lambda: other._election.leading)
    site.instances = [other]
    site.caller_addresses = [site.caller_addresses[1 - index]]
    await site.wait_until_served(6.0)


async def test_reads_and_orders_are_served_while_the_store_is_down(site):
    site.store.down = True
    for _ in range(15):
        assert (await site.read(0, 1)).status == 200
        assert (await site.order(1)).status == 200
        await asyncio.sleep(0.25)
    site.store.down = False


async def test_lost_responses_of_the_store_leave_one_owner_per_key(site):
    """A write that took effect without a response must not count as a conflict."""
    site.store.lose_write_responses = True
    leaving = next(s for s in site.servers if s.partitioned and s.holds(0))
    leaving.leaving = True
    await leaving.register()
    await asyncio.sleep(2.5)
    site.store.lose_write_responses = False
    await wait_until(lambda: any(m._election.leading for m in site.instances))
    await site.wait_until_served()
    for key in (0, 65_535):
        holders = [s.name for s in site.servers if s.partitioned and s.holds(key)]
        assert len(holders) == 1


async def test_items_are_relisted_after_the_watch_history_is_lost(site):
    site.store.drop_history()
    await site.store.put("op/config", make_configuration(8))
    site.store.drop_history()
    await asyncio.sleep(2.5)
    assert {m._view.configuration.version for m in site.instances} == {8}


async def test_a_read_is_cancelled_when_its_caller_disconnects(site):
    for server in site.servers:
        server.service_time_s = 2.0
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await site.read(0)
    await wait_until(lambda: not any(s.running for s in site.servers), 1.0)


async def test_a_request_without_time_left_is_refused_at_once(site):
    response = await site.order(**{"X-Request-Deadline-Ms": "1"})
    assert response.status in (503, 504)


async def test_an_unreadable_registration_is_skipped(site):
    await site.store.put("servers/odd", {"service": 5})
    await site.store.put("servers/none", "no object")
    await asyncio.sleep(1.2)
    assert (await site.order()).status == 200


async def test_the_leader_reads_changes_for_all_instances(site):
    """Each instance read the store each second; the load grew with the fleet."""
    leader = site.find_leader()
    (other,) = [m for m in site.instances if m is not leader]
    await wait_until(lambda: other._link.heartbeat[0] is not None)
    await asyncio.sleep(2.5)
    calls = count_calls(other, "watch all")
    await site.store.put("op/config", make_configuration(9))
    await wait_until(lambda: other._view.configuration.version == 9, 1.0)
    await asyncio.sleep(2.0)
    assert count_calls(other, "watch all") == calls


async def test_instances_read_the_store_when_the_leader_has_lost_it(site):
    """The leader's heartbeats must not keep them on an old configuration."""
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
    """A slow link couldn't carry an outage's history within the timeout of a call."""
    counts = {m: count_calls(m, "list all") for m in site.instances}
    site.store.down = True
    await asyncio.sleep(4.0)
    site.store.down = False
    await asyncio.sleep(1.5)
    listed = [m for m in site.instances if count_calls(m, "list all") > counts[m]]
    assert site.find_leader() in listed


async def test_a_strong_instance_succeeds_a_lost_leader(site):
    """A leader with few processor cores limits the throughput of the whole site."""
    weak = await site.add_instance("weak", cores=0.4)
    strong = await site.add_instance("strong", cores=2.0)
    followers = [m for m in site.instances if not m._election.leading]
    await wait_until(lambda: all(m._link.max_cores == 2.0 for m in followers))
    assert weak in followers
    leader = site.find_leader()
    index = site.instances.index(leader)
    await site.kill(leader)
    site.instances.pop(index)
    site.caller_addresses.pop(index)
    await wait_until(lambda: site.find_leader() is not None)
    assert site.find_leader() is strong


def count_calls(instance, cause):
    """Return how many calls of an instance for a cause the store has answered."""
    samples = [s for m in instance._store._calls.collect() for s in m.samples]
    return sum(
        s.value
        for s in samples
        if s.name.endswith("_total")
        and (s.labels["cause"], s.labels["result"]) == (cause, "200")
    )


async def test_an_unusable_route_leaves_the_other_routes_served(site):
    """One route of an unknown kind made all instances refuse all requests."""
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


async def test_a_chunked_body_is_streamed(site):
    """A body without Content-Length was buffered whole, up to 16 MiB each."""
    body = b"y" * (3 << 20)

    async def pieces():
        for start in range(0, len(body), 100_000):
            yield body[start : start + 100_000]

    response = await site.order(body=pieces())
    assert response.status == 200
    assert site.runs[-1].body == body


async def test_a_truncated_response_is_not_completed(site):
    """A response that ended early reached the caller as a complete one."""
    for server in site.servers:
        server.fault = "break"
    with pytest.raises(ClientError):
        await site.read(5)
