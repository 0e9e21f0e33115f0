"""Client of the platform's key-value service over HTTP."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from aiohttp import ClientError, ClientSession, ClientTimeout
from attrs import frozen
from orjson import dumps, loads
from prometheus_client import Counter

from basilwick.core.errors import PlatformUnavailableError, TooLargeError
from basilwick.platform.budget import AdaptiveTimeout, Backoff, CallBudget, CallKind
from basilwick.platform.service import (
    Changes,
    Committed,
    Conflict,
    Entry,
    Lease,
    ListedInstance,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["MAX_VALUE_BYTES", "HttpPlatformClient"]

#: Largest value that the platform accepts.
MAX_VALUE_BYTES = 1_000_000
_CALL_TIMEOUT_S = 1.0
# A list has all documents of a prefix, about 5 MB at the target size.
_LIST_TIMEOUT_S = 5.0
_MAX_ATTEMPTS = 3
_MAX_BUDGET_WAIT_S = 2.0

_CALLS = Counter(
    "basilwick_platform_calls",
    "Calls to the platform by kind, cause and result",
    ["kind", "cause", "result"],
)


@frozen
class _Request:
    kind: CallKind
    cause: str
    method: str
    path: str
    params: Sequence[tuple[str, str]] = ()
    data: bytes | None = None
    timeout_s: float = _CALL_TIMEOUT_S
    # Time for which the platform may delay its response, in addition to timeout_s.
    wait_s: float = 0.0


class HttpPlatformClient:
    """HTTP client of the platform's key-value service.

    Parameters
    ----------
    address : str
        IP address and port, for example ``127.0.0.1:7000``.
    budget : CallBudget, optional
        Rate limits of the calls.
    rng : random.Random, optional
        Source of the random delays between retries.
    """

    def __init__(
        self,
        address: str,
        budget: CallBudget | None = None,
        rng: Random | None = None,
    ):
        self._base = f"http://{address}"
        self._budget = budget or CallBudget()
        self._backoff = Backoff(rng or Random())
        # Separate for reads and writes: writes can be slow while reads are fast.
        self._adaptive_timeouts = {kind: AdaptiveTimeout() for kind in CallKind}
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Open the client session."""
        self._session = ClientSession()

    async def close(self) -> None:
        """Close the client session."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> Entry | None:
        """Return the latest value of a key by a consistent read."""
        data = await self._read_key(key)
        return None if data is None else _decode_entry(data)

    async def list_entries(self, prefix: str | Sequence[str]) -> Changes:
        """Return all entries of one or more prefixes by a consistent read."""
        request = _Request(
            CallKind.READ,
            "list",
            "GET",
            "/range",
            params=[*_encode_prefixes(prefix), ("consistent", "true")],
            timeout_s=_LIST_TIMEOUT_S,
        )
        _, data = await self._send_with_retries(request)
        return _decode_changes(data)

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, write_id: str
    ) -> Committed | Conflict:
        """Write a value if the key still has the expected revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise TooLargeError(
                f"value of {key!r} has {len(value)} bytes; the platform accepts at "
                f"most {MAX_VALUE_BYTES}: shorten it"
            )
        body = {"value": value.decode(), "expected": expected, "write_id": write_id}
        request = _Request(
            CallKind.WRITE,
            f"write {_get_first_segment(key)}",
            # Not PUT, which aiohttp itself sends again when the connection breaks.
            "POST",
            f"/kv/{quote(key)}",
            data=dumps(body),
        )
        for _ in range(_MAX_ATTEMPTS):
            try:
                status, data = await self._send_once(request)
            except PlatformUnavailableError:
                # The write may have taken effect or may still do so.
                current = await self._read_key(key)
                if (current["revision"] if current else 0) == expected:
                    # It is safe to send the same write again: both attempts expect the
                    # same revision, so at most one of them takes effect.
                    continue
                return _resolve_write(current, write_id)
            if status == 409:
                # The current value may come from an earlier attempt of this write.
                return _resolve_write(data.get("current"), write_id)
            return Committed(data["revision"])
        raise PlatformUnavailableError(
            f"write {write_id} to {key!r} has no known outcome yet; read it again later"
        )

    async def watch(
        self, prefix: str | Sequence[str], since: int, timeout_s: float
    ) -> Changes:
        """Wait for changes after a revision, at most for the given seconds."""
        request = _Request(
            CallKind.READ,
            "watch",
            "GET",
            "/watch",
            params=[
                *_encode_prefixes(prefix),
                ("since", str(since)),
                ("timeout_s", str(timeout_s)),
            ],
            wait_s=timeout_s,
        )
        _, data = await self._send_once(request)
        return _decode_changes(data, since)

    async def list_instances(self) -> Sequence[ListedInstance]:
        """Return the live and leaving instances; the list lags behind."""
        request = _Request(CallKind.READ, "list instances", "GET", "/instances")
        _, data = await self._send_with_retries(request)
        return [ListedInstance(**line) for line in data]

    async def acquire_lease(self, name: str, holder: str, ttl_s: float) -> Lease | None:
        """Acquire a lease or extend the holder's own; None if another holder has it."""
        return await self._put_lease(name, holder, ttl_s, renew=False)

    async def renew_lease(self, lease: Lease) -> Lease | None:
        """Extend a lease; None if it has expired, even if no other holder has it."""
        return await self._put_lease(lease.name, lease.holder, lease.ttl_s, renew=True)

    async def release_lease(self, lease: Lease) -> None:
        """Release a lease; has no effect if another holder has it."""
        request = _Request(
            CallKind.WRITE,
            "lease",
            "DELETE",
            f"/leases/{quote(lease.name)}",
            params=[("holder", lease.holder)],
        )
        await self._send_with_retries(request)

    async def _put_lease(
        self, name: str, holder: str, ttl_s: float, *, renew: bool
    ) -> Lease | None:
        request = _Request(
            CallKind.WRITE,
            "lease",
            "PUT",
            f"/leases/{quote(name)}",
            data=dumps({"holder": holder, "ttl_s": ttl_s, "renew": renew}),
        )
        # Counted from before the first attempt, the lease can only expire too early.
        started = asyncio.get_running_loop().time()
        status, _ = await self._send_with_retries(request)
        return None if status == 409 else Lease(name, holder, ttl_s, started + ttl_s)

    async def _read_key(self, key: str) -> dict[str, Any] | None:
        request = _Request(
            CallKind.READ,
            f"get {_get_first_segment(key)}",
            "GET",
            f"/kv/{quote(key)}",
            params=[("consistent", "true")],
        )
        status, data = await self._send_with_retries(request)
        return None if status == 404 else data

    async def _send_with_retries(self, request: _Request) -> tuple[int, Any]:
        for attempt in range(_MAX_ATTEMPTS):
            try:
                return await self._send_once(request)
            except PlatformUnavailableError:
                if attempt + 1 == _MAX_ATTEMPTS:
                    raise
        raise AssertionError("unreachable")

    async def _send_once(self, request: _Request) -> tuple[int, Any]:
        await self._wait_until_allowed(request)
        loop = asyncio.get_running_loop()
        try:
            status, body = await self._send_request(request)
        except (ClientError, TimeoutError, ValueError) as error:
            if isinstance(error, TimeoutError):
                self._adaptive_timeouts[request.kind].record_timeout()
            self._backoff.record_failure(loop.time())
            _CALLS.labels(request.kind, request.cause, "no answer").inc()
            raise PlatformUnavailableError(
                f"platform did not respond to {request.method} {request.path} "
                f"({error!r}); retry later"
            ) from error
        if status not in (200, 404, 409):
            self._backoff.record_failure(loop.time())
            _CALLS.labels(request.kind, request.cause, str(status)).inc()
            raise PlatformUnavailableError(
                f"platform responded to {request.method} {request.path} with status "
                f"{status}; retry later"
            )
        self._backoff.record_success()
        _CALLS.labels(request.kind, request.cause, "ok").inc()
        return status, body

    async def _wait_until_allowed(self, request: _Request) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._backoff.get_delay(loop.time()))
        wait = self._budget.reserve(request.kind, loop.time(), _MAX_BUDGET_WAIT_S)
        if wait is None:
            _CALLS.labels(request.kind, request.cause, "over budget").inc()
            raise PlatformUnavailableError(
                f"call budget for {request.kind}s is exhausted; {request.method} "
                f"{request.path} was not sent: retry later"
            )
        if wait:
            await asyncio.sleep(wait)

    async def _send_request(self, request: _Request) -> tuple[int, Any]:
        assert self._session is not None, "call start first"
        adaptive_timeout = self._adaptive_timeouts[request.kind]
        started = asyncio.get_running_loop().time()
        async with self._session.request(
            request.method,
            self._base + request.path,
            params=list(request.params),
            data=request.data,
            timeout=ClientTimeout(
                total=request.wait_s + request.timeout_s * adaptive_timeout.factor
            ),
        ) as response:
            body = await response.read()
            if not request.wait_s:
                elapsed = asyncio.get_running_loop().time() - started
                adaptive_timeout.record_response(elapsed, request.timeout_s)
            # The bodies of other error responses have an unknown format.
            return response.status, loads(body) if response.status < 410 else None


def _resolve_write(
    current: dict[str, Any] | None, write_id: str
) -> Committed | Conflict:
    if current is not None and current["write_id"] == write_id:
        return Committed(current["revision"])
    return Conflict(None if current is None else _decode_entry(current))


def _encode_prefixes(prefix: str | Sequence[str]) -> list[tuple[str, str]]:
    prefixes = [prefix] if isinstance(prefix, str) else prefix
    return [("prefix", prefix) for prefix in prefixes]


def _get_first_segment(key: str) -> str:
    return key.partition("/")[0]


def _decode_entry(data: dict[str, Any]) -> Entry:
    return Entry(data["key"], data["value"].encode(), data["revision"])


def _decode_changes(data: dict[str, Any], since: int | None = None) -> Changes:
    entries = [_decode_entry(entry) for entry in data["entries"]]
    return Changes(data["revision"], entries, data["snapshot"], since)
