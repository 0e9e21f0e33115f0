"""Stand-in for callers: a load of lookups, at-most-once operations and uploads."""

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

__all__ = ["Callers", "Operation", "Result"]

_UPLOAD_BYTES = 40_000


class Operation(StrEnum):
    """What a caller asks for; the values are those of ``Basilwick-Operation``."""

    LOOKUP = "idempotent"
    ONCE = "at-most-once"
    UPLOAD = "upload"


@frozen
class Result:
    """What became of one request.

    Attributes
    ----------
    operation : Operation
        What was asked for.
    service, key : str
        Where.
    intended_at, ended_at : float
        Time at which the request was due and at which its end was known, monotonic.
    kind : str
        ``ok``, an error kind, ``no_answer`` when the instance gave none,
        ``status_<n>`` for answers without an error kind, or ``wrong_answer``.
    outcome : str
        ``run``, ``not_run`` or ``unknown``.
    server : str
        Backend server that answered, empty when none did.
    token : str
        Token of an at-most-once operation.
    """

    operation: Operation
    service: str
    key: str
    intended_at: float
    ended_at: float
    kind: str
    outcome: str
    server: str = ""
    token: str = ""


@frozen
class _Answer:
    kind: str
    outcome: str
    data: Mapping[str, Any] = {}


@define(eq=False)
class Callers:
    """Sends requests at intended times, whether or not earlier ones were answered.

    A time is measured from the intended time, so a router that makes callers wait
    does not hide the wait of requests that should have been sent meanwhile.

    Parameters
    ----------
    addresses : list of str
        Caller addresses of instances; may change while load runs.
    services : mapping of str to sequence of str
        Keys of each service.
    shares : mapping of Operation to float
        Share of each operation in the load.
    repeat_share : float
        Share of answered at-most-once operations repeated with the same token through
        another instance. Those with an unknown outcome are always repeated.
    deadline_ms : int
        Deadline that callers give.
    tokens : bool
        Whether at-most-once operations get a token first.
    """

    addresses: list[str]
    services: Mapping[str, Sequence[str]]
    shares: Mapping[Operation, float] = field(
        factory=lambda: {
            Operation.LOOKUP: 0.8,
            Operation.ONCE: 0.15,
            Operation.UPLOAD: 0.05,
        }
    )
    repeat_share: float = 0.3
    deadline_ms: int = 2000
    tokens: bool = True
    seed: int = 1
    results: list[Result] = field(factory=list)
    _rng: Random = field(init=False)
    _session: ClientSession | None = None
    _tasks: set[asyncio.Task[None]] = field(factory=set)
    _serial: int = 0

    def __attrs_post_init__(self) -> None:
        self._rng = Random(self.seed)

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = ClientSession(connector=TCPConnector(limit=0))

    async def close(self) -> None:
        """Wait for requests under way, then close all connections."""
        await asyncio.gather(*list(self._tasks))
        if self._session is not None:
            await self._session.close()

    async def run(self, rate: float, duration_s: float) -> None:
        """Send requests with Poisson arrivals at a rate for some seconds."""
        due = monotonic()
        end = due + duration_s
        while (due := due + self._rng.expovariate(rate)) < end:
            if (wait_s := due - monotonic()) > 0:
                await asyncio.sleep(wait_s)
            self._send(self._choose_operation(), *self._choose_key(), due)

    async def probe(
        self, targets: Sequence[tuple[str, str]], interval_s: float, duration_s: float
    ) -> None:
        """Look up each of some keys at a fixed interval for some seconds."""
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
        self._serial += 1
        path = f"/v1/{service}/{key}/request-{self._serial}"
        token = ""
        if operation is Operation.ONCE and self.tokens:
            issued = await self._issue(service, key)
            if issued.kind != "ok":
                self._note(operation, service, key, due, issued)
                return
            token = issued.data["token"]
        body = _make_body(operation, self._serial)
        address = self._choose_address()
        answer = await self._exchange(address, operation, path, body, token)
        self._note(operation, service, key, due, answer, token)
        if token and (
            answer.outcome == "unknown"
            or (answer.kind == "ok" and self._rng.random() < self.repeat_share)
        ):
            due = monotonic()
            other = self._choose_address(without=address)
            repeated = await self._exchange(other, operation, path, body, token)
            self._note(operation, service, key, due, repeated, token)

    async def _issue(self, service: str, key: str) -> _Answer:
        url = f"http://{self._choose_address()}/tokens/{service}/{key}"
        return await self._fetch("POST", url, b"", {})

    async def _exchange(
        self, address: str, operation: Operation, path: str, body: bytes, token: str
    ) -> _Answer:
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
        answer = await self._fetch(method, f"http://{address}{path}", body, headers)
        if answer.kind != "ok":
            return answer
        data = answer.data
        whole = data.get("body_sha256") == sha256(body).hexdigest()
        if data.get("path") != path or not whole:
            return _Answer("wrong_answer", "run", data)
        return answer

    async def _fetch(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> _Answer:
        assert self._session is not None, "call start first"
        timeout = ClientTimeout(total=self.deadline_ms / 1000 + 1)
        try:
            async with self._session.request(
                method, url, data=body or None, headers=headers, timeout=timeout
            ) as response:
                data = await response.read()
                kind = response.headers.get("Basilwick-Error")
                if kind is not None:
                    return _Answer(kind, response.headers["Basilwick-Outcome"])
                if response.status >= 400:
                    return _Answer(f"status_{response.status}", "unknown")
                return _Answer("ok", "run", loads(data))
        except (ClientError, TimeoutError, JSONDecodeError):
            return _Answer("no_answer", "unknown")

    def _choose_address(self, without: str = "") -> str:
        others = [address for address in self.addresses if address != without]
        return self._rng.choice(others or self.addresses)

    def _note(
        self,
        operation: Operation,
        service: str,
        key: str,
        due: float,
        answer: _Answer,
        token: str = "",
    ) -> None:
        self.results.append(
            Result(
                operation, service, key, due, monotonic(), answer.kind, answer.outcome,
                answer.data.get("server", ""), token,
            )
        )  # fmt: skip


def _make_body(operation: Operation, serial: int) -> bytes:
    if operation is Operation.LOOKUP:
        return b""
    text = f"request {serial} ".encode()
    return text if operation is Operation.ONCE else text * (_UPLOAD_BYTES // len(text))
