"""A small site in one event loop: store, servers, instances and a caller."""

from __future__ import annotations

import asyncio
from itertools import count
from socket import socket

from aiohttp import ClientSession, ClientTimeout
from attrs import define, field

from basilwick.core.deployment import Deployment, SiteBounds
from basilwick.fakes.key_server import KeyServer
from basilwick.fakes.kv_service import KvService
from basilwick.runtime.fleet.fleet_instance import FleetInstance

HOST = "site.example"
#: Paths of idempotent reads of a partitioned service, and of non-idempotent orders of
#: another service.
READ = "/read/"
ORDER = "/order/"


def find_free_ports(number):
    """Return free ports of the loopback interface."""
    sockets = [socket() for _ in range(number)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


async def wait_until(condition, timeout_s=8.0):
    """Wait until a condition holds; raises TimeoutError after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


def make_configuration(version, **changes):
    """Return a configuration as operators publish it; `changes` add or alter routes."""
    route = {
        "host": HOST,
        "timeoutMs": 3000,
        "targetLatencyMs": 300,
        "priority": 1,
        "maxAttempts": 2,
    }
    routes = {
        "read": {**route, "pathPrefix": READ, "kind": "safe", "service": "maps"},
        "order": {**route, "pathPrefix": ORDER, "kind": "unsafe", "service": "desk"},
    }
    routes |= {name: {**route, **change} for name, change in changes.items()}
    services = {
        name: {
            "healthCheckPath": "/health",
            "maxConnections": 120,
            "warmupS": 1.0,
            "warmupPerS": 19.0,
            "sharded": name == "maps",
            "warmS": 1.0,
        }
        for name in ("maps", "desk")
    }
    resources = [
        {"resourceKind": "routes", "metadata": {"name": n}, "specification": c}
        for n, c in routes.items()
    ]
    resources += [
        {"resourceKind": "services", "metadata": {"name": n}, "specification": c}
        for n, c in services.items()
    ]
    limits = {"maxBodyBytes": 4 << 20, "idleTimeoutMs": 15000}
    resources.append(
        {"resourceKind": "limits", "metadata": {}, "specification": limits}
    )
    return {"version": f"r{version}", "resources": resources}


@define
class Response:
    status: int
    headers: dict
    body: bytes


@define(eq=False)
class FleetSite:
    """Starts and closes all parts; `runs` records the requests that servers ran."""

    instance_count: int = 2
    maps_server_count: int = 3
    store: KvService = field(factory=KvService)
    runs: list = field(factory=list)
    servers: list[KeyServer] = field(factory=list)
    instances: list[FleetInstance] = field(factory=list)
    caller_addresses: list[str] = field(factory=list)
    ready_addresses: list[str] = field(factory=list)
    _request_numbers: count = field(factory=lambda: count(1))
    _session: ClientSession | None = None

    async def start(self):
        await self.store.start()
        await self.store.put("op/config", make_configuration(1))
        for index in range(self.maps_server_count):
            await self.add_server(f"map{index}", "maps", partitioned=True)
        for index in range(2):
            await self.add_server(f"desk{index}", "desk")
        for index in range(self.instance_count):
            await self.add_instance(f"i{index}")
        self._session = ClientSession(timeout=ClientTimeout(total=10))
        await self.wait_until_served()

    async def close(self):
        if self._session is not None:
            await self._session.close()
        for instance in self.instances:
            await self.kill(instance)
        for server in self.servers:
            await server.close()
        await self.store.close()

    async def kill(self, instance):
        """Stop an instance without a graceful shutdown, as a kill does."""
        instance._election._task.cancel()
        await instance._listener.close()
        if instance._role is not None:
            await instance._stop_leading()
        for part in (
            instance._watch,
            instance._link,
            instance._fallback,
            instance._caller_server,
            instance._ready_server,
            instance._metrics_server,
            instance._client,
            instance._order_client,
            instance._store,
        ):
            await part.close()
        instance._task.cancel()

    async def add_server(self, name, service, **changes):
        server = KeyServer(name, service, "a", self.store, self.runs, **changes)
        await server.start()
        self.servers.append(server)
        return server

    async def add_instance(self, name, cores=0.0, link_mbps=0.0):
        caller, ready, link, admin = (f"127.0.0.1:{p}" for p in find_free_ports(4))
        deployment = Deployment(
            name,
            "a",
            {"a": "r"},
            caller,
            ready,
            link,
            admin,
            self.store.address,
            bounds=SiteBounds(grace_period_s=2.0),
            cores=cores,
            link_mbps=link_mbps,
        )
        instance = FleetInstance(deployment)
        await instance.start()
        self.instances.append(instance)
        self.caller_addresses.append(caller)
        self.ready_addresses.append(ready)
        return instance

    async def wait_until_served(self, timeout_s=10.0):
        async with asyncio.timeout(timeout_s):
            for index in range(len(self.instances)):
                for key in range(0, 65536, 4096):
                    while (await self.read(key, index)).status != 200:
                        await asyncio.sleep(0.05)

    def find_leader(self):
        leaders = [m for m in self.instances if m._election.leading]
        return leaders[0] if len(leaders) == 1 else None

    async def read(self, key, index=0, **headers):
        return await self.send(
            "GET", f"{READ}x", index, headers={"X-Shard-Key": str(key), **headers}
        )

    async def order(self, index=0, body=b"{}", **headers):
        return await self.send("POST", f"{ORDER}x", index, body, headers)

    async def send(self, method, path, index=0, body=None, headers=None):
        fields = {
            "Host": HOST,
            "X-Request-Id": f"q{next(self._request_numbers)}",
            "X-Request-Deadline-Ms": "3000",
            **(headers or {}),
        }
        fields = {name: value for name, value in fields.items() if value is not None}
        url = f"http://{self.caller_addresses[index]}{path}"
        async with self._session.request(
            method, url, data=body, headers=fields
        ) as response:
            return Response(
                response.status, dict(response.headers), await response.read()
            )

    async def read_readiness(self, index=0):
        async with self._session.get(
            f"http://{self.ready_addresses[index]}/readiness"
        ) as response:
            return response.status
