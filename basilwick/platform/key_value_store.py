"""Client of the platform's key-value service."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from contextlib import contextmanager
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from attrs import frozen
from loguru import logger
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
    "Item",
    "KeyValueStore",
    "RevisionCompactedError",
    "StoreRestoredError",
    "WriteResult",
    "get_era",
]

#: Timeout in seconds of a write. Its response is short.
_WRITE_TIMEOUT_S = 1.0
#: Time in seconds without any byte after which a read is abandoned, in addition to the
#: time for which a watch waits. A long response takes its time on a slow link, and a
#: read that began anew would take as long again.
_READ_IDLE_TIMEOUT_S = 1.0
#: Longest duration in seconds of a read.
_MAX_READ_S = 15.0
#: Largest accepted response in bytes. A page of items has about 1 MB, and the changes
#: of several seconds can be a few times as large.
_MAX_RESPONSE_BYTES = 16 << 20
#: Errors that are raised while a response of an unexpected form is decoded.
_DECODING_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


_WRITE_TIMEOUT = ClientTimeout(total=_WRITE_TIMEOUT_S)


#: Header field with the number of times that the service was restored from a copy.
_ERA_FIELD = "Store-Era"
#: Bits of a revision below the era. The service's own revisions are far smaller.
_REVISION_BITS = 40
_MAX_ERA = 1 << 22
#: Era of a service that was never restored; a service without eras has era 0.
_FIRST_ERA = 1


class RevisionCompactedError(Exception):
    """The changes since a revision are no longer kept; list the items again."""


class StoreRestoredError(RevisionCompactedError):
    """The service was restored from a copy after a revision; list the items again."""


def get_era(revision: int) -> int:
    """Return the era of a revision that the client returned."""
    return revision >> _REVISION_BITS


class WriteResult(StrEnum):
    """Result of a conditional write."""

    DONE = "done"
    CONFLICT = "conflict"
    #: The lease that the write names has ended.
    NO_LEASE = "no_lease"


@frozen
class Item:
    """A key with its value and the revision of its last write."""

    key: str
    value: bytes
    revision: int


@frozen
class Change:
    """Write of a key, or its removal if the value is None."""

    key: str
    value: bytes | None
    revision: int


@frozen
class ChangeBatch:
    """Changes, complete up to a revision."""

    changes: Sequence[Change]
    revision: int


@frozen
class _Response:
    status: int
    body: dict[str, Any]
    era: int

    def make_revision(self, value: Any) -> int:
        """Return a revision of the service in the form that the client returns."""
        revision = int(value)
        if not 0 <= revision < 1 << _REVISION_BITS:
            raise ValueError(f"revision {value!r} is not below 2**{_REVISION_BITS}")
        return self.era << _REVISION_BITS | revision


class KeyValueStore:
    """HTTP client of the platform's key-value service.

    The service may be restored from a copy, after which it gives out revisions again.
    It states in its era how often that happened. The revisions that this client
    returns have the era in their upper bits, so that a revision of a later era is
    always larger. A revision of an earlier era than the present one matches no item.

    Failed calls are not retried here. Each method takes the cause of the call, which is
    a label of the counter of calls, and raises PlatformUnavailableError if it gets no
    usable response.

    Parameters
    ----------
    address : str
        IP address and port.
    registry : prometheus_client.CollectorRegistry
        Registry of the counter of calls.
    """

    def __init__(self, address: str, registry: CollectorRegistry):
        self._base = f"http://{address}"
        self._session: ClientSession | None = None
        #: Era of the latest response; None before the first one.
        self.era: int | None = None
        #: Whether the service may ever have been restored from a copy. The era tells
        #: that also of returns before the first response.
        self.may_be_restored = False
        self._calls = Counter(
            "basilwick_store_calls",
            "Calls to the platform's key-value service by cause and result.",
            ("cause", "result"),
            registry=registry,
        )
        self._received_bytes = Counter(
            "basilwick_store_received_bytes",
            "Bytes of responses of the platform's key-value service by cause.",
            ("cause",),
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
        """Return the latest value of a key, None if the key does not exist."""
        response = await self._send_request(
            cause, "GET", "/kv-key", params={"key": key}
        )
        if response.status == 404:
            return None
        body = self._require_status(response, cause, 200)
        with _reraise_decoding_errors(cause):
            return _decode_item(body, response)

    async def list_items(
        self, prefix: str, cause: str, stale: bool = False
    ) -> tuple[list[Item], int]:
        """Return all items with a prefix, and the revision of the first page.

        The pages are not read from one consistent snapshot, so the changes after that
        revision must be applied to the items. With ``stale``, recent writes may be
        missing.
        """
        items: list[Item] = []
        revision = None
        era = None
        params = {"pathPrefix": prefix}
        if stale:
            params["serializable"] = "1"
        while True:
            response = await self._send_request(
                cause, "GET", "/kv-range", params=params
            )
            body = self._require_status(response, cause, 200)
            if era is not None and response.era != era:
                raise PlatformUnavailableError(
                    f"{cause}: the service was restored between two pages; the call "
                    "is retried"
                )
            era = response.era
            with _reraise_decoding_errors(cause):
                page = [_decode_item(item, response) for item in body["items"]]
                items += page
                if revision is None:
                    revision = response.make_revision(body["currentRev"])
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
            If the service no longer keeps these changes.
        StoreRestoredError
            If the service was restored from a copy after the revision.
        """
        params = {
            "pathPrefix": prefix,
            "after": str(_get_own_revision(after)),
            "waitMs": str(round(wait_s * 1000)),
        }
        response = await self._send_request(
            cause, "GET", "/kv-watch", params=params, wait_s=wait_s
        )
        if response.status in (200, 410) and response.era != get_era(after):
            raise StoreRestoredError(
                f"restored from a copy; era {response.era} follows {get_era(after)}"
            )
        if response.status == 410:
            raise RevisionCompactedError(
                f"revision {_get_own_revision(after)} has been compacted"
            )
        body = self._require_status(response, cause, 200)
        with _reraise_decoding_errors(cause):
            changes = [_decode_change(event, response) for event in body["events"]]
            return ChangeBatch(changes, response.make_revision(body["currentRev"]))

    async def write(
        self, key: str, value: bytes, revision: int, cause: str, lease: int = 0
    ) -> tuple[WriteResult, int]:
        """Write a key if it still has a revision, 0 for a key that must not exist.

        Returns
        -------
        WriteResult and int
            The result, and the new revision if the write was done.
        """
        write = {"key": key, "value": b64encode(value).decode()}
        if lease:
            write["lease"] = lease
        if self._is_superseded(revision):
            return WriteResult.CONFLICT, 0
        response = await self._commit_transaction(key, revision, cause, [write], [])
        if response.status == 200:
            with _reraise_decoding_errors(cause):
                written = response.make_revision(response.body["revision"])
                return WriteResult.DONE, written
        if response.status == 404:
            return WriteResult.NO_LEASE, 0
        self._require_status(response, cause, 412)
        return WriteResult.CONFLICT, 0

    async def remove(self, key: str, revision: int, cause: str) -> bool:
        """Remove a key if it still has a revision; returns whether it was removed."""
        if self._is_superseded(revision):
            return False
        response = await self._commit_transaction(key, revision, cause, [], [key])
        if response.status == 412:
            return False
        self._require_status(response, cause, 200)
        return True

    async def create_lease(self, seconds: float, cause: str) -> int:
        """Create a lease with a time to live; returns its number."""
        body = dumps({"ttlMs": round(seconds * 1000)})
        response = await self._send_request(cause, "POST", "/kv-lease", data=body)
        lease_data = self._require_status(response, cause, 200)
        with _reraise_decoding_errors(cause):
            return int(lease_data["lease"])

    async def renew_lease(self, lease: int, cause: str) -> bool:
        """Renew a lease; returns False if it has expired."""
        response = await self._send_request(cause, "POST", f"/kv-keep/{lease}")
        if response.status == 404:
            return False
        self._require_status(response, cause, 200)
        return True

    async def end_lease(self, lease: int, cause: str) -> None:
        """End a lease and remove the keys attached to it."""
        response = await self._send_request(cause, "DELETE", f"/kv-lease-end/{lease}")
        if response.status != 404:
            self._require_status(response, cause, 200)

    def _is_superseded(self, revision: int) -> bool:
        """Return whether a revision is of an earlier era, so that no item has it."""
        return revision > 0 and get_era(revision) != (self.era or 0)

    async def _commit_transaction(
        self, key: str, revision: int, cause: str, writes: list, removed: list
    ) -> _Response:
        condition = {"key": key, "revision": _get_own_revision(revision)}
        body = {"precondition": [condition], "writes": writes, "remove": removed}
        response = await self._send_request(cause, "POST", "/kv-txn", data=dumps(body))
        if revision > 0 and response.era != get_era(revision):
            # Another writer's revision of the new era may be the same number.
            raise PlatformUnavailableError(
                f"{cause}: the service was restored from a copy; the result is unknown"
            )
        return response

    async def _send_request(
        self,
        cause: str,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        data: bytes | None = None,
        wait_s: float = 0.0,
    ) -> _Response:
        timeout = _WRITE_TIMEOUT if method != "GET" else _make_read_timeout(wait_s)
        headers = {"Content-Type": "application/json"} if data is not None else None
        started_at = asyncio.get_running_loop().time()
        raw = bytearray()
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=params,
                data=data,
                headers=headers,
                timeout=timeout,
            ) as response:
                await _read_body(response.content, raw)
                body = loads(raw) if raw and response.status in (200, 412) else {}
                if not isinstance(body, dict):
                    raise ValueError(
                        f"response is not a JSON object: {bytes(raw[:100])!r}"
                    )
                status = response.status
                era = self._record_era(response.headers.get(_ERA_FIELD))
        except (TimeoutError, ClientError, OSError, ValueError) as error:
            self._calls.labels(cause, "failed").inc()
            elapsed_s = asyncio.get_running_loop().time() - started_at
            logger.bind(
                cause=cause,
                reason=repr(error),
                elapsed_ms=round(elapsed_s * 1000),
                received_bytes=len(raw),
            ).info("call of the platform's service failed")
            raise PlatformUnavailableError(
                f"{cause}: {error!r}; the call is retried until the service responds"
            ) from error
        finally:
            self._received_bytes.labels(cause).inc(len(raw))
        self._calls.labels(cause, str(status)).inc()
        return _Response(status, body, era)

    def _record_era(self, field: str | None) -> int:
        """Record the era that a response states; a service without eras has era 0.

        Raises
        ------
        ValueError
            If it is no era, or lower than that of an earlier response.
        """
        era = (self.era or 0) if field is None else int(field)
        if not (self.era or 0) <= era < _MAX_ERA:
            raise ValueError(
                f"{_ERA_FIELD} is {field!r}; it must be at least {self.era or 0}, the "
                f"era of an earlier response, and below {_MAX_ERA}"
            )
        if era > (_FIRST_ERA if self.era is None else self.era):
            self.may_be_restored = True
        if self.era is not None and era > self.era:
            logger.bind(era=era, former=self.era).warning(
                "the platform's service was restored from a copy"
            )
        self.era = era
        return era

    def _require_status(
        self, response: _Response, cause: str, status: int
    ) -> dict[str, Any]:
        if response.status != status:
            raise PlatformUnavailableError(
                f"{cause}: status {response.status}; the call is retried later"
            )
        return response.body


