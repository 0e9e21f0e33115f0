"""The ``fake`` commands, which run stand-ins for outside systems."""

from __future__ import annotations

import asyncio
from pathlib import Path

from click import Path as PathType
from click import group, option
from orjson import loads

from basilwick.cli.process import run_until_signal
from basilwick.fakes.backend import FakeBackend
from basilwick.fakes.baseline import BaselineRouter
from basilwick.fakes.platform import FakePlatform
from basilwick.fakes.proxy import FaultProxy

__all__ = ["fake"]

_records_option = option(
    "--records",
    type=PathType(exists=True, path_type=Path),
    help="JSON file with a list of records to start with.",
)


@group()
def fake() -> None:
    """Run a stand-in for an outside system, for tests and trials."""


@fake.command()
@option("--port", type=int, required=True, help="Port on 127.0.0.1.")
@_records_option
def platform(port: int, records: Path | None) -> None:
    """Run the platform's key-value service.

    PUT /faults sets the faults, PUT /instances/NAME adds an instance to the list, and
    GET /calls returns the number of calls by kind.
    """
    stand_in = FakePlatform(port=port)
    for record in loads(records.read_bytes()) if records else ():
        stand_in.store_record(record)
    asyncio.run(run_until_signal(stand_in))


@fake.command()
@option("--name", required=True, help="Name of the server.")
@option("--port", type=int, required=True, help="Port on 127.0.0.1.")
@option("--service-time-ms", type=float, default=1.0, help="Time of a request.")
@option("--slots", type=int, default=4, help="Requests that run at once.")
@option("--connections", type=int, default=120, help="Connections accepted.")
@option("--checks-grants", is_flag=True, help="Refuse requests without a grant.")
@option("--reports-clock", is_flag=True, help="Report the clock, honour expiries.")
@option("--cold", is_flag=True, help="Start cold.")
@option(
    "--runs",
    type=PathType(dir_okay=False, path_type=Path),
    help="File that keeps the record of operations run.",
)
def backend(
    name: str,
    port: int,
    service_time_ms: float,
    slots: int,
    connections: int,
    checks_grants: bool,
    reports_clock: bool,
    cold: bool,
    runs: Path | None,
) -> None:
    """Run a backend server; PUT /faults on its port sets its faults."""
    server = FakeBackend(
        name,
        port=port,
        service_time_s=service_time_ms / 1000,
        slots=slots,
        connections=connections,
        checks_grants=checks_grants,
        reports_clock=reports_clock,
        cold=cold,
        runs_path=runs,
    )
    asyncio.run(run_until_signal(server))


@fake.command()
@option("--target", required=True, help="IP number and port to forward to.")
@option("--port", type=int, required=True, help="Port on 127.0.0.1.")
@option("--control-port", type=int, help="Port on 127.0.0.1 for PUT /faults.")
@option("--delay-ms", type=float, default=0.0, help="One-way delay.")
def proxy(target: str, port: int, control_port: int | None, delay_ms: float) -> None:
    """Run a TCP proxy that injects network faults."""
    stand_in = FaultProxy(
        target, port=port, delay_s=delay_ms / 1000, control_port=control_port
    )
    asyncio.run(run_until_signal(stand_in))


@fake.command()
@option("--port", type=int, required=True, help="Port on 127.0.0.1.")
@option("--connections", type=int, default=120, help="Connections to each server.")
@option("--timeout-ms", type=float, default=1000.0, help="Time of each attempt.")
@_records_option
def baseline(
    port: int, connections: int, timeout_ms: float, records: Path | None
) -> None:
    """Run a simple router as a baseline for comparison."""
    servers: dict[str, list[str]] = {}
    for record in loads(records.read_bytes()) if records else ():
        if record["kind"] == "server":
            servers.setdefault(record["service"], []).append(record["address"])
    stand_in = BaselineRouter(
        servers, port=port, connections=connections, timeout_s=timeout_ms / 1000
    )
    asyncio.run(run_until_signal(stand_in))
