"""Tests that the fake backend server fails in the way of real servers."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from aiohttp import ClientError, ClientSession, ClientTimeout

from basilwick.fakes.backend import FakeBackend


@asynccontextmanager
async def _running_server(**options):
    server = FakeBackend("s", **options)
    await server.start()
    async with ClientSession(f"http://{server.address}") as session:
        try:
            yield server, session
        finally:
            await server.close()


def _make_headers(shard, fence, **extra):
    return {
        "Basilwick-Attempt": "a",
        "Basilwick-Shard": f"clue/{shard}",
        "Basilwick-Fence": str(fence),
    } | extra


def _make_grants(server, generation, shards, *, ttl_ms=1000, digest="d"):
    return {
        "expires_at_ms": server.clock_ms + ttl_ms,
        "digest": digest,
        "blocks": [
            {
                "service": "clue",
                "block": 0,
                "generation": generation,
                "shards": {str(shard): fence for shard, fence in shards.items()},
                "hot": {},
            }
        ],
    }


async def _get_status(session, headers):
    async with session.get("/v1/clue/k", headers=headers) as response:
        return response.status


async def test_stale_sender_cannot_restore_a_revoked_shard():
    # Guards against two owners of a shard: a gateway that was paused sends its old list
    # of grants after another one revoked the shard.
    async with _running_server(checks_grants=True) as (server, session):
        server.grants.apply(_make_grants(server, 5, {1: 5, 2: 5}))
        assert await _get_status(session, _make_headers(1, 5)) == 200
        server.grants.apply(_make_grants(server, 6, {2: 5}))
        server.grants.apply(_make_grants(server, 5, {1: 5, 2: 5}))
        assert await _get_status(session, _make_headers(1, 5)) == 409
        assert await _get_status(session, _make_headers(2, 5)) == 200
        assert len(server.record.runs) == 2


async def test_request_held_by_a_frozen_server_does_not_run_after_its_grant_expired():
    # Guards against a resumed server that runs requests which waited in its socket
    # until their grant expired.
    async with _running_server(checks_grants=True, reports_clock=True) as (
        server,
        session,
    ):
        server.grants.apply(_make_grants(server, 5, {1: 5}, ttl_ms=100))
        server.faults.frozen = True
        try:
            await session.get(
                "/v1/clue/k",
                headers=_make_headers(1, 5),
                timeout=ClientTimeout(total=0.1),
            )
        except TimeoutError:
            pass
        server.faults.frozen = False
        await asyncio.sleep(0.1)
        assert server.record.runs == []


async def test_frozen_server_without_checks_runs_abandoned_requests():
    # Guards against a fake that is more lenient than a real stopped process, which
    # reads requests from closed connections when it resumes.
    async with _running_server() as (server, session):
        server.faults.frozen = True
        try:
            await session.get(
                "/v1/clue/k",
                headers=_make_headers(1, 5, **{"Basilwick-Token": "t"}),
                timeout=ClientTimeout(total=0.1),
            )
        except TimeoutError:
            pass
        server.faults.frozen = False
        await asyncio.sleep(0.1)
        assert server.record.by_token == {"t": 1}


async def test_cold_server_refuses_full_load_and_handles_one_request():
    # Guards against measuring the warm-up with a server that cannot be overloaded.
    async with _running_server(cold=True, service_time_s=0.01) as (_, session):
        statuses = await asyncio.gather(
            *(_get_status(session, _make_headers(1, 5)) for _ in range(20))
        )
        assert statuses.count(503) >= 10
        assert await _get_status(session, _make_headers(1, 5)) == 200


async def test_connections_beyond_the_limit_are_closed():
    # Guards against routers that open more connections than a server accepts.
    async with _running_server(connections=2, service_time_s=0.1, slots=9) as (
        _,
        session,
    ):
        results = await asyncio.gather(
            *(_get_status(session, _make_headers(1, 5)) for _ in range(4)),
            return_exceptions=True,
        )
        assert results.count(200) == 2
        assert sum(isinstance(result, ClientError) for result in results) == 2


async def test_run_record_survives_a_restart(tmp_path):
    # Guards against a second run that is not detected because the server restarted.
    path = tmp_path / "runs"
    headers = _make_headers(1, 5, **{"Basilwick-Token": "t"})
    for _ in range(2):
        async with _running_server(runs_path=path) as (server, session):
            await _get_status(session, headers)
    assert server.record.by_token == {"t": 2}
