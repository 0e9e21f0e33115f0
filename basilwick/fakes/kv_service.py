"""Stand-in for the platform's key-value service, with the published protocol."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from time import monotonic
from typing import Any

from aiohttp import web
from attrs import define, field
from orjson import dumps, loads

__all__ = ["KvService"]

_PAGE = 500
_MIN_LEASE_S = 1.0
_LEASE_INTERVAL_S = 0.05


@define
class _Entry:
    value: bytes
    revision: int
    created: int
    lease: int


@define
class _Lease:
    seconds: float
    ends_at: float


@define(eq=False)
class KvService:
    """Key-value service with conditional writes, watches and leases.

    Attributes
    ----------
    address : str
        IP number and port; port 0 takes a free one.
    down : bool
        Whether every call is answered with status 503.
    lose_answers : bool
        Whether writes take effect and are not answered.
    """

    address: str = "127.0.0.1:0"
    down: bool = False
    lose_answers: bool = False
    calls: int = 0
    _entries: dict[str, _Entry] = field(factory=dict)
    _history: list[dict[str, Any]] = field(factory=list)
    _first_revision: int = 1
    _revision: int = 1
    _leases: dict[int, _Lease] = field(factory=dict)
    _runner: web.AppRunner | None = None
    _changed: asyncio.Condition = field(factory=asyncio.Condition)
    _task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        app = web.Application(middlewares=[self._trouble])
        app.router.add_get("/kv-key", self._get)
        app.router.add_get("/kv-range", self._list)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._commit)
        app.router.add_post("/kv-lease", self._create_lease)
        app.router.add_post("/kv-keep/{lease}", self._renew_lease)
        app.router.add_delete("/kv-lease-end/{lease}", self._end_lease)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        site = web.TCPSite(self._runner, host, int(port))
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"{host}:{port}"
        self._task = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stop listening."""
        if self._task is not None:
            self._task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, key: str, value: Any) -> int:
        """Write a key as an operator or server does; returns the revision."""
        self._revision += 1
        self._write(key, dumps(value), 0)
        await self._notify()
        return self._revision

    async def remove(self, key: str) -> None:
        """Remove a key as an operator or server does."""
        self._revision += 1
        self._remove(key)
        await self._notify()

    def read(self, key: str) -> Any:
        """Return the decoded value of a key, None if it does not exist."""
        entry = self._entries.get(key)
        return None if entry is None else loads(entry.value)

    def forget_history(self) -> None:
        """Drop all changes, so that watches have to list anew."""
        self._history.clear()
        self._first_revision = self._revision + 1

    @web.middleware
    async def _trouble(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.calls += 1
        if self.down:
            return web.Response(status=503)
        response = await handler(request)
        if self.lose_answers and request.method != "GET" and request.transport:
            request.transport.abort()
        return response

    async def _get(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        entry = self._entries.get(key)
        if entry is None:
            return web.Response(status=404)
        return _answer({**_encode(key, entry), "currentRev": self._revision})

    async def _list(self, request: web.Request) -> web.Response:
        prefix, after = request.query["pathPrefix"], request.query.get("after", "")
        keys = sorted(k for k in self._entries if k.startswith(prefix) and k > after)
        items = [_encode(key, self._entries[key]) for key in keys[:_PAGE]]
        return _answer(
            {
                "items": items,
                "morePages": len(keys) > _PAGE,
                "currentRev": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        prefix = request.query["pathPrefix"]
        deadline = monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            # The history can also be dropped while a watch waits.
            if after < self._first_revision - 1:
                return web.Response(status=410)
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = deadline - monotonic()
            if events or left <= 0:
                return _answer({"events": events, "currentRev": self._revision})
            try:
                async with asyncio.timeout(left), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _commit(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        conditions = body["precondition"]
        for condition in conditions:
            entry = self._entries.get(condition["key"])
            if condition["revision"] != (entry.revision if entry else 0):
                keys = [c["key"] for c in conditions if c["key"] in self._entries]
                items = [_encode(key, self._entries[key]) for key in keys]
                return _answer({"items": items}, 412)
        if any(w.get("lease", 0) not in {0, *self._leases} for w in body["writes"]):
            return web.Response(status=404)
        self._revision += 1
        for write in body["writes"]:
            value = b64decode(write["value"])
            self._write(write["key"], value, write.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        await self._notify()
        return _answer({"revision": self._revision})

    async def _create_lease(self, request: web.Request) -> web.Response:
        seconds = max(_MIN_LEASE_S, loads(await request.read())["ttlMs"] / 1000)
        number = 1000 + len(self._leases) + self._revision
        self._leases[number] = _Lease(seconds, monotonic() + seconds)
        return _answer({"lease": number, "ttlMs": round(seconds * 1000)})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = self._leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.Response(status=404)
        lease.ends_at = monotonic() + lease.seconds
        return _answer({"ttlMs": round(lease.seconds * 1000)})

    async def _end_lease(self, request: web.Request) -> web.Response:
        number = int(request.match_info["lease"])
        if self._leases.pop(number, None) is None:
            return web.Response(status=404)
        await self._drop_keys(number)
        return _answer({})

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_INTERVAL_S)
            now = monotonic()
            for number, lease in list(self._leases.items()):
                if lease.ends_at <= now and not self.down:
                    del self._leases[number]
                    await self._drop_keys(number)

    async def _drop_keys(self, lease: int) -> None:
        keys = [key for key, entry in self._entries.items() if entry.lease == lease]
        for key in keys:
            self._revision += 1
            self._remove(key)
        await self._notify()

    def _write(self, key: str, value: bytes, lease: int) -> None:
        known = self._entries.get(key)
        created = known.created if known else self._revision
        entry = self._entries[key] = _Entry(value, self._revision, created, lease)
        self._history.append(_encode(key, entry))

    def _remove(self, key: str) -> None:
        if self._entries.pop(key, None) is not None:
            self._history.append(
                {"key": key, "revision": self._revision, "tombstone": True}
            )

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()


def _encode(key: str, entry: _Entry) -> dict[str, Any]:
    return {
        "key": key,
        "value": b64encode(entry.value).decode(),
        "revision": entry.revision,
        "created": entry.created,
        "lease": entry.lease,
    }


def _answer(body: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(
        body=dumps(body), status=status, content_type="application/json"
    )
