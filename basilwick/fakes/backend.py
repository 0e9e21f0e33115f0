"""Stand-in for a backend server that owns keys."""

from __future__ import annotations

import asyncio
from collections import Counter

from aiohttp import web
from attrs import define, field
from orjson import dumps

__all__ = ["FakeBackend"]


@define
class FakeBackend:
    """Backend server that answers every request after a service time.

    Parameters
    ----------
    name : str
        Name reported in answers.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 takes a free one.
    service_time_s : float
        Time that a request takes, in seconds.
    """

    name: str
    host: str = "127.0.0.1"
    port: int = 0
    service_time_s: float = 0.001
    runs: Counter[str] = field(factory=Counter)
    _runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """IP number and port that the server listens on."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        app = web.Application(client_max_size=1 << 30)
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, self.port, shutdown_timeout=0.1)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        body_bytes = 0
        async for chunk in request.content.iter_chunked(65536):
            body_bytes += len(chunk)
        await asyncio.sleep(self.service_time_s)
        self.runs[request.headers.get("Basilwick-Token", "")] += 1
        answer = {
            "server": self.name,
            "path": request.path,
            "fence": request.headers.get("Basilwick-Fence"),
            "body_bytes": body_bytes,
        }
        return web.Response(
            body=dumps(answer),
            content_type="application/json",
            headers={"Basilwick-Attempt": request.headers["Basilwick-Attempt"]},
        )
