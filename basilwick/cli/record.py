"""The ``record`` commands, which check, show and change records."""

from __future__ import annotations

from getpass import getuser
from typing import TYPE_CHECKING, Any, BinaryIO
from urllib.parse import quote

from click import (
    Abort,
    Choice,
    File,
    UsageError,
    argument,
    confirm,
    echo,
    group,
    option,
)
from orjson import OPT_INDENT_2, dumps

from basilwick.cli.client import admin_options
from basilwick.cli.errors import CommandError, ExitCode, json_option
from basilwick.core.records import decode_record, get_kind

if TYPE_CHECKING:
    from basilwick.cli.client import AdminClient

__all__ = ["record"]

_MAX_BLOCKS_SHOWN = 10
_KIND = Choice(["service", "server", "data_centre"])


@group()
def record() -> None:
    """Check, show and change the records of services, servers and data centres."""


@record.command()
@argument("file", type=File("rb"))
@json_option
def validate(file: BinaryIO, as_json: bool) -> None:
    """Check a record in a JSON file, without calling an instance."""
    decoded = decode_record(file.read())
    path = f"{get_kind(decoded)}/{decoded.name}"
    echo(dumps({"valid": True, "record": path}) if as_json else f"{path}: valid")


@record.command("list")
@argument("kind", type=_KIND, required=False)
@admin_options
@json_option
def list_records(kind: str | None, admin: AdminClient, as_json: bool) -> None:
    """List records with their revisions."""
    answer = admin.call("GET", f"/records/{kind}" if kind else "/records")
    if as_json:
        echo(dumps(answer))
        return
    for line in answer["records"]:
        echo(f"{line['kind']}/{line['name']} revision {line['revision']}")


@record.command()
@argument("kind", type=_KIND)
@argument("name")
@admin_options
@json_option
def get(kind: str, name: str, admin: AdminClient, as_json: bool) -> None:
    """Print a record; its revision goes to standard error."""
    answer = admin.call("GET", f"/records/{kind}/{quote(name, safe='')}")
    if as_json:
        echo(dumps(answer))
        return
    echo(dumps(answer["record"], option=OPT_INDENT_2))
    staleness = "" if answer["consistent"] else " (platform unavailable: may be old)"
    echo(f"revision {answer['revision']}{staleness}", err=True)


@record.command()
@argument("kind", type=_KIND)
@argument("name")
@admin_options
@json_option
def history(kind: str, name: str, admin: AdminClient, as_json: bool) -> None:
    """Show the previous puts of a record, newest first."""
    answer = admin.call("GET", f"/records/{kind}/{quote(name, safe='')}/history")
    if as_json:
        echo(dumps(answer))
        return
    for line in answer["history"]:
        echo(
            f"revision {line['revision']} {line['time'] or 'time unknown'} "
            f"{line['author'] or 'author unknown'}"
        )
        _print_lines(line["diff"])


@record.command()
@argument("file", type=File("rb"))
@admin_options
@json_option
def diff(file: BinaryIO, admin: AdminClient, as_json: bool) -> None:
    """Show how a record in a file differs from the stored one, and what would move."""
    _, answer = _preview(admin, file.read())
    _show_preview(answer, as_json)


@record.command()
@argument("file", type=File("rb"))
@option("--expected", type=int, help="Revision you saw, 0 for a new record.")
@option("--yes", is_flag=True, help="Put without asking.")
@option("--author", default=None, help="Name for the history; default: your login.")
@admin_options
@json_option
def put(
    file: BinaryIO,
    expected: int | None,
    yes: bool,
    author: str | None,
    admin: AdminClient,
    as_json: bool,
) -> None:
    """Store a record after showing what will move.

    The put fails with exit code 3 if the record changed after the revision given with
    --expected, or after the preview.
    """
    if as_json and not yes:
        raise UsageError("--json does not ask for confirmation, so it needs --yes")
    data = file.read()
    path, preview = _preview(admin, data)
    revision = preview["revision"]
    # With a wrong --expected the put is sent without showing the preview or asking: the
    # instance refuses it and reports the conflict.
    if expected in (None, revision):
        if not preview["diff"]:
            preview["changed"] = False
            _show_preview(preview, as_json)
            return
        if not as_json:
            _show_preview(preview, as_json)
        if not yes:
            _require_confirmation()
        expected = revision
    params = {"expected": str(expected), "author": author or _get_login_name()}
    answer = admin.call("PUT", path, params, data) | {"changed": True}
    echo(dumps(answer) if as_json else f"stored with revision {answer['revision']}")


def _preview(admin: AdminClient, data: bytes) -> tuple[str, dict[str, Any]]:
    decoded = decode_record(data)
    path = f"/records/{get_kind(decoded)}/{decoded.name}"
    return path, admin.call("PUT", path, {"dry_run": "true"}, data)


def _show_preview(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        echo(dumps(answer))
        return
    echo(f"stored revision: {answer['revision'] or 'none'}")
    _print_lines(answer["diff"] or ["no change"])
    moves = answer["moves"]
    blocks = moves["blocks"]
    if blocks:
        echo(
            f"will move: {moves['shards']} shards and {moves['hot_keys']} hot keys of "
            f"{len(blocks)} blocks"
        )
    _print_lines([_format_block(block) for block in blocks[:_MAX_BLOCKS_SHOWN]])
    if len(blocks) > _MAX_BLOCKS_SHOWN:
        echo(f"  and {len(blocks) - _MAX_BLOCKS_SHOWN} more blocks (--json shows all)")
    for warning in moves["warnings"]:
        echo(f"warning: {warning}")


def _format_block(block: dict[str, Any]) -> str:
    home_note = ", leaves its home data centre" if block["leaves_home"] else ""
    return (
        f"{block['service']}/{block['block']}: {len(block['shards'])} shards, "
        f"{block['hot_keys']} hot keys{home_note}"
    )


def _print_lines(lines: list[str]) -> None:
    for line in lines:
        echo(f"  {line}")


def _require_confirmation() -> None:
    try:
        confirmed = confirm("Put this record?")
    except Abort:
        confirmed = False
    if not confirmed:
        raise CommandError("not confirmed; nothing was changed", ExitCode.DECLINED)


def _get_login_name() -> str:
    try:
        return getuser()
    except (OSError, KeyError):
        return ""
