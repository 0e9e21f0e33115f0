"""Entry point of the command line."""

from __future__ import annotations

from importlib import import_module

from click import Command, Context, group

from basilwick.cli.errors import CommandGroup

__all__ = ["main"]

#: Module of each command. A module is imported only when its command is used, so that
#: an instance on the platform needs no memory for the other commands.
_COMMAND_MODULES = {
    "check": "basilwick.cli.serve",
    "demo": "basilwick.cli.demo",
    "explain": "basilwick.cli.status",
    "explain-request": "basilwick.cli.explain_request",
    "fake": "basilwick.cli.fake",
    "join": "basilwick.cli.join",
    "record": "basilwick.cli.record",
    "replay": "basilwick.cli.replay",
    "serve": "basilwick.cli.serve",
    "status": "basilwick.cli.status",
}


class _LazyCommandGroup(CommandGroup):
    def list_commands(self, ctx: Context) -> list[str]:
        return sorted(_COMMAND_MODULES)

    def get_command(self, ctx: Context, name: str) -> Command | None:
        if name not in _COMMAND_MODULES:
            return None
        return getattr(import_module(_COMMAND_MODULES[name]), name.replace("-", "_"))


@group(cls=_LazyCommandGroup)
def main() -> None:
    """Route requests to backend servers that each own a set of keys.

    Exit codes: 0 done, 1 unexpected failure, 2 invalid usage, settings or record,
    3 conflict with another operator, 4 platform or instance unavailable,
    5 not found, 6 shared key missing or wrong, 7 not confirmed.
    """
