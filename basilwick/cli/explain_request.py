"""Command that gets from the id of a request to its cause."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

from click import Path as PathType
from click import argument, command, echo
from orjson import JSONDecodeError, dumps, loads

from basilwick.cli.errors import CommandError, ExitCode, json_option
from basilwick.core.request_history import build_request_history, find_request_lines

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilwick.core.request_history import LogLine, RequestHistory

__all__ = ["explain_request"]

#: Fields of a line that are printed first, or not at all.
_LEADING_FIELDS = ("time", "level", "message")


@command("explain-request")
@argument("request_id")
@argument(
    "logs",
    nargs=-1,
    required=True,
    type=PathType(exists=True, dir_okay=False, path_type=Path),
)
@json_option
def explain_request(request_id: str, logs: tuple[Path, ...], as_json: bool) -> None:
    """Show what happened to a request, from the LOGS of all instances.

    Prints the answer, the events of the 6 seconds before it that concern its key, its
    servers or the site, and the failures of other requests at that time. Exit code 5
    if no line names the request: the instance was killed, or the line was dropped.
    """
    lines = list(_read_lines(logs))
    answers = find_request_lines(lines, request_id)
    if not answers:
        raise CommandError(
            f"no line of {len(logs)} logs names request {request_id!r}; look for an "
            "instance that ended and for 'log lines dropped'",
            ExitCode.NOT_FOUND,
        )
    history = build_request_history(lines, answers)
    if as_json:
        echo(
            dumps(
                {
                    "answers": history.answers,
                    "events": history.events,
                    "failures": history.failures,
                }
            ).decode()
        )
    else:
        _print(history)


def _read_lines(logs: tuple[Path, ...]) -> Iterator[LogLine]:
    """Give the lines of instances; others are counted on standard error."""
    for path in logs:
        passed_over = 0
        with path.open("rb") as file:
            for raw in file:
                line = _decode(raw)
                if line is None:
                    passed_over += 1
                else:
                    yield line
        if passed_over:
            echo(f"{path}: passed over {passed_over} lines without JSON", err=True)


def _decode(raw: bytes) -> LogLine | None:
    try:
        line = loads(raw)
    except JSONDecodeError:
        return None
    return line if isinstance(line, dict) and "time" in line else None


def _print(history: RequestHistory) -> None:
    for line in history.answers:
        echo(_format(line))
    echo(f"events around it: {len(history.events)}")
    for line, number in _fold(history.events):
        echo(f"  {_format(line)}" + (f" ({number} lines alike)" if number > 1 else ""))
    echo(f"other failures at that time: {sum(history.failures.values())}")
    for reason, number in sorted(history.failures.items(), key=lambda item: -item[1]):
        echo(f"  {number} {reason}")


def _fold(lines: list[LogLine]) -> list[tuple[LogLine, int]]:
    """Return the first of the lines that differ in their time only, with their number.

    Each instance writes a line when it learns something.
    """
    folded: dict[bytes, tuple[LogLine, int]] = {}
    for line in lines:
        alike = dumps({k: v for k, v in line.items() if k != "time"})
        first, number = folded.get(alike, (line, 0))
        folded[alike] = first, number + 1
    return list(folded.values())


def _format(line: LogLine) -> str:
    time = datetime.fromtimestamp(line["time"], UTC).isoformat(timespec="milliseconds")
    rest = [f"{k}={v}" for k, v in line.items() if k not in _LEADING_FIELDS]
    return " ".join([time, line.get("message", ""), *rest])
