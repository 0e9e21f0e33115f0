"""The ``status`` and ``explain`` commands: show an instance's state and routing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from click import argument, command, echo
from orjson import dumps

from basilwick.cli.client import admin_options
from basilwick.cli.errors import json_option

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilwick.cli.client import AdminClient

__all__ = ["explain", "status"]


@command()
@admin_options
@json_option
def status(admin: AdminClient, as_json: bool) -> None:
    """Show the state of an instance."""
    _print_answer(admin.call("GET", "/status"), as_json)


@command()
@argument("service")
@argument("key")
@admin_options
@json_option
def explain(service: str, key: str, admin: AdminClient, as_json: bool) -> None:
    """Show where a key is served, and what requests for it wait for."""
    path = f"/explain/{quote(service, safe='')}/{quote(key, safe='')}"
    _print_answer(admin.call("GET", path), as_json)


def _print_answer(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        echo(dumps(answer).decode())
        return
    for line in _flatten(answer):
        echo(line)


def _flatten(value: Any, path: str = "") -> Iterator[str]:
    """Yield one ``path: value`` line for each leaf of a JSON value."""
    if isinstance(value, dict) and value:
        for name, part in value.items():
            yield from _flatten(part, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and value:
        for number, part in enumerate(value):
            yield from _flatten(part, f"{path}[{number}]")
    else:
        shown = "-" if value in (None, {}, []) else value
        yield f"{path}: {shown}"
