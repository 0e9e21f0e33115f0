"""Client side of the connections to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from uuid import uuid4

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from attrs import frozen

from basilwick.core.errors import ErrorKind, refuse

if TYPE_CHECKING:
    from basilwick.core.errors import Refusal
    from basilwick.core.types import Fence

__all__ = ["Answer", "BackendClient"]


@frozen
class Answer:
    """Answer of a backend server."""

    status: int
    content_type: str
    body: bytes


class BackendClient:
    """Sends requests to backend servers over kept connections."""

    def __init__(self) -> None:
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = ClientSession(connector=TCPConnector(limit_per_host=120))

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        fence: Fence,
        timeout_s: float,
    ) -> Answer | Refusal:
        """Send one request and return the whole answer."""
        assert self._session is not None, "call start first"
        attempt = uuid4().hex
        headers = {"Basilwick-Attempt": attempt, "Basilwick-Fence": str(fence)}
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body,
                headers=headers,
                timeout=ClientTimeout(total=timeout_s),
            ) as response:
                answer = Answer(
                    response.status, response.content_type, await response.read()
                )
                if response.headers.get("Basilwick-Attempt") != attempt:
                    response.close()
                    return refuse(
                        ErrorKind.CONNECTION_LOST,
                        f"server {address} answered another attempt",
                    )
                return answer
        except (ClientError, TimeoutError) as error:
            return refuse(
                ErrorKind.CONNECTION_LOST, f"server {address} gave no answer: {error!r}"
            )
