"""Second answers of a fake backend server, with another status than the first."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

from attrs import define, field

if TYPE_CHECKING:
    from random import Random

__all__ = ["SecondAnswers"]

#: Longest delay in seconds of a second answer that doesn't wait for the next request.
_MAX_DELAY_S = 0.2
#: Bytes of a second answer's head that are sent when it is cut off.
_MAX_CUT = 120


@define(eq=False)
class SecondAnswers:
    """Decides how requests are answered, and answers some a second time.

    The second answer has another status. It is sent after a delay, or when the next
    request arrives on the connection, before the answer to that request.

    Parameters
    ----------
    rng : random.Random
        Source of all choices.
    share : float
        Fraction of requests that are answered twice.
    statuses : tuple of int
        Statuses that are drawn for an answer: 200, 500, or 503 for a rejection.
    cut : bool
        Whether a second answer ends within its head.
    identified : bool
        Whether second answers that reject the request carry its identity.
    """

    _rng: Random
    share: float = 0.5
    statuses: tuple[int, ...] = (200, 200, 500, 503)
    cut: bool = False
    identified: bool = True
    _waiting: WeakKeyDictionary[asyncio.BaseTransport, bytes] = field(
        factory=WeakKeyDictionary
    )

    def draw_status(self) -> int:
        """Return the status of a first answer."""
        return self._rng.choice(self.statuses)

    def write_waiting(self, transport: asyncio.Transport) -> None:
        """Send the second answer that waited for a request on this connection."""
        answer = self._waiting.pop(transport, None)
        if answer is not None:
            transport.write(answer)

    def schedule(
        self,
        transport: asyncio.Transport | None,
        request_id: str,
        server: str,
        status: int,
    ) -> None:
        """Answer a request a second time later, if the choice falls on it."""
        if self._rng.random() >= self.share or transport is None:
            return
        others = [other for other in {*self.statuses, 200} if other != status]
        if not others:
            return
        answer = self._encode(request_id, server, self._rng.choice(sorted(others)))
        if self.cut:
            answer = answer[: self._rng.randint(1, _MAX_CUT)]
        if self._rng.random() < 0.5:
            self._waiting[transport] = answer
            return
        delay_s = self._rng.uniform(0.001, _MAX_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, transport.write, answer)

    def _encode(self, request_id: str, server: str, status: int) -> bytes:
        fields = [f"HTTP/1.1 {status} Late"]
        body = b"" if status == 503 else server.encode() * 10
        if status == 503:
            fields.append("X-Not-Executed: 1")
        else:
            fields.append(f"X-Response-Signature: {server}")
        if status != 503 or self.identified:
            fields.append(f"X-Request-Id: {request_id}")
        fields.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*fields, "", ""]).encode() + body
