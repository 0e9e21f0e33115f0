"""Instances in one process with a fixed routing view, and scripted servers."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from random import Random
from time import monotonic

from aiohttp import ClientSession, web
from attrs import define, evolve, field

from basilwick.core.hashing import compute_key_hash
from basilwick.core.operations import OperationLedger
from basilwick.core.records import ServerRecord, ServiceRecord
from basilwick.core.routing import Location, Peer
from basilwick.metrics import Metrics
from basilwick.runtime.request_path import RequestPath
from basilwick.runtime.request_server import RequestServer

SERVICE = ServiceRecord("clue", blocks=1, shards_per_block=4)
SHARED_KEY = "key"


@define(eq=False)
class FakeView:
    """Routing view whose answers a test sets."""

    self_peer: Peer
    peers: dict[str, Peer]
    owner: ServerRecord
    gateway: str
    fence: int = 1
    generation: int = 1
    active_at: float = 0.0
    permitted: bool = True
    ready: bool = True
    results: list = field(factory=list)
    successors: dict = field(factory=dict)
    server_clock_offset: float | None = 1000.0

    def get_service(self, name):
        return SERVICE if name == "clue" else None

    def locate(self, service, key, now):
        key_hash = compute_key_hash(service.name, key)
        return Location(
            service.name,
            key_hash % 4,
            ("clue", 0),
            key_hash,
            "dc-a",
            self.generation,
            self.fence,
            self.owner,
            self.active_at,
            self.peers.get(self.gateway),
        )

    def get_permission_end(self, block, generation, now):
        return now + 0.8 if self.permitted else 0.0

    def map_to_server_clock(self, server, at):
        return at * 1000 + self.server_clock_offset

    def find_peer(self, name):
        return self.peers.get(name)

    def find_successor(self, name, incarnation):
        return self.peers.get(self.successors.get((name, incarnation)))

    def list_peers(self, data_centre):
        return list(self.peers.values())

    def list_served(self):
        return [self.owner]

    def record_result(self, server, succeeded, now):
        self.results.append(succeeded)

    def record_request(self, location, now):
        pass

    def record_finish(self, location):
        pass


@define(eq=False)
class Cluster:
    """Instances a-0, a-1, ... of one data centre; a-0 is the gateway."""

    servers: list[RequestServer]
    views: list[FakeView]
    session: ClientSession

    def url(self, path, instance=0):
        return f"http://{self.servers[instance].caller.address}{path}"

    def set(self, **values):
        for view in self.views:
            for name, value in values.items():
                setattr(view, name, value)

    async def send(self, method="GET", key="k", instance=0, **options):
        url = self.url(f"/v1/clue/{key}", instance)
        async with self.session.request(method, url, **options) as answer:
            return answer.status, await answer.read(), answer.headers

    async def get_token(self, key="k", instance=0):
        url = self.url(f"/tokens/clue/{key}", instance)
        async with self.session.post(url) as answer:
            return (await answer.json())["token"]

    def limiter(self, instance=0):
        view = self.views[instance]
        return self.servers[instance].path.limits.get(view.owner)


@asynccontextmanager
async def run_cluster(address, count=1, slots=4):
    """Start instances in front of one backend address."""
    owner = ServerRecord("clue-1", "clue", "dc-a", address, slots=slots)
    peers, servers, views = {}, [], []
    async with ClientSession() as session:
        for number in range(count):
            name = f"a-{number}"
            own = Peer(name, f"i{number}", "dc-a", "127.0.0.1:0")
            view = FakeView(own, peers, owner, "a-0")
            path = RequestPath(
                view,
                monotonic,
                Random(number),
                OperationLedger(name, own.incarnation, b"secret"),
                Metrics(),
                SHARED_KEY,
            )
            server = RequestServer(
                path, monotonic, "127.0.0.1:0", "127.0.0.1:0", SHARED_KEY
            )
            await server.start()
            peers[name] = evolve(own, forward_address=server.forward.address)
            view.self_peer = peers[name]
            servers.append(server)
            views.append(view)
        try:
            yield Cluster(servers, views, session)
        finally:
            for server in servers:
                await server.close()


@asynccontextmanager
async def run_server(handler):
    """Run a backend server with a handler that echoes the attempt by `reply`."""
    runner = web.ServerRunner(
        web.Server(handler, handler_cancellation=True), shutdown_timeout=0.1
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield f"127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


def reply(request, status=200, body=b"ok", **headers):
    """Answer a request with its attempt identity."""
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    names["Basilwick-Attempt"] = request.headers["Basilwick-Attempt"]
    return web.Response(status=status, body=body, headers=names)


async def open_raw(cluster, data, instance=0):
    """Open a connection to the caller port and send bytes as they are."""
    host, _, port = cluster.servers[instance].caller.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    await writer.drain()
    return reader, writer
