"""The site of a soak: real instances, with fakes of the services that they use."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.fakes.key_server import KeyServer, Run
from basilwick.fakes.kv_service import KvService
from basilwick.fakes.proxy import FaultProxy
from basilwick.testing import allocate_port_pair, allocate_ports

if TYPE_CHECKING:
    from pathlib import Path

    from basilwick.testing import ManagedProcess, ProcessGroup

__all__ = ["DATA_CENTRES", "HOST", "KEYS", "Instance", "RunLog", "SoakSite"]

HOST = "site.example"
DATA_CENTRES = ("a", "b")
#: Keys that callers use, spread evenly over the key space.
KEYS = tuple(range(512, 65_536, 4096))
#: Grace period of a stopped process in seconds.
_GRACE_PERIOD_S = 6
_ROUTE = {"host": HOST, "targetLatencyMs": 300, "priority": 1, "maxAttempts": 2}


@define(eq=False)
class Instance:
    """A real instance and the proxy between it and the key-value service."""

    name: str
    caller: str
    ready: str
    process: ManagedProcess
    store_proxy: FaultProxy
    #: Local times at which the process ended, was paused or resumed.
    interrupted_at: list[float] = field(factory=list)
    #: Held while the process is ended and restarted.
    restarting: asyncio.Lock = field(factory=asyncio.Lock)


@define(eq=False)
class RunLog:
    """Runs of all servers, each with the holders of its key when it started."""

    site: SoakSite
    runs: list[Run] = field(factory=list)
    holders: list[frozenset[str]] = field(factory=list)

    def append(self, run: Run) -> None:
        """Record a run; servers use the log like a list."""
        key = int(run.target.rpartition("/")[2])
        self.runs.append(run)
        self.holders.append(self.site.find_holders(key))


@define(eq=False)
class SoakSite:
    """Site of a soak: its instances, servers, proxies and key-value service.

    Attributes
    ----------
    slots : dict of str to KeyServer
        Current server of each slot; its replacement gets a new name.
    servers : list of KeyServer
        All servers that were started.
    """

    directory: Path
    group: ProcessGroup
    instances_count: int = 4
    store: KvService = field(factory=KvService)
    log: RunLog = field(init=False)
    instances: list[Instance] = field(factory=list)
    slots: dict[str, KeyServer] = field(factory=dict)
    servers: list[KeyServer] = field(factory=list)
    proxies: dict[str, FaultProxy] = field(factory=dict)
    #: Held while the key-value service has a copy that is to be restored.
    restoring: asyncio.Lock = field(factory=asyncio.Lock)
    _version: int = 0
    _timeout_ms: int = 0
    _servers_started: int = 0

    def __attrs_post_init__(self) -> None:
        self.log = RunLog(self)

    async def start(self) -> None:
        """Start the fakes and the instances."""
        await self.store.start()
        await self.change_configuration(3000)
        for index in range(6):
            await self.add_server(f"maps-{index}")
        for index in range(4):
            await self.add_server(f"desk-{index}")
        for index in range(self.instances_count):
            await self._add_instance(index)

    async def close(self) -> None:
        """Close the fakes; the process group ends the instances."""
        for instance in self.instances:
            await instance.store_proxy.close()
        for slot in list(self.slots):
            await self.end_server(slot)
        await self.store.close()

    async def change_configuration(self, timeout_ms: int) -> None:
        """Write a new version of the configuration, with a route timeout."""
        self._timeout_ms = timeout_ms
        self._version += 2
        routes = {
            "read": {"pathPrefix": "/read/", "kind": "safe", "service": "maps"},
            "order": {"pathPrefix": "/order/", "kind": "unsafe", "service": "desk"},
        }
        entries = [
            ("routes", name, {**_ROUTE, "timeoutMs": timeout_ms, **route})
            for name, route in routes.items()
        ]
        entries += [
            (
                "services",
                name,
                {
                    "healthCheckPath": "/health",
                    "maxConnections": 120,
                    "warmupS": 1.0,
                    "warmupPerS": 19.0,
                    "sharded": name == "maps",
                    "warmS": 1.0,
                },
            )
            for name in ("maps", "desk")
        ]
        entries.append(("limits", "", {"maxBodyBytes": 1 << 20}))
        resources = [
            {"resourceKind": kind, "metadata": {"name": name}, "specification": spec}
            for kind, name, spec in entries
        ]
        await self.store.put(
            "op/config", {"version": f"r{self._version}", "resources": resources}
        )

    async def restore_store(self, away_s: float) -> None:
        """Put the key-value service back to its copy.

        Operators and servers write again what the copy lacks.
        """
        out = self.store.read("op/evacuate/b") is not None
        self.store.down = True
        await asyncio.sleep(away_s)
        await self.store.restore()
        self.store.down = False
        await self.change_configuration(self._timeout_ms)
        if out:
            await self.store.put("op/evacuate/b", {})
        elif self.store.read("op/evacuate/b") is not None:
            await self.store.remove("op/evacuate/b")
        registered = {f"servers/{server.name}" for server in self.slots.values()}
        for server in self.servers:
            key = f"servers/{server.name}"
            if key in registered:
                await server.register()
            elif self.store.read(key) is not None:
                await self.store.remove(key)

    async def add_server(self, slot: str) -> None:
        """Start a server in a slot, behind its own proxy."""
        self._servers_started += 1
        service = slot.partition("-")[0]
        server = KeyServer(
            f"{slot}-{self._servers_started}",
            service,
            DATA_CENTRES[len(self.slots) % 2],
            self.store,
            self.log,
            partitioned=service == "maps",
            service_time_s=0.03,
        )
        await server.start()
        proxy = FaultProxy(server.address)
        await proxy.start()
        server.public_address = proxy.address
        await server.register()
        self.slots[slot], self.proxies[slot] = server, proxy
        self.servers.append(server)

    async def drain_server(self, slot: str) -> None:
        """Drain the server of a slot and replace it."""
        server = self.slots[slot]
        server.leaving = True
        await server.register()
        await asyncio.sleep(2.5)
        await self.end_server(slot)
        await self.store.remove(f"servers/{server.name}")
        await self.add_server(slot)

    async def crash_server(self, slot: str) -> None:
        """End the server of a slot without draining it, and replace it."""
        server = self.slots[slot]
        await self.end_server(slot)
        await asyncio.sleep(2.6)
        await self.store.remove(f"servers/{server.name}")
        await self.add_server(slot)

    async def end_server(self, slot: str) -> None:
        """Close the server of a slot and its proxy."""
        await self.proxies[slot].close()
        await self.slots[slot].close()

    def find_holders(self, key: int) -> frozenset[str]:
        """Return the names of the servers that hold a key now."""
        servers = self.slots.values()
        return frozenset(s.name for s in servers if s.partitioned and s.holds(key))

    async def _add_instance(self, index: int) -> None:
        caller, ready = allocate_ports(2)
        internal_ports = allocate_port_pair()
        proxy = FaultProxy(self.store.address)
        await proxy.start()
        name = f"i{index}"
        path = self.directory / f"{name}.toml"
        path.write_text(
            _write_settings(
                name, DATA_CENTRES[index % 2], caller, ready, internal_ports, proxy
            )
        )
        process = await self.group.start("join", "--settings", path)
        self.instances.append(
            Instance(name, f"127.0.0.1:{caller}", f"127.0.0.1:{ready}", process, proxy)
        )


def _write_settings(
    name: str,
    data_centre: str,
    caller: int,
    ready: int,
    internal_ports: tuple[int, int],
    proxy: FaultProxy,
) -> str:
    zones = "\n".join(f'{zone} = "region"' for zone in DATA_CENTRES)
    return f"""
[localNode]
nodeName = "{name}"
zone = "{data_centre}"
ipAddress = "127.0.0.1"
[network]
internalPortRange = [{internal_ports[0]}, {internal_ports[1]}]
[network.listenAddresses]
frontendAddress = "127.0.0.1:{caller}"
ready = "127.0.0.1:{ready}"
[network.zones]
{zones}
[platform.platform]
address = "{proxy.address}"
[terms.bounds]
gracePeriodS = {_GRACE_PERIOD_S}
drainTimeoutMs = 2000
maxHoldMs = 10000
"""
