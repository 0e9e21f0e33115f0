"""Simple router that serves as the baseline of benchmarks."""

from __future__ import annotations

from bisect import bisect
from typing import TYPE_CHECKING

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector, web
from attrs import define, field
from xxhash import xxh3_64_intdigest

from basilwick.core.hashing import compute_key_hash

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ["BaselineRouter"]

_VIRTUAL_NODES_PER_SERVER = 100


@define(eq=False)
class BaselineRouter:
    """Router with consistent hashing, a connection limit, a timeout and one retry.

    Like a common reverse proxy, it has no key ownership and no load shedding, and it
    retries every failed request, idempotent or not, once at the next server on the
    hash ring.

    Parameters
    ----------
    servers : mapping of str to sequence of str
        Addresses of the servers of each service.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free one.
    connections : int
        Maximum number of connections to each server.
    timeout_s : float
        Timeout of each attempt in seconds.
    """

    servers: Mapping[str, Sequence[str]]
    host: str = "127.0.0.1"
    port: int = 0
    connections: int = 120
    timeout_s: float = 1.0
    _rings: dict[str, list[tuple[int, str]]] = field(factory=dict)
    _session: ClientSession | None = None
    _runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Build the hash rings and start listening."""
        for service, addresses in self.servers.items():
            self._rings[service] = sorted(
                (xxh3_64_intdigest(f"{address}\0{virtual_node}".encode()), address)
                for address in addresses
                for virtual_node in range(_VIRTUAL_NODES_PER_SERVER)
            )
        self._session = ClientSession(
            connector=TCPConnector(limit=0, limit_per_host=self.connections)
        )
        app = web.Application(client_max_size=1 << 30)
        app.router.add_route("*", "/v1/{service}/{key}", self._forward)
        app.router.add_route("*", "/v1/{service}/{key}/{rest:.*}", self._forward)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.host, self.port).start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    def _choose_servers(self, service: str, key: str) -> list[str]:
        """Return the key's server and the next one on the ring."""
        ring = self._rings.get(service, [])
        start = bisect(ring, (compute_key_hash(service, key), ""))
        candidates: list[str] = []
        for offset in range(len(ring)):
            address = ring[(start + offset) % len(ring)][1]
            if address not in candidates:
                candidates.append(address)
            if len(candidates) == 2:
                break
        return candidates

    async def _forward(self, request: web.Request) -> web.Response:
        assert self._session is not None, "call start first"
        body = await request.read()
        match = request.match_info
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.startswith("Basilwick-")
        }
        for address in self._choose_servers(match["service"], match["key"]):
            try:
                async with self._session.request(
                    request.method,
                    f"http://{address}{request.raw_path}",
                    data=body,
                    headers=headers,
                    timeout=ClientTimeout(total=self.timeout_s),
                ) as response:
                    content = await response.read()
                    if response.status in (429, 503):
                        continue
                    return web.Response(
                        status=response.status,
                        body=content,
                        content_type=response.content_type,
                    )
            except (ClientError, TimeoutError):
                continue
        return web.Response(status=502)
