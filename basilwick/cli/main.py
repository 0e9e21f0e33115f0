"""Entry point of the program."""

from __future__ import annotations

import asyncio
from pathlib import Path

from click import Path as PathType
from click import argument, group

from basilwick.cli.demo import demo
from basilwick.cli.fake import fake
from basilwick.cli.process import run_until_signal
from basilwick.runtime.instance import Instance
from basilwick.settings import load_settings

__all__ = ["main"]


@group()
def main() -> None:
    """Route requests to backend servers that each own a set of keys."""


@main.command()
@argument("settings", type=PathType(exists=True, path_type=Path))
def serve(settings: Path) -> None:
    """Run an entry instance with the settings of a TOML file."""
    asyncio.run(run_until_signal(Instance(load_settings(settings))))


main.add_command(demo)
main.add_command(fake)
