"""Commands that run the stand-ins for outside systems."""

from __future__ import annotations

import asyncio
from pathlib import Path

from click import Path as PathType
from click import group, option
from orjson import loads

from basilwick.cli.process import run_until_signal
from basilwick.fakes.backend import FakeBackend
from basilwick.fakes.platform import FakePlatform
from basilwick.fakes.proxy import FaultProxy

__all__ = ["fake"]


@group()
def fake() -> None:
    """Run a stand-in for an outside system, for tests and trials."""


@fake.command()
@option("--port", type=int, required=True, help="Port on 127.0.0.1.")
@option(
    "--records",
    type=PathType(exists=True, path_type=Path),
    help="JSON file with a list of records to start with.",
)
def platform(port: int, records: Path | None) -> None:
    """Run the platform's key-value service.

    PUT /faults sets faults, PUT /instances/NAME lists an instance, GET /calls counts
    calls by kind.
    """
    service = FakePlatform(port=port)
    for record in loads(records.read_bytes()) if records else ():
        service.store_record(record)
    asyncio.run(run_until_signal(service))


@fake.command()
@option("--name", required=True, help="Name of the server.")
@option("--port", type=int, required=True, help="Port on 127.0.0.1.")
def backend(name: str, port: int) -> None:
    """Run a backend server."""
    asyncio.run(run_until_signal(FakeBackend(name, port=port)))


@fake.command()
@option("--target", required=True, help="IP number and port to forward to.")
@option("--port", type=int, required=True, help="Port on 127.0.0.1.")
@option("--delay-ms", type=float, default=0.0, help="One-way delay.")
def proxy(target: str, port: int, delay_ms: float) -> None:
    """Run a TCP proxy that brings about network faults."""
    service = FaultProxy(target, port=port, delay_s=delay_ms / 1000)
    asyncio.run(run_until_signal(service))