def _make_read_timeout(wait_s: float) -> ClientTimeout:
    """Return the timeout of a read whose response may start after a wait."""
    idle_s = wait_s + _READ_IDLE_TIMEOUT_S
    return ClientTimeout(
        total=wait_s + _MAX_READ_S, sock_connect=_READ_IDLE_TIMEOUT_S, sock_read=idle_s
    )


@contextmanager
def _reraise_decoding_errors(cause: str) -> Iterator[None]:
    """Report a response of an unexpected form as an unavailable service."""
    try:
        yield
    except _DECODING_ERRORS as error:
        raise PlatformUnavailableError(
            f"{cause}: unreadable response ({error!r}); the call is retried later"
        ) from error


async def _read_body(content: StreamReader, body: bytearray) -> None:
    """Append a response's body to a buffer, which keeps what arrived on an error."""
    async for chunk in content.iter_any():
        body += chunk
        if len(body) > _MAX_RESPONSE_BYTES:
            raise ValueError(f"response is longer than {_MAX_RESPONSE_BYTES} bytes")


def _get_own_revision(revision: int) -> int:
    """Return the number of a revision in the service."""
    return revision & (1 << _REVISION_BITS) - 1


def _decode_item(data: dict[str, Any], response: _Response) -> Item:
    change = _decode_change(data, response)
    return Item(change.key, change.value or b"", change.revision)


def _decode_change(data: dict[str, Any], response: _Response) -> Change:
    value = None
    if not data.get("tombstone"):
        try:
            value = b64decode(data.get("value") or "", validate=True)
        except (Base64Error, TypeError, ValueError):
            # The code that decodes the value reports that it is unreadable.
            value = b"not base64"
    return Change(str(data["key"]), value, response.make_revision(data["revision"]))
