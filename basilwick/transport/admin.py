"""Admin port: metrics, status, explanations of routing, and records."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime
from hmac import compare_digest
from itertools import zip_longest
from typing import TYPE_CHECKING, Any, Protocol

from aiohttp import web
from orjson import dumps
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

from basilwick.core.errors import (
    ConflictError,
    InvalidRecordError,
    PlatformUnavailableError,
    Refusal,
)
from basilwick.core.preview import preview_change
from basilwick.core.record_changes import diff_records
from basilwick.core.records import decode_record, parse_record_key, record_key
from basilwick.core.validation import split_address
from basilwick.platform.records import RecordStore, decode_json_or_text
from basilwick.transport.explanation import explain_key

if TYPE_CHECKING:
    from collections.abc import Mapping

    from prometheus_client import CollectorRegistry

    from basilwick.core.configuration import Configuration, Entry
    from basilwick.core.routing import RoutingView
    from basilwick.core.types import InstanceName
    from basilwick.platform.service import PlatformService

__all__ = ["AdminPort", "AdminView"]

_MAX_RECORD_BYTES = 65_536
_MAX_AUTHOR_LENGTH = 100


class AdminView(Protocol):
    """Interface of the instance that the admin port uses."""

    @property
    def configuration(self) -> Configuration:
        """Records and block documents that the instance knows."""

    @property
    def routing(self) -> RoutingView:
        """Routing decisions, for explanations."""

    def get_status(self) -> Mapping[str, Any]:
        """Return what /status reports, as JSON data."""

    def list_schema_max(self) -> Mapping[InstanceName, int]:
        """Return the highest record schema that each live instance reads."""

    def announce(self, entry: Entry) -> None:
        """Put a stored record into force here and pass it on."""


class AdminPort:
    """Listens for operators.

    Parameters
    ----------
    view : AdminView
        The instance.
    platform : PlatformService
        Started client of the platform.
    address : str
        IP number and port to listen on.
    shared_key : str
        Key that callers present as ``Authorization: Bearer <key>``, empty for none.
    registry : CollectorRegistry
        Metrics to report.
    """

    def __init__(
        self,
        view: AdminView,
        platform: PlatformService,
        address: str,
        shared_key: str = "",
        registry: CollectorRegistry = REGISTRY,
    ):
        self._view = view
        self._store = RecordStore(platform)
        self._address = address
        self._shared_key = shared_key
        self._registry = registry
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """IP number and port; after start the port that was taken."""
        return self._address

    async def start(self) -> None:
        """Listen."""
        app = web.Application(
            middlewares=[self._report_errors, self._check_key],
            client_max_size=_MAX_RECORD_BYTES,
        )
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/explain/{service}/{key}", self._explain)
        app.router.add_get("/records", self._list_records)
        app.router.add_get("/records/{kind}", self._list_records)
        app.router.add_get("/records/{kind}/{name}", self._get_record)
        app.router.add_put("/records/{kind}/{name}", self._put_record)
        app.router.add_get("/records/{kind}/{name}/history", self._get_history)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        host, port = split_address(self._address)
        await web.TCPSite(self._runner, host, port).start()
        port = self._runner.addresses[0][1]
        self._address = f"{self._address.rpartition(':')[0]}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _check_key(self, request: web.Request, handler: Any) -> Any:
        presented = request.headers.get("Authorization", "")
        expected = f"Bearer {self._shared_key}"
        if self._shared_key and not compare_digest(
            presented.encode(errors="replace"), expected.encode()
        ):
            return _respond_error(
                401,
                "unauthorized",
                "the shared key is missing or wrong",
                "send it as 'Authorization: Bearer <key>'",
            )
        return await handler(request)

    @web.middleware
    async def _report_errors(self, request: web.Request, handler: Any) -> Any:
        try:
            return await handler(request)
        except web.HTTPException as error:
            # Unknown paths, methods and bodies that are too large.
            return _respond_error(
                error.status,
                "bad_request",
                f"{request.method} {request.path}: {error.reason}",
                "see the operators' page for paths and limits",
            )
        except InvalidRecordError as error:
            return _respond_error(
                400,
                "invalid_record",
                str(error),
                "correct the record as the faults say",
                faults=error.faults,
            )
        except ConflictError as error:
            return _respond_error(
                409,
                "conflict",
                str(error),
                "get the record, apply the change to it and put it again",
                revision=error.revision,
                diff=error.diff,
            )
        except PlatformUnavailableError as error:
            return _respond_error(
                503,
                "platform_unavailable",
                str(error),
                "a put may have taken effect: get the record before putting it again",
            )

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def _get_status(self, request: web.Request) -> web.Response:
        configuration = self._view.configuration
        status = {
            "revision": configuration.revision,
            "unreadable": dict(configuration.unreadable),
            **self._view.get_status(),
        }
        return _respond(status)

    async def _explain(self, request: web.Request) -> web.Response:
        name = request.match_info["service"]
        result = explain_key(
            self._view.routing,
            name,
            request.match_info["key"],
            asyncio.get_running_loop().time(),
        )
        if isinstance(result, Refusal):
            return _respond_error(
                result.status, result.kind, result.message, result.remedy
            )
        return _respond(result)

    async def _list_records(self, request: web.Request) -> web.Response:
        configuration = self._view.configuration
        wanted = request.match_info.get("kind")
        records = []
        for entry in configuration.list_entries():
            parsed = parse_record_key(entry.key)
            if parsed is not None and wanted in (None, parsed[0]):
                kind, name = parsed
                records.append({"kind": kind, "name": name, "revision": entry.revision})
        return _respond({"revision": configuration.revision, "records": records})

    async def _get_record(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        consistent = True
        try:
            entry = await self._store.get(kind, name)
        except PlatformUnavailableError:
            # During an outage the record in force here is better than none.
            consistent = False
            entry = self._view.configuration.get_entry(record_key(kind, name))
        if entry is None:
            return _respond_not_found(kind, name)
        return _respond(
            {
                "kind": kind,
                "name": name,
                "revision": entry.revision,
                "consistent": consistent,
                "record": decode_json_or_text(entry.value),
            }
        )

    async def _put_record(self, request: web.Request) -> web.Response:
        expected = request.query.get("expected", "")
        dry_run = request.query.get("dry_run") == "true"
        if not dry_run and not (expected.isascii() and expected.isdigit()):
            return _respond_error(
                400,
                "bad_request",
                f"expected revision is {expected!r}",
                "give the revision that you saw as ?expected=, 0 for a new record",
            )
        prepared = await self._store.prepare(
            request.match_info["kind"],
            request.match_info["name"],
            await request.read(),
            self._view.list_schema_max(),
        )
        old, new = prepared.old, prepared.record
        preview = preview_change(self._view.configuration, old, new)
        answer = {
            "revision": prepared.revision,
            "diff": [str(line) for line in diff_records(old, new)],
            "moves": preview.describe(),
        }
        if dry_run:
            return _respond(answer)
        author = request.query.get("author", "")[:_MAX_AUTHOR_LENGTH]
        time = datetime.now(UTC).isoformat(timespec="seconds")
        entry = await self._store.put(prepared, int(expected), author, time)
        self._view.announce(entry)
        return _respond({**answer, "revision": entry.revision})

    async def _get_history(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        lines = await self._store.get_history(kind, name)
        if not lines and await self._store.get(kind, name) is None:
            return _respond_not_found(kind, name)
        for line, older in zip_longest(lines, lines[1:]):
            line["diff"] = _diff_lines(older, line)
        return _respond({"kind": kind, "name": name, "history": lines})


def _diff_lines(older: dict[str, Any] | None, newer: dict[str, Any]) -> list[str]:
    try:
        old = decode_record(dumps(older["record"])) if older else None
        new = decode_record(dumps(newer["record"]))
    except InvalidRecordError as error:
        return [f"not comparable: {error}"]
    return [str(line) for line in diff_records(old, new)]


def _respond(data: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=dumps(data), status=status, content_type="application/json"
    )


def _respond_error(
    status: int, error: str, message: str, remedy: str, **details: Any
) -> web.Response:
    data = {"error": error, "message": message, "remedy": remedy, **details}
    return _respond(data, status)


def _respond_not_found(kind: str, name: str) -> web.Response:
    return _respond_error(
        404, "not_found", f"no record {kind}/{name}", "list the records with /records"
    )
