"""Client of the platform's key-value service over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from aiohttp import ClientError, ClientSession, ClientTimeout
from orjson import dumps, loads

from basilwick.core.errors import PlatformUnavailableError
from basilwick.platform.service import (
    Changes,
    Committed,
    Conflict,
    Entry,
    ListedInstance,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["HttpPlatform"]

_CALL_TIMEOUT_S = 1.0


class HttpPlatform:
    """The platform's key-value service, reached over HTTP.

    Parameters
    ----------
    address : str
        IP number and port, for instance ``127.0.0.1:7000``.
    """

    def __init__(self, address: str):
        self._base = f"http://{address}"
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Open the client session."""
        self._session = ClientSession(timeout=ClientTimeout(total=_CALL_TIMEOUT_S))

    async def close(self) -> None:
        """Close the client session."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> Entry | None:
        """Return the newest value of a key by a consistent read."""
        status, data = await self._call("GET", f"/kv/{quote(key)}")
        return None if status == 404 else _read_entry(data)

    async def list_entries(self, prefix: str) -> Changes:
        """Return all entries of a prefix by a consistent read."""
        _, data = await self._call("GET", "/range", params={"prefix": prefix})
        return _read_changes(data)

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, write_id: str
    ) -> Committed | Conflict:
        """Write a value if the key still has the expected revision."""
        body = dumps(
            {"value": value.decode(), "expected": expected, "write_id": write_id}
        )
        try:
            status, data = await self._call("PUT", f"/kv/{quote(key)}", data=body)
        except PlatformUnavailableError:
            return await self._resolve_lost_answer(key, expected, write_id)
        if status == 409:
            current = data.get("current")
            return Conflict(_read_entry(current) if current else None)
        return Committed(data["revision"])

    async def _resolve_lost_answer(
        self, key: str, expected: int, write_id: str
    ) -> Committed | Conflict:
        status, data = await self._call("GET", f"/kv/{quote(key)}")
        if status == 200 and data["write_id"] == write_id:
            return Committed(data["revision"])
        current = None if status == 404 else _read_entry(data)
        if (current.revision if current else 0) != expected:
            return Conflict(current)
        raise PlatformUnavailableError(
            f"write {write_id} to {key!r} has no known outcome yet; read it again later"
        )

    async def watch(self, prefix: str, since: int, timeout_s: float) -> Changes:
        """Wait for changes after a revision, at most for the given seconds."""
        params = {"prefix": prefix, "since": str(since), "timeout_s": str(timeout_s)}
        _, data = await self._call(
            "GET", "/watch", params=params, timeout_s=timeout_s + _CALL_TIMEOUT_S
        )
        return _read_changes(data, since)

    async def list_instances(self) -> Sequence[ListedInstance]:
        """Return the lagging list of live and leaving instances."""
        _, data = await self._call("GET", "/instances")
        return [ListedInstance(**line) for line in data]

    async def _call(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        data: bytes | None = None,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        assert self._session is not None, "call start first"
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=params,
                data=data,
                timeout=ClientTimeout(total=timeout_s),
            ) as response:
                body = await response.read()
                if response.status not in (200, 404, 409):
                    raise PlatformUnavailableError(
                        f"platform answered {response.status} to {method} {path}; "
                        f"retry later"
                    )
                return response.status, loads(body)
        except (ClientError, TimeoutError, ValueError) as error:
            raise PlatformUnavailableError(
                f"platform gave no answer to {method} {path} ({error!r}); retry later"
            ) from error


def _read_entry(data: dict[str, Any]) -> Entry:
    return Entry(data["key"], data["value"].encode(), data["revision"])


def _read_changes(data: dict[str, Any], since: int | None = None) -> Changes:
    entries = [_read_entry(entry) for entry in data["entries"]]
    return Changes(data["revision"], entries, data["snapshot"], since)
