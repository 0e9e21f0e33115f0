"""Stand-in for the platform's key-value service."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from aiohttp import web
from attrs import define, field
from orjson import dumps, loads

from basilwick.core.records import record_key

__all__ = ["FakePlatform"]

_MAX_VALUE_BYTES = 1_000_000


@define
class _Stored:
    key: str
    value: str
    revision: int
    write_id: str

    def describe(self) -> dict[str, Any]:
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "write_id": self.write_id,
        }


@define
class PlatformFaults:
    """Faults that the stand-in brings about.

    Attributes
    ----------
    down : bool
        Whether every call fails.
    delay_s : float
        Delay of every call in seconds.
    lose_write_answers : bool
        Whether writes take effect but their answers are lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_write_answers: bool = False


@define
class FakePlatform:
    """Key-value service with compare-and-swap and watches, in memory.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 takes a free one.
    """

    host: str = "127.0.0.1"
    port: int = 0
    faults: PlatformFaults = field(factory=PlatformFaults)
    calls: Counter[str] = field(factory=Counter)
    revision: int = 0
    _entries: dict[str, _Stored] = field(factory=dict)
    _changed: asyncio.Condition = field(factory=asyncio.Condition)
    _runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """IP number and port that the service listens on."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        app = web.Application(
            middlewares=[self._inject_faults], client_max_size=2 * _MAX_VALUE_BYTES
        )
        app.router.add_get("/kv/{key:.+}", self._get)
        app.router.add_put("/kv/{key:.+}", self._put)
        app.router.add_get("/range", self._list)
        app.router.add_get("/watch", self._watch)
        app.router.add_get("/calls", self._report_calls)
        app.router.add_put("/faults", self._set_faults)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, self.port, shutdown_timeout=0.1)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def store_record(self, record: dict[str, Any]) -> None:
        """Store a record as if an operator had put it."""
        self.revision += 1
        key = record_key(record["kind"], record["name"])
        value = dumps(record).decode()
        self._entries[key] = _Stored(key, value, self.revision, "")

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> Any:
        if request.path in ("/faults", "/calls"):
            return await handler(request)
        self.calls[f"{request.method} {request.path.split('/')[1]}"] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return web.Response(status=503)
        response = await handler(request)
        if self.faults.lose_write_answers and request.method == "PUT":
            request.transport.close()
        return response

    async def _get(self, request: web.Request) -> web.Response:
        stored = self._entries.get(request.match_info["key"])
        if stored is None:
            return _respond({}, status=404)
        return _respond(stored.describe())

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        body = loads(await request.read())
        stored = self._entries.get(key)
        if (stored.revision if stored else 0) != body["expected"]:
            return _respond(
                {"current": stored.describe() if stored else None}, status=409
            )
        self.revision += 1
        self._entries[key] = _Stored(
            key, body["value"], self.revision, body["write_id"]
        )
        revision = self.revision
        async with self._changed:
            self._changed.notify_all()
        return _respond({"revision": revision})

    async def _list(self, request: web.Request) -> web.Response:
        return _respond(self._collect(request.query["prefix"], 0, snapshot=True))

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        since = int(request.query["since"])
        async with self._changed:
            try:
                async with asyncio.timeout(float(request.query["timeout_s"])):
                    await self._changed.wait_for(lambda: self.revision > since)
            except TimeoutError:
                pass
        return _respond(self._collect(prefix, since, snapshot=False))

    def _collect(self, prefix: str, since: int, *, snapshot: bool) -> dict[str, Any]:
        entries = [
            stored.describe()
            for key, stored in self._entries.items()
            if key.startswith(prefix) and stored.revision > since
        ]
        return {"revision": self.revision, "entries": entries, "snapshot": snapshot}

    async def _report_calls(self, request: web.Request) -> web.Response:
        return _respond(dict(self.calls))

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = PlatformFaults(**loads(await request.read()))
        return _respond({})


def _respond(data: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=dumps(data), status=status, content_type="application/json"
    )
