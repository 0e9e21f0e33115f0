"""Fake of the platform's key-value service that speaks its published protocol."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from copy import deepcopy
from time import monotonic
from typing import Any

from aiohttp import web
from attrs import define, field
from orjson import dumps, loads

__all__ = ["KvService"]

_PAGE_SIZE = 500
_MIN_TTL_S = 1.0
_EXPIRY_INTERVAL_S = 0.05


@define
class _Entry:
    value: bytes
    revision: int
    created: int
    lease: int


@define
class _Lease:
    ttl_s: float
    expires_at: float


@define
class _Copy:
    entries: dict[str, _Entry]
    history: list[dict[str, Any]]
    revision: int
    leases: dict[int, _Lease]


@define(eq=False)
class KvService:
    """Key-value service with conditional writes, watches and leases.

    Attributes
    ----------
    address : str
        IP address and port; port 0 selects a free one.
    down : bool
        Whether every call fails with status 503.
    lose_write_responses : bool
        Whether writes take effect but their connections are closed before a response.
    era : int
        Number in the header ``Store-Era`` of all responses; raised by `restore`.
    """

    address: str = "127.0.0.1:0"
    down: bool = False
    lose_write_responses: bool = False
    era: int = 1
    calls: int = 0
    _copy: _Copy | None = None
    _entries: dict[str, _Entry] = field(factory=dict)
    _history: list[dict[str, Any]] = field(factory=list)
    _first_revision: int = 1
    _revision: int = 1
    _leases: dict[int, _Lease] = field(factory=dict)
    _runner: web.AppRunner | None = None
    _change_written: asyncio.Condition = field(factory=asyncio.Condition)
    _expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening and expiring leases."""
        app = web.Application(middlewares=[self._inject_faults])
        app.router.add_get("/kv-key", self._get)
        app.router.add_get("/kv-range", self._list)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._commit)
        app.router.add_post("/kv-lease", self._create_lease)
        app.router.add_post("/kv-keep/{lease}", self._renew_lease)
        app.router.add_delete("/kv-lease-end/{lease}", self._revoke_lease)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        site = web.TCPSite(self._runner, host, int(port))
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"{host}:{port}"
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        """Stop listening and expiring leases."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, key: str, value: Any) -> int:
        """Write a key like an operator or a server, and return the new revision."""
        self._revision += 1
        self._write(key, dumps(value), 0)
        await self._notify_watches()
        return self._revision

    async def remove(self, key: str) -> None:
        """Remove a key like an operator or a server."""
        self._revision += 1
        self._remove(key)
        await self._notify_watches()

    def read(self, key: str) -> Any:
        """Return the decoded value of a key, or None if the key does not exist."""
        entry = self._entries.get(key)
        return None if entry is None else loads(entry.value)

    def drop_history(self) -> None:
        """Drop the change history, so that watches fail and clients must list again."""
        self._history.clear()
        self._first_revision = self._revision + 1

    def take_copy(self) -> None:
        """Keep a copy of the present state for `restore`."""
        self._copy = _Copy(
            deepcopy(self._entries),
            list(self._history),
            self._revision,
            deepcopy(self._leases),
        )

    async def restore(self) -> None:
        """Return to the copy: what was written since then is lost, leases too.

        The copied leases start their time to live anew.
        """
        copy = deepcopy(self._copy)
        self._entries, self._history = copy.entries, copy.history
        self._revision, self._leases = copy.revision, copy.leases
        for lease in self._leases.values():
            lease.expires_at = monotonic() + lease.ttl_s
        self.era += 1
        await self._notify_watches()

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        self.calls += 1
        if self.down:
            return self._state_era(web.Response(status=503))
        response = self._state_era(await handler(request))
        if self.lose_write_responses and request.method != "GET" and request.transport:
            request.transport.abort()
        return response

    def _state_era(self, response: web.StreamResponse) -> web.StreamResponse:
        response.headers["Store-Era"] = str(self.era)
        return response

    async def _get(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        entry = self._entries.get(key)
        if entry is None:
            return web.Response(status=404)
        return _respond({**_encode(key, entry), "currentRev": self._revision})

    async def _list(self, request: web.Request) -> web.Response:
        prefix, after = request.query["pathPrefix"], request.query.get("after", "")
        keys = sorted(k for k in self._entries if k.startswith(prefix) and k > after)
        items = [_encode(key, self._entries[key]) for key in keys[:_PAGE_SIZE]]
        return _respond(
            {
                "items": items,
                "morePages": len(keys) > _PAGE_SIZE,
                "currentRev": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        prefix = request.query["pathPrefix"]
        deadline = monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            # Tested on each pass: the history can be dropped while a watch waits.
            if not self._first_revision - 1 <= after <= self._revision:
                return web.Response(status=410)
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - monotonic()
            if events or left_s <= 0:
                return _respond({"events": events, "currentRev": self._revision})
            try:
                async with asyncio.timeout(left_s), self._change_written:
                    await self._change_written.wait()
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
                return _respond({"items": items}, 412)
        if any(w.get("lease", 0) not in {0, *self._leases} for w in body["writes"]):
            return web.Response(status=404)
        self._revision += 1
        for write in body["writes"]:
            value = b64decode(write["value"])
            self._write(write["key"], value, write.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        await self._notify_watches()
        return _respond({"revision": self._revision})

    async def _create_lease(self, request: web.Request) -> web.Response:
        ttl_s = max(_MIN_TTL_S, loads(await request.read())["ttlMs"] / 1000)
        lease_id = 1000 + len(self._leases) + self._revision
        self._leases[lease_id] = _Lease(ttl_s, monotonic() + ttl_s)
        return _respond({"lease": lease_id, "ttlMs": round(ttl_s * 1000)})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = self._leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.Response(status=404)
        lease.expires_at = monotonic() + lease.ttl_s
        return _respond({"ttlMs": round(lease.ttl_s * 1000)})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        lease_id = int(request.match_info["lease"])
        if self._leases.pop(lease_id, None) is None:
            return web.Response(status=404)
        await self._remove_leased_keys(lease_id)
        return _respond({})

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            now = monotonic()
            for lease_id, lease in list(self._leases.items()):
                if lease.expires_at <= now and not self.down:
                    del self._leases[lease_id]
                    await self._remove_leased_keys(lease_id)

    async def _remove_leased_keys(self, lease: int) -> None:
        keys = [key for key, entry in self._entries.items() if entry.lease == lease]
        for key in keys:
            self._revision += 1
            self._remove(key)
        await self._notify_watches()

    def _write(self, key: str, value: bytes, lease: int) -> None:
        previous = self._entries.get(key)
        created = previous.created if previous else self._revision
        entry = self._entries[key] = _Entry(value, self._revision, created, lease)
        self._history.append(_encode(key, entry))

    def _remove(self, key: str) -> None:
        if self._entries.pop(key, None) is not None:
            self._history.append(
                {"key": key, "revision": self._revision, "tombstone": True}
            )

    async def _notify_watches(self) -> None:
        async with self._change_written:
            self._change_written.notify_all()


def _encode(key: str, entry: _Entry) -> dict[str, Any]:
    return {
        "key": key,
        "value": b64encode(entry.value).decode(),
        "revision": entry.revision,
        "created": entry.created,
        "lease": entry.lease,
    }


def _respond(body: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(
        body=dumps(body), status=status, content_type="application/json"
    )
