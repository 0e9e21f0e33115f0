"""The ``replay`` command, which replays a recorded trace."""

from __future__ import annotations

from pathlib import Path

from click import Path as PathType
from click import argument, command, echo
from orjson import dumps

from basilwick.cli.errors import CommandError, ExitCode, json_option
from basilwick.core.trace import Difference
from basilwick.core.trace import replay as replay_trace
from basilwick.core.trace_registry import build_registry

__all__ = ["replay"]


@command()
@argument("trace", type=PathType(exists=True, dir_okay=False, path_type=Path))
@json_option
def replay(trace: Path, as_json: bool) -> None:
    """Replay a trace of decisions, and fail at the first action that differs."""
    with trace.open("rb") as file:
        result = replay_trace(file, build_registry())
    if isinstance(result, Difference):
        stated, replayed = (
            "no action" if action is None else dumps(action).decode()
            for action in (result.stated, result.replayed)
        )
        raise CommandError(
            f"{trace}: line {result.line} differs\n"
            f"  stated:   {stated}\n  replayed: {replayed}",
            ExitCode.FAILED,
            {
                "line": result.line,
                "stated": result.stated,
                "replayed": result.replayed,
            },
        )
    if as_json:
        echo(dumps({"replayed": result, "difference": None}).decode())
    else:
        echo(f"{trace}: {result} events replayed without a difference")
