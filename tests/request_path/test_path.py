"""Requests through listeners, gateways and connections, over real sockets."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from time import monotonic, sleep

import pytest
from attrs import evolve
from orjson import loads
from request_harness import reply, run_cluster, run_server

from basilwick.core.timing import PERMISSION_TERM_S
from basilwick.fakes.proxy import FaultProxy, LinkFault


class Script:
    """Backend server that counts runs and does what a test sets."""

    def __init__(self, act=None):
        self.act = act
        self.requests = []
        self.cancelled = 0

    async def __call__(self, request):
        self.requests.append(request)
        try:
            if self.act is not None:
                answer = await self.act(request, len(self.requests))
                if answer is not None:
                    return answer
            return reply(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


async def _start(stack, script, count=1, slots=4, proxy=False):
    address = await stack.enter_async_context(run_server(script))
    fault = None
    if proxy:
        fault = FaultProxy(address)
        await fault.start()
        stack.push_async_callback(fault.close)
        address = fault.address
    cluster = await stack.enter_async_context(run_cluster(address, count, slots))
    return cluster, fault


async def _wait_for(condition, timeout_s=2.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


def _outcome(result):
    status, body, headers = result
    data = loads(body)
    assert (headers["Basilwick-Error"], headers["Basilwick-Outcome"]) == (
        data["error"],
        data["outcome"],
    )
    return status, data["error"], data["outcome"]


async def test_request_passes_through_the_gateway_with_its_rights():
    # Guards against requests without fence, expiry and deadline at a server.
    script = Script()
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script, count=2)
        status, body, _ = await cluster.send(instance=1)
        assert (status, body) == (200, b"ok")
        headers = script.requests[0].headers
        assert headers["Basilwick-Fence"] == "1"
        assert headers["Basilwick-Shard"].startswith("clue/")
        assert 1 <= int(headers["Basilwick-Deadline-Ms"]) <= 2000
        longest = (monotonic() + PERMISSION_TERM_S) * 1000 + 1000
        assert int(headers["Basilwick-Expires-At"]) <= longest
        assert cluster.limiter(0).latencies.quantile(0.5) is not None
        assert "Basilwick-Key" not in headers


DEADLINE = {"Basilwick-Deadline-Ms": "400"}


async def test_request_for_a_moving_shard_waits_until_it_is_active():
    # Guards against two owners of a key: a send before the wait of a move is over.
    script = Script()
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script)
        cluster.set(active_at=float("inf"))
        refused = await cluster.send(headers=DEADLINE)
        assert _outcome(refused) == (504, "deadline_exceeded", "not_run")
        cluster.set(active_at=monotonic() + 0.1)
        started = monotonic()
        assert (await cluster.send())[0] == 200
        assert monotonic() - started >= 0.1


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        ({"permitted": False}, (503, "no_permission", "not_run")),
        ({"active_at": float("inf")}, (504, "deadline_exceeded", "not_run")),
    ],
)
@pytest.mark.parametrize("queued", [False, True])
async def test_nothing_is_sent_without_the_right_to_send(change, kind, queued):
    # Guards against a send by an instance that was paused or cut off, at arrival and
    # after a wait in the queue.
    async def _act(request, number):
        await asyncio.sleep(0.15)

    script = Script(_act)
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script, slots=1)
        tasks = []
        if queued:
            tasks.append(asyncio.create_task(cluster.send("POST")))
            await _wait_for(lambda: script.requests)
        else:
            cluster.set(**change)
        tasks.append(asyncio.create_task(cluster.send("POST", headers=DEADLINE)))
        if queued:
            await _wait_for(lambda: cluster.limiter().queued == 1)
            cluster.set(**change)
        results = await asyncio.gather(*tasks)
        assert _outcome(results[-1]) == kind
        assert len(script.requests) == queued


async def test_request_that_moved_while_queued_goes_to_the_new_owner():
    # Guards against a send to the previous owner after a wait in its queue.
    async def _slow(request, number):
        await asyncio.sleep(0.1)

    old, new = Script(_slow), Script()
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, old, slots=1)
        address = await stack.enter_async_context(run_server(new))
        first = asyncio.create_task(cluster.send())
        await _wait_for(lambda: old.requests)
        second = asyncio.create_task(cluster.send())
        await _wait_for(lambda: cluster.limiter().queued == 1)
        owner = evolve(cluster.views[0].owner, name="clue-2", address=address)
        cluster.set(owner=owner, fence=2, generation=2)
        assert (await first)[0] == (await second)[0] == 200
        assert (len(old.requests), len(new.requests)) == (1, 1)
        assert new.requests[0].headers["Basilwick-Fence"] == "2"


async def test_unreachable_gateway_is_replaced_by_the_next():
    # Guards against keys that stop when their gateway is lost.
    script = Script()
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script, count=3)
        await cluster.servers[0].close()
        # More requests than the retry budget allows extra sends.
        for _ in range(20):
            assert (await cluster.send("POST", instance=1))[0] == 200
        assert len(script.requests) == 20


async def _silence_connections(stack, cluster, proxy):
    """Silence all open connections; grants show that the server still answers."""

    async def _probe():
        while True:
            await cluster.servers[0].path.backends.get_load(cluster.views[0].owner)
            await asyncio.sleep(0.02)

    proxy.set_fault(LinkFault.SILENT)
    proxy.fault = LinkFault.NONE
    task = asyncio.create_task(_probe())
    stack.callback(task.cancel)


@pytest.mark.parametrize("slots", [1, 4])
async def test_lookups_survive_connections_that_went_silent(slots):
    # Guards against requests that wait for their deadline on dead connections while
    # new connections work; one slot leaves no room for a hedge.
    script = Script()
    async with AsyncExitStack() as stack:
        cluster, proxy = await _start(stack, script, slots=slots, proxy=True)
        for _ in range(80):
            assert (await cluster.send())[0] == 200
        await _silence_connections(stack, cluster, proxy)
        for _ in range(5):
            started = monotonic()
            assert (await cluster.send())[0] == 200
            assert monotonic() - started < 1.0


async def test_operation_on_a_silent_connection_is_unknown_and_runs_once():
    # Guards against repeating an operation that a byte may have reached, and against
    # giving up its connection while the answer can still arrive.
    script = Script()
    async with AsyncExitStack() as stack:
        cluster, proxy = await _start(stack, script, proxy=True)
        assert (await cluster.send("POST"))[0] == 200
        await _silence_connections(stack, cluster, proxy)
        result = await cluster.send("POST", headers={"Basilwick-Deadline-Ms": "300"})
        assert _outcome(result) == (504, "deadline_exceeded", "unknown")
        assert [request.method for request in script.requests].count("POST") == 1


async def test_slow_lookup_is_hedged_on_another_connection():
    # Guards against tail latency from one slow request, and against a loser that is
    # left running. The hedge starts after 60 ms, the silence limit is 180 ms.
    async def _act(request, number):
        await asyncio.sleep({25: 1.0, 26: 0.0}.get(number, 0.06))

    script = Script(_act)
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script)
        for _ in range(24):
            await cluster.send()
        started = monotonic()
        assert (await cluster.send())[0] == 200
        assert monotonic() - started < 0.17
        assert len(script.requests) == 26
        await _wait_for(lambda: script.cancelled == 1)
        assert cluster.limiter().running == 0


async def test_crossed_answer_reaches_no_caller():
    # Guards against the answer of one caller's request going to another caller.
    async def _cross(request, number):
        answer = reply(request, body=b"of another caller")
        answer.headers["Basilwick-Attempt"] = "another"
        return answer

    script = Script(_cross)
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script)
        result = await cluster.send("POST")
        assert _outcome(result) == (502, "connection_lost", "unknown")
        assert len(script.requests) == 1


@pytest.mark.parametrize("instance", [0, 1])
async def test_lost_answer_after_a_run_is_unknown_and_not_repeated(instance):
    # Guards against a second run after the answer of the first was lost, and against
    # the claim that it did not run.
    async def _lose(request, number):
        request.transport.abort()
        await asyncio.sleep(0.05)

    script = Script(_lose)
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script, count=2)
        result = await cluster.send("POST", instance=instance)
        assert _outcome(result) == (502, "connection_lost", "unknown")
        token = await cluster.get_token(instance=1)
        headers = {"Basilwick-Token": token}
        for _ in range(2):
            result = await cluster.send("POST", instance=instance, headers=headers)
            assert _outcome(result) == (502, "connection_lost", "unknown")
        assert len(script.requests) == 2


async def test_servers_own_word_allows_not_run():
    # Guards against refusals as unknown although the server said that it did not run.
    async def _refuse(request, number):
        return reply(request, 409, Basilwick_Run="not-run")

    script = Script(_refuse)
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script)
        result = await cluster.send("POST")
        assert _outcome(result) == (503, "server_refused", "not_run")
        assert 1 < len(script.requests) < 30


async def test_token_runs_once_at_any_instance():
    # Guards against a second run when repeats reach other instances or join.
    async def _slow(request, number):
        await asyncio.sleep(0.05)
        return reply(request, body=str(number).encode())

    script = Script(_slow)
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script, count=3)
        headers = {"Basilwick-Token": await cluster.get_token(instance=2)}
        repeats = [
            cluster.send("POST", instance=number % 3, headers=headers)
            for number in range(6)
        ]
        results = await asyncio.gather(*repeats)
        results.append(await cluster.send("POST", instance=1, headers=headers))
        assert {(status, body) for status, body, _ in results} == {(200, b"1")}
        gone = {"Basilwick-Token": headers["Basilwick-Token"].replace("a-2", "a-9")}
        result = await cluster.send("POST", headers=gone)
        assert _outcome(result) == (409, "token_superseded", "unknown")


@pytest.mark.parametrize("issuer", [0, 1])
async def test_operation_answered_at_its_deadline_is_not_refused_as_not_run(issuer):
    # Guards against "not run" for an operation that ran: the deadline passes after its
    # answer arrived and before the answer reaches the caller, as on a busy event loop.
    script = Script()
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script, count=2)
        ledger = cluster.servers[issuer].path.operations.ledger
        finish = ledger.finish

        def _finish_late(*args):
            sleep(0.5)
            finish(*args)

        ledger.finish = _finish_late
        headers = {"Basilwick-Token": await cluster.get_token(instance=issuer)}
        refused = await cluster.send(
            "POST", instance=issuer, headers=headers | DEADLINE
        )
        assert _outcome(refused) == (504, "deadline_exceeded", "unknown")
        repeated = await cluster.send("POST", instance=issuer, headers=headers)
        assert repeated[0] == 200
        assert len(script.requests) == 1


async def test_operation_goes_on_when_its_caller_leaves():
    # Guards against cutting off an operation half way; the repeat gets its answer.
    async def _slow(request, number):
        await asyncio.sleep(0.1)

    script = Script(_slow)
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script)
        headers = {"Basilwick-Token": await cluster.get_token()}
        task = asyncio.create_task(cluster.send("POST", headers=headers))
        await _wait_for(lambda: script.requests)
        task.cancel()
        assert (await cluster.send("POST", headers=headers))[0] == 200
        assert (len(script.requests), script.cancelled) == (1, 0)


async def test_caller_that_leaves_cancels_its_lookup_everywhere():
    # Guards against servers that work for callers who are gone, and leaked slots.
    async def _slow(request, number):
        await asyncio.sleep(5.0)

    script = Script(_slow)
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script, count=2)
        headers = {"Basilwick-Deadline-Ms": "60000"}
        task = asyncio.create_task(cluster.send(instance=1, headers=headers))
        await _wait_for(lambda: script.requests)
        task.cancel()
        await _wait_for(lambda: script.cancelled == len(script.requests))
        assert cluster.limiter().running == 0


async def test_graceful_stop_finishes_requests_and_hands_the_ledger_over():
    # Guards against requests cut off by a planned stop, and lost stored answers.
    async def _slow(request, number):
        await asyncio.sleep(0.6)

    script = Script(_slow)
    async with AsyncExitStack() as stack:
        cluster, _ = await _start(stack, script, count=2)
        cluster.set(gateway="a-1")
        headers = {"Basilwick-Token": await cluster.get_token()}
        assert (await cluster.send("POST", headers=headers))[0] == 200
        running = asyncio.create_task(cluster.send("POST"))
        await _wait_for(lambda: len(script.requests) == 2)
        successor = cluster.views[1].self_peer
        stop = asyncio.create_task(cluster.servers[0].stop(successor, 3.0))
        assert (await running)[0] == 200
        assert await stop
        cluster.set(successors={("a-0", "i0"): "a-1"})
        cluster.views[1].peers = {"a-1": successor}
        assert (await cluster.send("POST", instance=1, headers=headers))[0] == 200
        assert len(script.requests) == 2
