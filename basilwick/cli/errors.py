"""Exit codes and error output of the commands."""

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

_JSON_META_KEY = "basilwick.json"


class ExitCode(IntEnum):
    """Exit codes, shared by all commands."""

    OK = 0
    #: Unexpected failure, caused by a defect of the program.
    FAILED = 1
    #: Invalid usage, settings or record; nothing was changed.
    INVALID = 2
    #: Another operator changed the record first; nothing was changed.
    CONFLICT = 3
    #: The platform or the instance did not answer; a put may have taken effect.
    UNAVAILABLE = 4
    #: No such record, service or owner.
    NOT_FOUND = 5
    #: The shared key is missing or wrong.
    UNAUTHORIZED = 6
    #: The operator did not confirm; nothing was changed.
    DECLINED = 7


class CommandError(BasilwickError):
    """A command failed for a known reason.

    Attributes
    ----------
    code : ExitCode
        Exit code of the process.
    details : dict
        Additional fields of the error, printed with ``--json``.
    """

    def __init__(
        self, message: str, code: ExitCode, details: dict[str, Any] | None = None
    ):
        super().__init__(message)
        self.code = code
        self.details = details or {}


class CommandGroup(Group):
    """Command group that reports typed errors as messages and exit codes."""

    def invoke(self, ctx: Context) -> Any:
        """Run a command; a typed error ends the process with its exit code."""
        try:
            return super().invoke(ctx)
        except BasilwickError as error:
            code = _get_exit_code(error)
            if ctx.meta.get(_JSON_META_KEY):
                details = getattr(error, "details", None)
                details = details or {"faults": getattr(error, "faults", [])}
                report = {"error": code.name.lower(), "message": str(error), **details}
                echo(dumps(report).decode())
            else:
                echo(f"error: {error}", err=True)
            sys.exit(code)


def _store_json_flag(ctx: Context, _: Parameter, value: bool) -> bool:
    # All contexts of an invocation share ``meta``, so the group can read the flag.
    ctx.meta[_JSON_META_KEY] = value
    return value


#: Option of commands that can print JSON. Errors are then printed as JSON, too.
json_option = option(
    "--json", "as_json", is_flag=True, callback=_store_json_flag, help="Print JSON."
)


def _get_exit_code(error: BasilwickError) -> ExitCode:
    if isinstance(error, CommandError):
        return error.code
    if isinstance(error, InvalidSettingsError | InvalidRecordError):
        return ExitCode.INVALID
    if isinstance(error, ConflictError):
        return ExitCode.CONFLICT
    if isinstance(error, PlatformUnavailableError):
        return ExitCode.UNAVAILABLE
    return ExitCode.FAILED
