"""Client of the platform's key-value service."""

from __future__ import annotations

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from contextlib import contextmanager
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from attrs import frozen
from orjson import dumps, loads
from prometheus_client import Counter

from basilwick.core.errors import PlatformUnavailableError

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from aiohttp import StreamReader
    from prometheus_client import CollectorRegistry

__all__ = [
    "Change",
    "ChangeBatch",
    "RevisionCompactedError",
    "Item",
    "KeyValueStore",
    "WriteResult",
]

#: Longest time in seconds for the answer to a call, besides a watch's wait.
_CALL_TIMEOUT_S = 1.0
#: Largest answer in bytes: a page of items is about 1 MB, and the changes of some
#: seconds can be several of them.
_MAX_ANSWER_BYTES = 16 << 20
#: Errors that an answer of an unexpected form raises while it is decoded.
_UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)


class RevisionCompactedError(Exception):
    """The changes since a revision are not kept any more; list the items anew."""


class WriteResult(StrEnum):
    """How a conditional write ended."""

    DONE = "done"
    CONFLICT = "conflict"
    #: The lease that the write names has ended.
    NO_LEASE = "no_lease"


@frozen
class Item:
    """A key with its value."""

    key: str
    value: bytes
    revision: int


@frozen
class Change:
    """A written item, or a removed key with value None."""

    key: str
    value: bytes | None
    revision: int


@frozen
class ChangeBatch:
    """Changes, and the revision up to which they are complete."""

    changes: Sequence[Change]
    revision: int


@frozen
class _Answer:
    status: int
    body: dict[str, Any]


