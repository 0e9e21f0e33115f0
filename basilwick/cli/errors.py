"""Exit codes of the commands."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import Any

from click import Context, Group, echo
from orjson import dumps

from basilwick.core.errors import (
    BasilwickError,
    ConflictError,
    InvalidRecordError,
    PlatformUnavailableError,
)
from basilwick.settings import InvalidSettingsError

__all__ = ["CommandError", "CommandGroup", "ExitCode"]


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
    answer : dict
        Answer of the instance, shown with ``--json``.
    """

    def __init__(
        self, message: str, code: ExitCode, answer: dict[str, Any] | None = None
    ):
        super().__init__(message)
        self.code = code
        self.answer = answer or {}


class CommandGroup(Group):
    """Group of commands that turns typed errors into messages and exit codes."""

    def invoke(self, ctx: Context) -> Any:
        """Run a command; an expected error ends the process with its exit code."""
        try:
            return super().invoke(ctx)
        except BasilwickError as error:
            if isinstance(error, CommandError) and error.answer.get("as_json"):
                echo(dumps({"error": str(error), **error.answer}).decode())
            else:
                echo(f"error: {error}", err=True)
            sys.exit(_get_code(error))


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
