"""The ``join`` command, which runs an instance on the platform."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from click import Path as PathType
from click import command, option

from basilwick.cli.process import run_until_signal
from basilwick.logs import configure_logs
from basilwick.platform.deployment import SETTINGS_VARIABLE, load_deployment
from basilwick.runtime.fleet.fleet_instance import FleetInstance

__all__ = ["join"]


@command()
@option(
    "--settings",
    type=PathType(path_type=Path),
    envvar=SETTINGS_VARIABLE,
    required=True,
    help=f"Settings file of the platform; default: ${SETTINGS_VARIABLE}.",
)
@option("--log-level", default="info", help="Lowest level of log lines.")
def join(settings: Path, log_level: str) -> None:
    """Run an instance on the platform until SIGTERM.

    Log lines are written to standard output as JSON objects.
    """
    deployment = load_deployment(settings)
    configure_logs(sys.stdout.buffer, level=log_level.upper())
    asyncio.run(run_until_signal(FleetInstance(deployment)))
