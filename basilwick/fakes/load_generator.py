"""Load generator that sends lookups, at-most-once operations and uploads."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from enum import StrEnum
from hashlib import sha256
from random import Random
from time import monotonic
from typing import TYPE_CHECKING, Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from attrs import define, field, frozen
from orjson import JSONDecodeError, loads

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ["LoadGenerator", "Operation", "Result"]

_UPLOAD_BYTES = 40_000


class Operation(StrEnum):
    """Kind of operation; the values are those of the ``Basilwick-Operation`` header."""

    LOOKUP = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    UPLOAD = "upload"


@frozen
class Result:
    """Result of one request.

    Attributes
    ----------
    operation : Operation
        Kind of the operation.
    service, key : str
        Service and key of the request.
    scheduled_at, ended_at : float
        Monotonic times at which the request was scheduled and at which it ended.
    kind : str
        ``ok``, an error kind, ``no_answer`` if the instance did not respond,
        ``status_<n>`` for error statuses without an error kind, or ``wrong_answer``
        for a response to another path or body.
    outcome : str
        ``run``, ``not_run`` or ``unknown``.
    server : str
        Backend server that responded, empty if none did.
    token : str
        Token of an at-most-once operation.
    """

    operation: Operation
    service: str
    key: str
    scheduled_at: float
    ended_at: float
    kind: str
    outcome: str
    server: str = ""
    token: str = ""


@frozen
class _Response:
    kind: str
    outcome: str
    data: Mapping[str, Any] = {}


@define(eq=False)
class LoadGenerator:
    """Open-loop load generator: sends requests on schedule, whatever is pending.

    Latency is measured from the scheduled time. So the delay of a slow router also
    counts for the requests that should have been sent meanwhile (no coordinated
    omission).

    Parameters
    ----------
    addresses : list of str
        Caller addresses of the instances; can be changed during the load.
    services : mapping of str to sequence of str
        Keys of each service.
    shares : mapping of Operation to float
        Relative frequency of each operation in the load.
    retry_fraction : float
        Fraction of successful at-most-once operations that are retried with the same
        token through another instance. Those with an unknown outcome are always
        retried.
    deadline_ms : int
        Deadline of each request in milliseconds.
    tokens : bool
        Whether a token is requested before each at-most-once operation.
    """

    addresses: list[str]
    services: Mapping[str, Sequence[str]]
    shares: Mapping[Operation, float] = field(
        factory=lambda: {
            Operation.LOOKUP: 0.8,
            Operation.AT_MOST_ONCE: 0.15,
            Operation.UPLOAD: 0.05,
        }
    )
    retry_fraction: float = 0.3
    deadline_ms: int = 2000
    tokens: bool = True
    seed: int = 1
    results: list[Result] = field(factory=list)
    _rng: Random = field(init=False)
    _session: ClientSession | None = None
    _tasks: set[asyncio.Task[None]] = field(factory=set)
    _request_count: int = 0

    def __attrs_post_init__(self) -> None:
        self._rng = Random(self.seed)

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = ClientSession(connector=TCPConnector(limit=0))

    async def close(self) -> None:
        """Wait for pending requests, then close all connections."""
        await asyncio.gather(*list(self._tasks))
        if self._session is not None:
            await self._session.close()

    async def run(self, rate: float, duration_s: float) -> None:
        """Send requests with Poisson arrivals at a rate per second for a duration."""
        due = monotonic()
        end = due + duration_s
        while (due := due + self._rng.expovariate(rate)) < end:
            if (wait_s := due - monotonic()) > 0:
                await asyncio.sleep(wait_s)
            self._send(self._choose_operation(), *self._choose_key(), due)

    async def probe(
        self, targets: Sequence[tuple[str, str]], interval_s: float, duration_s: float
    ) -> None:
        """Look up each target once per interval for a duration."""
        due = monotonic()
        end = due + duration_s
        while due < end:
            for number, (service, key) in enumerate(targets):
                at = due + interval_s * number / len(targets)
                if (wait_s := at - monotonic()) > 0:
                    await asyncio.sleep(wait_s)
                self._send(Operation.LOOKUP, service, key, at)
            due += interval_s

    def _choose_operation(self) -> Operation:
        return self._rng.choices(list(self.shares), weights=list(self.shares.values()))[
            0
        ]

    def _choose_key(self) -> tuple[str, str]:
        service = self._rng.choice(list(self.services))
        return service, self._rng.choice(self.services[service])

    def _send(self, operation: Operation, service: str, key: str, due: float) -> None:
        task = asyncio.ensure_future(self._call(operation, service, key, due))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self, operation: Operation, service: str, key: str, due: float
    ) -> None:
        self._request_count += 1
        path = f"/v1/{service}/{key}/request-{self._request_count}"
        token = ""
        if operation is Operation.AT_MOST_ONCE and self.tokens:
            issued = await self._issue_token(service, key)
            if issued.kind != "ok":
                self._record(operation, service, key, due, issued)
                return
            token = issued.data["token"]
        body = _make_body(operation, self._request_count)
        address = self._choose_address()
        response = await self._send_operation(address, operation, path, body, token)
        self._record(operation, service, key, due, response, token)
        if token and (
            response.outcome == "unknown"
            or (response.kind == "ok" and self._rng.random() < self.retry_fraction)
        ):
            due = monotonic()
            other = self._choose_address(excluded=address)
            retried = await self._send_operation(other, operation, path, body, token)
            self._record(operation, service, key, due, retried, token)

    async def _issue_token(self, service: str, key: str) -> _Response:
        url = f"http://{self._choose_address()}/tokens/{service}/{key}"
        return await self._fetch("POST", url, b"", {})

    async def _send_operation(
        self, address: str, operation: Operation, path: str, body: bytes, token: str
    ) -> _Response:
        headers = {
            "Basilwick-Operation": operation,
            "Basilwick-Deadline-Ms": str(self.deadline_ms),
        }
        if token:
            headers["Basilwick-Token"] = token
        if operation is Operation.UPLOAD:
            digest = b64encode(sha256(body).digest()).decode()
            headers["Content-Digest"] = f"sha-256=:{digest}:"
        method = {"idempotent": "GET", "at-most-once": "POST"}.get(operation, "PUT")
        response = await self._fetch(method, f"http://{address}{path}", body, headers)
        if response.kind != "ok":
            return response
        data = response.data
        body_intact = data.get("body_sha256") == sha256(body).hexdigest()
        if data.get("path") != path or not body_intact:
            return _Response("wrong_answer", "run", data)
        return response

    async def _fetch(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> _Response:
        assert self._session is not None, "call start first"
        timeout = ClientTimeout(total=self.deadline_ms / 1000 + 1)
        try:
            async with self._session.request(
                method, url, data=body or None, headers=headers, timeout=timeout
            ) as response:
                data = await response.read()
                kind = response.headers.get("Basilwick-Error")
                if kind is not None:
                    return _Response(kind, response.headers["Basilwick-Outcome"])
                if response.status >= 400:
                    return _Response(f"status_{response.status}", "unknown")
                return _Response("ok", "run", loads(data))
        except (ClientError, TimeoutError, JSONDecodeError):
            return _Response("no_answer", "unknown")

    def _choose_address(self, excluded: str = "") -> str:
        candidates = [address for address in self.addresses if address != excluded]
        return self._rng.choice(candidates or self.addresses)

    def _record(
        self,
        operation: Operation,
        service: str,
        key: str,
        due: float,
        response: _Response,
        token: str = "",
    ) -> None:
        self.results.append(
            Result(
                operation, service, key, due, monotonic(),
                response.kind, response.outcome, response.data.get("server", ""), token,
            )
        )  # fmt: skip


def _make_body(operation: Operation, number: int) -> bytes:
    if operation is Operation.LOOKUP:
        return b""
    text = f"request {number} ".encode()
    return (
        text
        if operation is Operation.AT_MOST_ONCE
        else text * (_UPLOAD_BYTES // len(text))
    )
