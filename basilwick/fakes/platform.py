"""Fake of the platform's key-value service."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from typing import Any

from aiohttp import web
from attrs import asdict, define, field, fields
from orjson import dumps, loads

from basilwick.core.records import record_key
from basilwick.fakes.store import PlatformStore
from basilwick.platform.budget import TokenBucket

__all__ = ["FakePlatform", "PlatformFaults"]

_MAX_VALUE_BYTES = 1_000_000
# Paths for the control of the fake by tests, which are not counted as calls.
_CONTROL_PATHS = ("/faults", "/calls")


@define
class PlatformFaults:
    """Faults that the fake platform injects.

    Attributes
    ----------
    down : bool
        Whether every call fails.
    delay_s : float
        Delay added to every call, in seconds.
    lose_write_answers : bool
        Whether writes take effect but their connections are closed before a response.
    stale_reads : bool
        Whether reads without ``consistent=true`` return the value before the last
        write.
    instance_lag_s : float
        Delay in seconds until a change shows in the list of instances.
    reads_per_s, writes_per_s : float
        Rate limits, above which calls are refused with 429; 0 sets no limit.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_write_answers: bool = False
    stale_reads: bool = False
    instance_lag_s: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


@define
class FakePlatform:
    """In-memory key-value service with compare-and-swap, leases and watches.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free one.
    faults : PlatformFaults
        Current faults. ``PUT /faults`` replaces all of them and resets those it omits
        to their defaults.
    store : PlatformStore
        Stored values, leases and instances.

    Attributes
    ----------
    calls : Counter of str
        Number of calls by method and first segment of the path.
    call_times : deque of (float, str)
        Time and kind of the latest calls, including failed ones.
    """

    host: str = "127.0.0.1"
    port: int = 0
    faults: PlatformFaults = field(factory=PlatformFaults)
    store: PlatformStore = field(factory=PlatformStore)
    calls: Counter[str] = field(factory=Counter)
    call_times: deque[tuple[float, str]] = field(factory=lambda: deque(maxlen=100_000))
    _buckets: dict[tuple[str, float], TokenBucket] = field(factory=dict)
    _change_event: asyncio.Event = field(factory=asyncio.Event)
    _runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """IP address and port that the service listens on."""
        return f"{self.host}:{self.port}"

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self.store.revision

    async def start(self) -> None:
        """Start listening."""
        app = web.Application(
            middlewares=[self._inject_faults], client_max_size=2 * _MAX_VALUE_BYTES
        )
        app.router.add_get("/kv/{key:.+}", self._get)
        app.router.add_put("/kv/{key:.+}", self._put)
        app.router.add_post("/kv/{key:.+}", self._put)
        app.router.add_get("/range", self._list)
        app.router.add_get("/watch", self._watch)
        app.router.add_put("/leases/{name:.+}", self._acquire_lease)
        app.router.add_delete("/leases/{name:.+}", self._release_lease)
        app.router.add_get("/instances", self._list_instances)
        app.router.add_put("/instances/{name}", self._set_instance)
        app.router.add_delete("/instances/{name}", self._remove_instance)
        app.router.add_get("/calls", self._report_calls)
        app.router.add_get("/faults", self._report_faults)
        app.router.add_put("/faults", self._set_faults)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def store_record(self, record: dict[str, Any]) -> None:
        """Store a record without a revision check, as an operator's write."""
        self.store.write(
            record_key(record["kind"], record["name"]), dumps(record).decode()
        )
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> Any:
        if request.path in _CONTROL_PATHS or request.path.startswith("/instances/"):
            return await handler(request)
        kind = f"{request.method} {request.path.split('/')[1]}"
        self.calls[kind] += 1
        self.call_times.append((_now(), kind))
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return web.Response(status=503)
        if not self._take_token(request.method):
            return web.Response(status=429)
        response = await handler(request)
        if self.faults.lose_write_answers and request.method != "GET":
            request.transport.close()
        elif self.faults.down and request.path == "/watch":
            # The outage began while a watch was waiting.
            return web.Response(status=503)
        return response

    def _take_token(self, method: str) -> bool:
        faults = self.faults
        rate = faults.reads_per_s if method == "GET" else faults.writes_per_s
        if not rate:
            return True
        kind = "read" if method == "GET" else "write"
        bucket = self._buckets.setdefault((kind, rate), TokenBucket(rate, rate))
        return bucket.reserve(_now(), 0.0) is not None

    def _is_stale(self, request: web.Request) -> bool:
        consistent = request.query.get("consistent") == "true"
        return self.faults.stale_reads and not consistent

    async def _get(self, request: web.Request) -> web.Response:
        stored = self.store.read(
            request.match_info["key"], stale=self._is_stale(request)
        )
        if stored is None:
            return _respond({}, status=404)
        return _respond(stored.describe())

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        body = loads(await request.read())
        if len(body["value"].encode()) > _MAX_VALUE_BYTES:
            return _respond({"error": "value is larger than 1 MB"}, status=413)
        revision = self.store.compare_and_swap(
            key, body["value"], body["expected"], body["write_id"]
        )
        if revision is None:
            stored = self.store.read(key)
            current = stored.describe() if stored else None
            return _respond({"current": current}, status=409)
        self._notify_watches()
        return _respond({"revision": revision})

    async def _list(self, request: web.Request) -> web.Response:
        prefixes = request.query.getall("prefix")
        stale = self._is_stale(request)
        return _respond(self.store.collect(prefixes, None, stale=stale))

    async def _watch(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        prefixes = request.query.getall("prefix")
        try:
            async with asyncio.timeout(float(request.query["timeout_s"])):
                while not self.store.has_changes(prefixes, since):
                    if self.faults.down:
                        break
                    await self._change_event.wait()
        except TimeoutError:
            pass
        return _respond(self.store.collect(prefixes, since))

    async def _acquire_lease(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        acquired = self.store.acquire_lease(
            request.match_info["name"],
            body["holder"],
            body["ttl_s"],
            _now(),
            renew=body["renew"],
        )
        return _respond({}, status=200 if acquired else 409)

    async def _release_lease(self, request: web.Request) -> web.Response:
        self.store.release_lease(request.match_info["name"], request.query["holder"])
        return _respond({})

    async def _list_instances(self, request: web.Request) -> web.Response:
        return _respond(self.store.list_instances(_now(), self.faults.instance_lag_s))

    async def _set_instance(self, request: web.Request) -> web.Response:
        line = loads(await request.read())
        self.store.set_instance(request.match_info["name"], line, _now())
        return _respond({})

    async def _remove_instance(self, request: web.Request) -> web.Response:
        self.store.set_instance(request.match_info["name"], None, _now())
        return _respond({})

    async def _report_calls(self, request: web.Request) -> web.Response:
        return _respond(dict(self.calls))

    async def _report_faults(self, request: web.Request) -> web.Response:
        return _respond(asdict(self.faults))

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes = loads(await request.read())
        allowed = [attribute.name for attribute in fields(PlatformFaults)]
        unknown = sorted(set(changes) - set(allowed))
        if unknown:
            message = f"unknown faults {unknown}; allowed: {', '.join(allowed)}"
            return _respond({"error": message}, status=400)
        self.faults = PlatformFaults(**changes)
        self._notify_watches()
        return _respond(asdict(self.faults))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _respond(data: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=dumps(data), status=status, content_type="application/json"
    )
