"""The ``explain-request`` command, which finds what explains a request in the logs."""

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

#: Fields that are not printed as ``name=value``: the time and the message come first,
#: the level is left out.
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
    servers or the site, and the failures of other requests at that time. The exit code
    is 5 if no line names the request: the instance was killed, or the line was dropped.
    """
    lines = list(_read_log_lines(logs))
    answers = find_request_lines(lines, request_id)
    if not answers:
        raise CommandError(
            f"no line in {len(logs)} logs names request {request_id!r}; check whether "
            "an instance was killed, and look for 'log lines dropped'",
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
        _print_history(history)


def _read_log_lines(logs: tuple[Path, ...]) -> Iterator[LogLine]:
    """Yield the JSON log lines; report the number of others on standard error."""
    for path in logs:
        skipped = 0
        with path.open("rb") as file:
            for raw in file:
                line = _decode_line(raw)
                if line is None:
                    skipped += 1
                else:
                    yield line
        if skipped:
            echo(f"{path}: passed over {skipped} lines without JSON", err=True)


def _decode_line(raw: bytes) -> LogLine | None:
    try:
        line = loads(raw)
    except JSONDecodeError:
        return None
    return line if isinstance(line, dict) and "time" in line else None


def _print_history(history: RequestHistory) -> None:
    for line in history.answers:
        echo(_format_line(line))
    echo(f"events around it: {len(history.events)}")
    for line, count in _group_repeated(history.events):
        echo(
            f"  {_format_line(line)}" + (f" ({count} lines alike)" if count > 1 else "")
        )
    echo(f"other failures at that time: {sum(history.failures.values())}")
    for reason, count in sorted(history.failures.items(), key=lambda item: -item[1]):
        echo(f"  {count} {reason}")


def _group_repeated(lines: list[LogLine]) -> list[tuple[LogLine, int]]:
    """Group lines that differ only in their time; return the first of each and a count.

    An event appears once in the log of each instance that learns of it.
    """
    groups: dict[bytes, tuple[LogLine, int]] = {}
    for line in lines:
        content = dumps({k: v for k, v in line.items() if k != "time"})
        first, count = groups.get(content, (line, 0))
        groups[content] = first, count + 1
    return list(groups.values())


def _format_line(line: LogLine) -> str:
    time = datetime.fromtimestamp(line["time"], UTC).isoformat(timespec="milliseconds")
    fields = [f"{k}={v}" for k, v in line.items() if k not in _LEADING_FIELDS]
    return " ".join([time, line.get("message", ""), *fields])
