"""The instances, backend servers and platform stand-in of the ``demo`` command."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING, Any

from aiohttp import ClientError, ClientSession
from attrs import define, field

from basilwick.fakes.backend import FakeBackend
from basilwick.fakes.platform import FakePlatform
from basilwick.runtime.instance import Instance
from basilwick.settings import (
    InstanceSettings,
    ListenSettings,
    PlatformSettings,
    SecuritySettings,
    Settings,
)
from basilwick.testing import allocate_ports

if TYPE_CHECKING:
    from basilwick.fakes.runs import Run

__all__ = ["KEYS_BY_SERVICE", "DemoSite"]

#: Keys that the demonstration requests from each service.
KEYS_BY_SERVICE = {
    "clue": [f"pack-{number}" for number in range(200)],
    "orders": [f"order-{number}" for number in range(100)],
}
_DATA_CENTRES = ("dc-a", "dc-b")
_INSTANCES_PER_DATA_CENTRE = 3
_SERVERS_PER_SERVICE = {"clue": 4, "orders": 2}
_SHARED_KEY = "demonstration-key"
_START_TIMEOUT_S = 8.0


@define(eq=False)
class DemoSite:
    """Two data centres of three instances and six backend servers each."""

    platform: FakePlatform = field(factory=FakePlatform)
    servers: dict[str, FakeBackend] = field(factory=dict)
    instances: list[Instance] = field(factory=list)
    _settings: list[Settings] = field(factory=list)
    _records: dict[str, dict[str, Any]] = field(factory=dict)

    @property
    def caller_addresses(self) -> list[str]:
        """Addresses that take callers' requests."""
        return [settings.listen.caller for settings in self._settings]

    async def start(self) -> None:
        """Start the platform, the servers and the instances."""
        await self.platform.start()
        for data_centre in _DATA_CENTRES:
            self._add_instance_settings(data_centre)
        for service in KEYS_BY_SERVICE:
            self._store_record({"kind": "service", "name": service})
        for data_centre in _DATA_CENTRES:
            for service, count in _SERVERS_PER_SERVICE.items():
                for number in range(count):
                    await self._start_server(data_centre, service, number)
        self.instances = [Instance(settings) for settings in self._settings]
        await asyncio.gather(*(instance.start() for instance in self.instances))

    async def close(self) -> None:
        """Stop the instances, the servers and the platform."""
        await asyncio.gather(*(instance.close() for instance in self.instances))
        for server in self.servers.values():
            await server.close()
        await self.platform.close()

    async def wait_until_served(self) -> None:
        """Wait until every instance serves every service."""
        deadline = monotonic() + _START_TIMEOUT_S
        async with ClientSession() as session:
            for address in self.caller_addresses:
                for service, keys in KEYS_BY_SERVICE.items():
                    url = f"http://{address}/v1/{service}/{keys[0]}/first"
                    await _wait_for_answer(session, url, deadline)

    def describe(self) -> str:
        """Return the numbers of data centres, instances and servers as one line."""
        checking = sum(server.checks_grants for server in self.servers.values())
        return (
            f"{len(_DATA_CENTRES)} data centres, {len(self.instances)} instances, "
            f"{len(self.servers)} backend servers ({checking} check grants)"
        )

    def choose_server_to_lose(self) -> str:
        """Return the name of the server that the demonstration closes."""
        return "clue-a-0"

    async def lose_server(self, name: str) -> None:
        """Close a server without warning."""
        await self.servers[name].close()

    async def set_data_centre_status(self, name: str, status: str) -> None:
        """Take a data centre out or back, as an operator does."""
        self._store_record(self._records[name] | {"status": status})

    def collect_runs(self) -> list[Run]:
        """Return the operations that all servers ran."""
        return [run for server in self.servers.values() for run in server.record.runs]

    def count_runs(self, data_centre: str) -> int:
        """Return how many operations ran in a data centre."""
        suffix = data_centre.removeprefix("dc-")
        return sum(
            len(server.record.runs)
            for name, server in self.servers.items()
            if name.split("-")[1] == suffix
        )

    def _add_instance_settings(self, data_centre: str) -> None:
        witnesses = []
        for number in range(_INSTANCES_PER_DATA_CENTRE):
            caller, forward, peer, admin = (
                f"127.0.0.1:{port}" for port in allocate_ports(4)
            )
            name = f"{data_centre}-{number}"
            self._settings.append(
                Settings(
                    instance=InstanceSettings(name, data_centre),
                    listen=ListenSettings(caller, forward, peer, admin),
                    platform=PlatformSettings(self.platform.address),
                    security=SecuritySettings(_SHARED_KEY),
                )
            )
            witnesses.append({"name": name, "peer_address": peer})
        self._store_record(
            {"kind": "data_centre", "name": data_centre, "witnesses": witnesses}
        )

    async def _start_server(self, data_centre: str, service: str, number: int) -> None:
        name = f"{service}-{data_centre.removeprefix('dc-')}-{number}"
        checks_grants = number % 2 == 0
        server = FakeBackend(
            name, checks_grants=checks_grants, reports_clock=checks_grants
        )
        await server.start()
        self.servers[name] = server
        self._store_record(
            {
                "kind": "server",
                "name": name,
                "service": service,
                "data_centre": data_centre,
                "address": server.address,
                "slots": server.slots,
                "connections": server.connections,
                "checks_grants": checks_grants,
                "reports_clock": checks_grants,
            }
        )

    def _store_record(self, record: dict[str, Any]) -> None:
        self._records[record["name"]] = record
        self.platform.store_record({"schema": 2} | record)


async def _wait_for_answer(session: ClientSession, url: str, deadline: float) -> None:
    status: int | str = ""
    while monotonic() < deadline:
        try:
            async with session.get(url) as response:
                status = response.status
                if status == 200:
                    return
        except ClientError as error:
            status = repr(error)
        await asyncio.sleep(0.05)
    raise TimeoutError(f"{url} was not served in time; last result {status}")
