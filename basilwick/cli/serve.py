"""The ``serve`` and ``check`` commands: run an entry instance, check its settings."""

from __future__ import annotations

import asyncio
from pathlib import Path

from click import Path as PathType
from click import argument, command, echo
from orjson import dumps

from basilwick.cli.errors import json_option
from basilwick.cli.process import run_until_signal
from basilwick.logs import configure_logs
from basilwick.runtime.instance import Instance
from basilwick.settings import describe_settings, load_settings

__all__ = ["check", "serve"]


@command()
@argument("settings", type=PathType(path_type=Path))
def serve(settings: Path) -> None:
    """Run an entry instance with the settings of a TOML file."""
    loaded = load_settings(settings)
    configure_logs(
        line_format="json" if loaded.logs.json else "text",
        level=loaded.logs.level.upper(),
        secrets=[loaded.security.shared_key],
    )
    asyncio.run(run_until_signal(Instance(loaded)))


@command()
@argument("settings", type=PathType(path_type=Path))
@json_option
def check(settings: Path, as_json: bool) -> None:
    """Check a settings file without starting an instance, and report all faults."""
    loaded = load_settings(settings)
    if as_json:
        report = {"valid": True, "settings": describe_settings(loaded)}
        echo(dumps(report).decode())
    else:
        echo(f"{settings}: valid")
