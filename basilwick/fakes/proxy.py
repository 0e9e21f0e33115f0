"""TCP proxy that brings about network faults."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import StrEnum
from typing import Any

from aiohttp import web
from attrs import define, field
from orjson import dumps, loads

__all__ = ["FaultProxy", "LinkFault"]


class LinkFault(StrEnum):
    """What the proxy does with traffic."""

    NONE = "none"
    #: Refuses new connections and closes open ones.
    CUT = "cut"
    #: Open connections carry nothing more, for good; new ones work.
    SILENT = "silent"
    #: Nothing passes towards the target until the fault ends.
    HOLD_REQUESTS = "hold_requests"
    #: Nothing passes towards the caller until the fault ends.
    HOLD_ANSWERS = "hold_answers"
    #: Nothing passes in either direction until the fault ends.
    HOLD_ALL = "hold_all"
    #: Requests pass; the connection is closed instead of passing the answer.
    LOSE_ANSWERS = "lose_answers"


_HOLDS_REQUESTS = {LinkFault.HOLD_REQUESTS, LinkFault.HOLD_ALL}
_HOLDS_ANSWERS = {LinkFault.HOLD_ANSWERS, LinkFault.HOLD_ALL}


@define(eq=False)
class FaultProxy:
    """Forwards TCP connections to a target, with faults set while it runs.

    Parameters
    ----------
    target : str
        IP number and port to forward to.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 takes a free one.
    delay_s : float
        One-way delay in seconds.
    control_port : int, optional
        Port on which ``PUT /faults`` sets ``fault`` and ``delay_s``; none when not
        given.
    """

    target: str
    host: str = "127.0.0.1"
    port: int = 0
    delay_s: float = 0.0
    control_port: int | None = None
    fault: LinkFault = LinkFault.NONE
    _server: asyncio.Server | None = None
    _runner: web.AppRunner | None = None
    _links: set[_Link] = field(factory=set)

    @property
    def address(self) -> str:
        """IP number and port that the proxy listens on."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _CallerSide(self), self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        if self.control_port is None:
            return
        app = web.Application()
        app.router.add_put("/faults", self._control)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.host, self.control_port).start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.abort()
        if self._runner is not None:
            await self._runner.cleanup()

    def set_fault(self, fault: LinkFault) -> None:
        """Bring about a fault, or end it."""
        self.fault = fault
        for link in list(self._links):
            if fault is LinkFault.CUT:
                link.abort()
            elif fault is LinkFault.SILENT:
                link.silent = True
            link.requests.deliver()
            link.answers.deliver()

    async def _control(self, request: web.Request) -> web.Response:
        changes: dict[str, Any] = loads(await request.read())
        self.delay_s = changes.get("delay_s", self.delay_s)
        if "fault" in changes:
            self.set_fault(LinkFault(changes["fault"]))
        return web.Response(body=dumps({}), content_type="application/json")


class _Stream:
    """Bytes on the way in one direction of a link."""

    def __init__(self, link: _Link, held_by: set[LinkFault], *, answers: bool):
        self._link = link
        self._held_by = held_by
        self._answers = answers
        self._pending: deque[tuple[float, bytes | None]] = deque()
        self.target: asyncio.Transport | None = None

    def push(self, data: bytes | None) -> None:
        """Take bytes, or None for the end of the stream."""
        loop = asyncio.get_running_loop()
        delay_s = self._link.proxy.delay_s
        self._pending.append((loop.time() + delay_s, data))
        if delay_s:
            loop.call_later(delay_s, self.deliver)
        else:
            self.deliver()

    def deliver(self) -> None:
        """Pass on what is due, unless a fault holds it."""
        link = self._link
        now = asyncio.get_running_loop().time()
        # The loop can call a timer early by its clock's resolution.
        while self._pending and self._pending[0][0] <= now + 0.001:
            if self.target is None or link.proxy.fault in self._held_by:
                return
            _, data = self._pending.popleft()
            if link.silent:
                continue
            if data is None:
                self.target.close()
            elif self._answers and link.proxy.fault is LinkFault.LOSE_ANSWERS:
                link.abort()
            else:
                self.target.write(data)


class _Link:
    """A caller's connection and the one to the target that belongs to it."""

    def __init__(self, proxy: FaultProxy):
        self.proxy = proxy
        self.silent = False
        self.requests = _Stream(self, _HOLDS_REQUESTS, answers=False)
        self.answers = _Stream(self, _HOLDS_ANSWERS, answers=True)

    def abort(self) -> None:
        """Close both connections at once."""
        self.proxy._links.discard(self)
        for stream in (self.requests, self.answers):
            if stream.target is not None:
                stream.target.abort()


class _Side(asyncio.Protocol):
    def __init__(self, link: _Link, incoming: _Stream, outgoing: _Stream):
        self._link = link
        self._incoming = incoming
        self._outgoing = outgoing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._outgoing.target = transport
        self._outgoing.deliver()

    def data_received(self, data: bytes) -> None:
        self._incoming.push(data)

    def connection_lost(self, error: Exception | None) -> None:
        self._link.proxy._links.discard(self._link)
        self._incoming.push(None)

    # A receiver that falls behind slows its sender down, so that memory stays bounded.
    def pause_writing(self) -> None:
        if self._incoming.target is not None:
            self._incoming.target.pause_reading()

    def resume_writing(self) -> None:
        if self._incoming.target is not None:
            self._incoming.target.resume_reading()


class _CallerSide(_Side):
    def __init__(self, proxy: FaultProxy):
        link = _Link(proxy)
        super().__init__(link, link.requests, link.answers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        proxy = self._link.proxy
        if proxy.fault is LinkFault.CUT:
            transport.abort()
            return
        proxy._links.add(self._link)
        self._opening = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        link = self._link
        host, _, port = link.proxy.target.rpartition(":")
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: _Side(link, link.answers, link.requests), host, int(port)
            )
        except OSError:
            link.abort()
