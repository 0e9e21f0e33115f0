"""Exit codes of the commands."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import Any

from click import Context, Group, Parameter, echo, option
from orjson import dumps

from basilwick.core.errors import (
    BasilwickError,
    ConflictError,
    InvalidRecordError,
    InvalidSettingsError,
    PlatformUnavailableError,
)

__all__ = ["CommandError", "CommandGroup", "ExitCode", "json_option"]


_JSON = "basilwick.json"


class ExitCode(IntEnum):
    """Exit codes, the same for all commands."""

    OK = 0
    #: Unexpected failure, a fault of the program.
    FAILED = 1
    #: Wrong usage, settings or record; nothing was changed.
    INVALID = 2
    #: Another operator changed the record first; nothing was changed.
    CONFLICT = 3
    #: The platform or the instance gave no answer; a put may have taken effect.
    UNAVAILABLE = 4
    #: No such record, service or owner.
    NOT_FOUND = 5
    #: The shared key is missing or wrong.
    UNAUTHORIZED = 6
    #: The operator did not confirm; nothing was changed.
    DECLINED = 7


class CommandError(BasilwickError):
    """A command failed in an expected way.

    Attributes
    ----------
    code : ExitCode
        Exit code of the process.
    details : dict
        Further values of the failure, printed with ``--json``.
    """

    def __init__(
        self, message: str, code: ExitCode, details: dict[str, Any] | None = None
    ):
        super().__init__(message)
        self.code = code
        self.details = details or {}


class CommandGroup(Group):
    """Group of commands that turns typed errors into messages and exit codes."""

    def invoke(self, ctx: Context) -> Any:
        """Run a command; an expected error ends the process with its exit code."""
        try:
            return super().invoke(ctx)
        except BasilwickError as error:
            code = _get_code(error)
            if ctx.meta.get(_JSON):
                details = getattr(error, "details", None)
                details = details or {"faults": getattr(error, "faults", [])}
                report = {"error": code.name.lower(), "message": str(error), **details}
                echo(dumps(report).decode())
            else:
                echo(f"error: {error}", err=True)
            sys.exit(code)


def _remember_json(ctx: Context, _: Parameter, value: bool) -> bool:
    # Shared by all contexts of the command, so that the group can see it.
    ctx.meta[_JSON] = value
    return value


#: Option of commands that can print JSON; errors are then JSON as well.
json_option = option(
    "--json", "as_json", is_flag=True, callback=_remember_json, help="Print JSON."
)


def _get_code(error: BasilwickError) -> ExitCode:
    if isinstance(error, CommandError):
        return error.code
    if isinstance(error, InvalidSettingsError | InvalidRecordError):
        return ExitCode.INVALID
    if isinstance(error, ConflictError):
        return ExitCode.CONFLICT
    if isinstance(error, PlatformUnavailableError):
        return ExitCode.UNAVAILABLE
    return ExitCode.FAILED
