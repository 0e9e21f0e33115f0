"""Entry point of the program."""

from __future__ import annotations

import asyncio
from pathlib import Path

from click import Path as PathType
from click import argument, echo, group
from orjson import dumps

from basilwick.cli.demo import demo
from basilwick.cli.errors import CommandGroup, json_option
from basilwick.cli.fake import fake
from basilwick.cli.join import join
from basilwick.cli.process import run_until_signal
from basilwick.cli.record import record
from basilwick.cli.replay import replay
from basilwick.cli.status import explain, status
from basilwick.logs import configure_logs
from basilwick.runtime.instance import Instance
from basilwick.settings import describe_settings, load_settings

__all__ = ["main"]


@group(cls=CommandGroup)
def main() -> None:
    """Route requests to backend servers that each own a set of keys.

    Exit codes: 0 done, 1 unexpected failure, 2 invalid usage, settings or record,
    3 conflict with another operator, 4 platform or instance unavailable,
    5 not found, 6 shared key missing or wrong, 7 not confirmed.
    """


@main.command()
@argument("settings", type=PathType(path_type=Path))
def serve(settings: Path) -> None:
    """Run an entry instance with the settings of a TOML file."""
    loaded = load_settings(settings)
    configure_logs(
        form="json" if loaded.logs.json else "text",
        level=loaded.logs.level.upper(),
        secrets=[loaded.security.shared_key],
    )
    asyncio.run(run_until_signal(Instance(loaded)))


@main.command()
@argument("settings", type=PathType(path_type=Path))
@json_option
def check(settings: Path, as_json: bool) -> None:
    """Check a settings file without starting anything; reports all faults."""
    loaded = load_settings(settings)
    if as_json:
        report = {"valid": True, "settings": describe_settings(loaded)}
        echo(dumps(report).decode())
    else:
        echo(f"{settings}: valid")


main.add_command(join)
main.add_command(demo)
main.add_command(fake)
main.add_command(record)
main.add_command(replay)
main.add_command(status)
main.add_command(explain)
