"""Starts and controls a site of real processes."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path
from sys import stderr
from tempfile import TemporaryDirectory
from time import monotonic
from typing import TYPE_CHECKING, Any

from aiohttp import ClientError, ClientSession, ClientTimeout
from attrs import define, field
from orjson import dumps, loads

from basilwick.fakes.runs import Run, read_runs
from basilwick.testing import (
    ManagedProcess,
    ProcessGroup,
    allocate_ports,
    run_processes,
    wait_for_port,
    write_settings,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from benchmarks.sites import SiteSpec

__all__ = ["BackendProcess", "InstanceProcess", "Site", "run_site"]

_SHARED_KEY = "measurement-shared-key"
_START_TIMEOUT_S = 15.0


@define(eq=False)
class InstanceProcess:
    """An instance; callers reach it through a proxy when there is a delay."""

    name: str
    data_centre: str
    ports: list[int]
    process: ManagedProcess
    caller_address: str

    @property
    def admin_address(self) -> str:
        """Address of the admin port."""
        return f"127.0.0.1:{self.ports[3]}"


@define(eq=False)
class BackendProcess:
    """A backend server."""

    name: str
    service: str
    data_centre: str
    port: int
    runs_path: Path
    process: ManagedProcess


@define(eq=False)
class Site:
    """Processes of one site."""

    spec: SiteSpec
    directory: Path
    group: ProcessGroup
    session: ClientSession
    platform: ManagedProcess | None = None
    platform_port: int = 0
    instances: dict[str, InstanceProcess] = field(factory=dict)
    servers: dict[str, BackendProcess] = field(factory=dict)
    baseline_addresses: list[str] = field(factory=list)
    _records: list[dict[str, Any]] = field(factory=list)

    @property
    def data_centres(self) -> list[str]:
        """Names of the data centres."""
        return [f"dc-{number}" for number in range(self.spec.data_centres)]

    @property
    def caller_addresses(self) -> list[str]:
        """Addresses at which callers reach the instances."""
        return [instance.caller_address for instance in self.instances.values()]

    async def start(self) -> None:
        """Start all processes and wait until every service is served everywhere."""
        per_data_centre = self.spec.instances_per_data_centre
        instance_ports = {
            data_centre: [allocate_ports(4) for _ in range(per_data_centre)]
            for data_centre in self.data_centres
        }
        self._collect_records(instance_ports)
        await self._start_servers()
        records_path = self.directory / "records.json"
        records_path.write_bytes(dumps(self._records))
        (self.platform_port,) = allocate_ports(1)
        self.platform = await self.group.start(
            "fake", "platform", "--port", self.platform_port, "--records", records_path
        )
        await wait_for_port(self.platform_port)
        for data_centre, ports in instance_ports.items():
            for number, four in enumerate(ports):
                await self._start_instance(
                    f"{data_centre}-i{number}", data_centre, four
                )
        for _ in range(self.spec.baselines):
            (port,) = allocate_ports(1)
            await self.group.start(
                "fake", "baseline", "--port", port, "--records", records_path
            )
            self.baseline_addresses.append(await self._delay(port))
        await self._wait_until_served()

    def _collect_records(self, instance_ports: dict[str, list[list[int]]]) -> None:
        for data_centre, ports in instance_ports.items():
            witnesses = [
                {
                    "name": f"{data_centre}-i{number}",
                    "peer_address": f"127.0.0.1:{four[2]}",
                }
                for number, four in enumerate(ports[:3])
            ]
            self._records.append(
                {
                    "schema": 2,
                    "kind": "data_centre",
                    "name": data_centre,
                    "witnesses": witnesses,
                }
            )
        self._records += [
            {"schema": 2, "kind": "service", "name": service.name}
            for service in self.spec.services
        ]

    async def _start_servers(self) -> None:
        checks = self.spec.checks_grants
        for service in self.spec.services:
            ports = allocate_ports(service.servers)
            for number, port in enumerate(ports):
                data_centre = self.data_centres[number % self.spec.data_centres]
                name = f"{service.name}-s{number}"
                runs_path = self.directory / f"{name}.runs"
                arguments = [
                    "fake", "backend", "--name", name, "--port", port,
                    "--service-time-ms", service.service_time_ms,
                    "--slots", service.slots, "--connections", service.connections,
                    "--runs", runs_path,
                ]  # fmt: skip
                if checks:
                    arguments += ["--checks-grants", "--reports-clock"]
                process = await self.group.start(*arguments)
                self.servers[name] = BackendProcess(
                    name, service.name, data_centre, port, runs_path, process
                )
                self._records.append(
                    {
                        "schema": 2,
                        "kind": "server",
                        "name": name,
                        "service": service.name,
                        "data_centre": data_centre,
                        "address": f"127.0.0.1:{port}",
                        "slots": service.slots,
                        "connections": service.connections,
                        "checks_grants": checks,
                        "reports_clock": checks,
                    }
                )

    async def _start_instance(
        self, name: str, data_centre: str, ports: list[int]
    ) -> None:
        path = self.directory / f"{name}.toml"
        write_settings(
            path,
            name=name,
            data_centre=data_centre,
            ports=ports,
            platform=f"127.0.0.1:{self.platform_port}",
            extra_tables={"security": {"shared_key": _SHARED_KEY}},
        )
        process = await self.group.start("serve", path)
        address = await self._delay(ports[0])
        self.instances[name] = InstanceProcess(
            name, data_centre, ports, process, address
        )

    async def _delay(self, port: int) -> str:
        if not self.spec.client_delay_ms:
            return f"127.0.0.1:{port}"
        (proxy,) = allocate_ports(1)
        await self.group.start(
            "fake", "proxy", "--port", proxy, "--target", f"127.0.0.1:{port}",
            "--delay-ms", self.spec.client_delay_ms,
        )  # fmt: skip
        await wait_for_port(proxy)
        return f"127.0.0.1:{proxy}"

    async def _wait_until_served(self) -> None:
        end = monotonic() + _START_TIMEOUT_S
        for address in [*self.caller_addresses, *self.baseline_addresses]:
            for service in self.spec.services:
                url = f"http://{address}/v1/{service.name}/{service.list_keys()[0]}/up"
                while not await self._is_served(url):
                    if monotonic() > end:
                        raise TimeoutError(f"{url} was not served at the start")
                    await asyncio.sleep(0.1)

    async def _is_served(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (ClientError, TimeoutError):
            return False

    async def restart_instance(self, name: str, *, kill: bool) -> None:
        """End an instance, without warning or by a planned stop, and start it again."""
        instance = self.instances[name]
        if kill:
            await instance.process.kill()
        else:
            await instance.process.stop()
        await instance.process.start()
        await wait_for_port(instance.ports[0])

    async def set_server_faults(self, name: str, **faults: Any) -> None:
        """Change the faults of a backend server."""
        await self._put(f"127.0.0.1:{self.servers[name].port}", "/faults", faults)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Change the faults of the platform stand-in."""
        await self._put(f"127.0.0.1:{self.platform_port}", "/faults", faults)

    async def change_record(self, kind: str, name: str, **changes: Any) -> int:
        """Put a record through the admin port of an instance, as an operator does.

        Returns
        -------
        int
            Revision of the write.
        """
        address = self.find_running().admin_address
        path = f"/records/{kind}/{name}"
        stored = await self._get(address, path)
        record = stored["record"] | changes
        path += f"?expected={stored['revision']}"
        return (await self._put(address, path, record))["revision"]

    def find_running(self) -> InstanceProcess:
        """Return an instance whose process runs."""
        return next(i for i in self.instances.values() if i.process.running)

    async def get_admin(self, instance: str, path: str) -> Any:
        """Read from the admin port of an instance."""
        return await self._get(self.instances[instance].admin_address, path)

    async def get_server(self, name: str, path: str) -> Any:
        """Read from a backend server."""
        return await self._get(f"127.0.0.1:{self.servers[name].port}", path)

    async def _get(self, address: str, path: str) -> Any:
        async with self.session.get(f"http://{address}{path}") as response:
            response.raise_for_status()
            return loads(await response.read())

    async def _put(self, address: str, path: str, data: Any) -> Any:
        async with self.session.put(
            f"http://{address}{path}", data=dumps(data)
        ) as response:
            response.raise_for_status()
            return loads(await response.read())

    def read_runs(self) -> list[Run]:
        """Return what all servers ran."""
        return [
            run
            for server in self.servers.values()
            for run in read_runs(server.runs_path)
        ]

    def describe(self) -> dict[str, Any]:
        """Return the sizes of the site for a report."""
        return {
            "data_centres": self.spec.data_centres,
            "instances": len(self.instances),
            "servers": {
                service.name: service.servers for service in self.spec.services
            },
            "baseline_routers": self.spec.baselines,
            "client_delay_ms": self.spec.client_delay_ms,
            "checks_grants": self.spec.checks_grants,
            "processes": len(self.group.processes),
            "not_simulated": list(self.spec.not_simulated),
        }


@asynccontextmanager
async def run_site(spec: SiteSpec) -> AsyncIterator[Site]:
    """Start a site in a directory of its own; all processes end with it."""
    with TemporaryDirectory(prefix="basilwick-") as name:
        directory = Path(name)
        async with (
            run_processes(directory) as group,
            ClientSession(
                headers={"Authorization": f"Bearer {_SHARED_KEY}"},
                timeout=ClientTimeout(total=3),
            ) as session,
        ):
            site = Site(spec, directory, group, session)
            try:
                await site.start()
                yield site
            except BaseException:
                _print_failures(group)
                raise


def _print_failures(group: ProcessGroup) -> None:
    """Show the last lines of processes that ended by themselves."""
    for process in group.processes:
        if not process.running:
            tail = process.output.read_text(errors="replace")[-2000:]
            stderr.write(f"{' '.join(process.arguments)} ended:\n{tail}\n")