class KeyValueStore:
    """The platform's key-value service, reached over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    registry : prometheus_client.CollectorRegistry
        Takes the counter of calls.
    """

    def __init__(self, address: str, registry: CollectorRegistry):
        self._base = f"http://{address}"
        self._session: ClientSession | None = None
        self._calls = Counter(
            "basilwick_store_calls",
            "Calls to the platform's key-value service by cause and result.",
            ("cause", "result"),
            registry=registry,
        )

    async def start(self) -> None:
        """Open the client session."""
        self._session = ClientSession(connector=TCPConnector(limit=8))

    async def close(self) -> None:
        """Close the client session."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str, cause: str) -> Item | None:
        """Return the newest value of a key, None if it does not exist."""
        answer = await self._call(cause, "GET", "/kv-key", params={"key": key})
        if answer.status == 404:
            return None
        body = self._expect(answer, cause, 200)
        with _reporting_unreadable(cause):
            return _decode_item(body)

    async def list_items(
        self, prefix: str, cause: str, stale: bool = False
    ) -> tuple[list[Item], int]:
        """Return all items with a prefix, and the revision of the first page.

        Changes after that revision have to be applied on top, because the pages are
        not read at one moment.
        """
        items: list[Item] = []
        revision = None
        params = {"pathPrefix": prefix}
        if stale:
            params["serializable"] = "1"
        while True:
            answer = await self._call(cause, "GET", "/kv-range", params=params)
            body = self._expect(answer, cause, 200)
            with _reporting_unreadable(cause):
                page = [_decode_item(item) for item in body["items"]]
                items += page
                if revision is None:
                    revision = int(body["currentRev"])
                if not body.get("morePages") or not page:
                    return items, revision
                params["after"] = page[-1].key

    async def watch(
        self, prefix: str, after: int, wait_s: float, cause: str
    ) -> ChangeBatch:
        """Wait for changes after a revision.

        Raises
        ------
        RevisionCompactedError
            If the changes are not kept any more.
        """
        params = {
            "pathPrefix": prefix,
            "after": str(after),
            "waitMs": str(round(wait_s * 1000)),
        }
        answer = await self._call(
            cause, "GET", "/kv-watch", params=params, wait_s=wait_s
        )
        if answer.status == 410:
            raise RevisionCompactedError(f"changes after revision {after} are gone")
        body = self._expect(answer, cause, 200)
        with _reporting_unreadable(cause):
            changes = [_decode_change(event) for event in body["events"]]
            return ChangeBatch(changes, int(body["currentRev"]))

    async def write(
        self, key: str, value: bytes, revision: int, cause: str, lease: int = 0
    ) -> tuple[WriteResult, int]:
        """Write a key if it has a revision, 0 for a new key; returns the new one."""
        write = {"key": key, "value": b64encode(value).decode()}
        if lease:
            write["lease"] = lease
        answer = await self._commit(key, revision, cause, [write], [])
        if answer.status == 200:
            with _reporting_unreadable(cause):
                return WriteResult.DONE, int(answer.body["revision"])
        if answer.status == 404:
            return WriteResult.NO_LEASE, 0
        self._expect(answer, cause, 412)
        return WriteResult.CONFLICT, 0

    async def remove(self, key: str, revision: int, cause: str) -> bool:
        """Remove a key if it has a revision; returns whether it had it."""
        answer = await self._commit(key, revision, cause, [], [key])
        if answer.status == 412:
            return False
        self._expect(answer, cause, 200)
        return True

    async def create_lease(self, seconds: float, cause: str) -> int:
        """Return the number of a new lease."""
        body = dumps({"ttlMs": round(seconds * 1000)})
        answer = await self._call(cause, "POST", "/kv-lease", data=body)
        answered = self._expect(answer, cause, 200)
        with _reporting_unreadable(cause):
            return int(answered["lease"])

    async def renew_lease(self, lease: int, cause: str) -> bool:
        """Renew a lease; returns whether it was still in force."""
        answer = await self._call(cause, "POST", f"/kv-keep/{lease}")
        if answer.status == 404:
            return False
        self._expect(answer, cause, 200)
        return True

    async def end_lease(self, lease: int, cause: str) -> None:
        """End a lease, with the keys that were written under it."""
        answer = await self._call(cause, "DELETE", f"/kv-lease-end/{lease}")
        if answer.status != 404:
            self._expect(answer, cause, 200)

    async def _commit(
        self, key: str, revision: int, cause: str, writes: list, removed: list
    ) -> _Answer:
        body = {
            "precondition": [{"key": key, "revision": revision}],
            "writes": writes,
            "remove": removed,
        }
        return await self._call(cause, "POST", "/kv-txn", data=dumps(body))

    async def _call(
        self,
        cause: str,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        data: bytes | None = None,
        wait_s: float = 0.0,
    ) -> _Answer:
        timeout = ClientTimeout(total=wait_s + _CALL_TIMEOUT_S)
        headers = {"Content-Type": "application/json"} if data is not None else None
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=params,
                data=data,
                headers=headers,
                timeout=timeout,
            ) as response:
                raw = await _read_bounded(response.content)
                body = loads(raw) if raw and response.status in (200, 412) else {}
                if not isinstance(body, dict):
                    raise ValueError(f"the answer is no object: {raw[:100]!r}")
                status = response.status
        except (TimeoutError, ClientError, OSError, ValueError) as error:
            self._calls.labels(cause, "failed").inc()
            raise PlatformUnavailableError(
                f"{cause}: {error!r}; it is repeated until the service answers"
            ) from error
        self._calls.labels(cause, str(status)).inc()
        return _Answer(status, body)

    def _expect(self, answer: _Answer, cause: str, status: int) -> dict[str, Any]:
        if answer.status != status:
            raise PlatformUnavailableError(
                f"{cause}: status {answer.status}; it is repeated later"
            )
        return answer.body


@contextmanager
def _reporting_unreadable(cause: str) -> Iterator[None]:
    """Turn an answer of an unexpected form into a call without an answer."""
    try:
        yield
    except _UNREADABLE as error:
        raise PlatformUnavailableError(
            f"{cause}: unreadable answer ({error!r}); it is repeated later"
        ) from error


async def _read_bounded(content: StreamReader) -> bytes:
    parts = []
    size = 0
    async for chunk in content.iter_any():
        parts.append(chunk)
        size += len(chunk)
        if size > _MAX_ANSWER_BYTES:
            raise ValueError(f"the answer has more than {_MAX_ANSWER_BYTES} bytes")
    return b"".join(parts)


def _decode_item(data: dict[str, Any]) -> Item:
    change = _decode_change(data)
    return Item(change.key, change.value or b"", change.revision)


def _decode_change(data: dict[str, Any]) -> Change:
    value = None
    if not data.get("tombstone"):
        try:
            value = b64decode(data.get("value") or "", validate=True)
        except (Base64Error, TypeError, ValueError):
            # Whoever decodes the value reports that it is unreadable.
            value = b"not base64"
    return Change(str(data["key"]), value, int(data["revision"]))
