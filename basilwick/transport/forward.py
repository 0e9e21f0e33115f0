"""Requests between instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from basilwick.core.errors import ErrorKind, Outcome, Refusal, make_refusal
from basilwick.transport.channel import Channel, SendPlan
from basilwick.transport.exchange import Answer, Operation, Request, decode_refusal
from basilwick.transport.handover import LEDGER_PATH

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.routing import Peer
    from basilwick.core.types import MonotonicSeconds

__all__ = ["ForwardClient"]

#: Connections to one instance.
_CONNECTIONS = 256
#: Time in seconds after which the connections to an instance are closed; instances are
#: replaced all the time, and each replacement has another address.
_UNUSED_S = 60.0
#: Three intervals of the interim answers that a live instance sends while a request
#: waits.
_SILENCE_FLOOR_S = 0.15
#: Time in seconds subtracted from the forwarded deadline, so that the other
#: instance's refusal, which knows whether the request was sent, arrives in time.
_DEADLINE_MARGIN_S = 0.004


class ForwardClient:
    """Sends requests to other instances over persistent connections.

    Parameters
    ----------
    clock : callable
        Local monotonic clock in seconds.
    shared_key : str
        Key of the forward port.
    """

    def __init__(self, clock: Callable[[], MonotonicSeconds], shared_key: str):
        self._clock = clock
        self._key_field = f"Basilwick-Key: {shared_key}\r\n"
        self._channels: dict[str, Channel] = {}

    async def start(self) -> None:
        """Do nothing; connections are opened at the first request to an instance."""

    async def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.pool.close()

    def drop_unused(self) -> None:
        """Close the connections to instances that are gone or not chosen any more."""
        now = self._clock()
        for address, channel in list(self._channels.items()):
            if now - channel.used_at > _UNUSED_S:
                del self._channels[address]
                channel.pool.retire()

    async def send(self, peer: Peer, request: Request) -> Answer | Refusal:
        """Forward a request.

        A refusal with outcome not run is either the other instance's word or means
        that no connection could be opened. The answer is lost to the caller, not to
        the ledger, when this call is cancelled.
        """
        plan = SendPlan(lambda: self._encode_fields(request), lambda: True)
        # A request whose instance sends no byte, not even an interim answer, is on a
        # dead connection or at a paused instance.
        if request.idempotent:
            plan.on_unanswered = lambda: _fail_connection(plan)
        reply = await self._get_channel(peer).attempt(request, plan)
        if isinstance(reply, Refusal):
            return reply
        if b"basilwick-error" not in reply.own_fields:
            return reply.answer
        body = reply.answer.body
        if not isinstance(body, bytes):
            body.close()
            body = b""
        refusal = decode_refusal(body)
        if refusal.outcome is Outcome.NOT_RUN:
            request.unresolved_attempts -= 1
        return refusal

    async def hand_over(self, peer: Peer, body: bytes, timeout_s: float) -> bool:
        """Give a ledger to its successor; repeats until it is acknowledged."""
        deadline = self._clock() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    request = Request(
                        "POST", LEDGER_PATH, "", "", Operation.AT_MOST_ONCE, deadline
                    )
                    request.body = body
                    plan = SendPlan(lambda: self._key_field.encode(), lambda: True)
                    reply = await self._get_channel(peer).attempt(request, plan)
                    if not isinstance(reply, Refusal):
                        return reply.answer.status == 204
                    await asyncio.sleep(0.05)
        except TimeoutError:
            return False

    def _get_channel(self, peer: Peer) -> Channel:
        address = peer.forward_address
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = Channel(
                address, _CONNECTIONS, self._clock, _SILENCE_FLOOR_S
            )
        return channel

    def _encode_fields(self, request: Request) -> bytes | Refusal:
        remaining_s = request.deadline - self._clock() - _DEADLINE_MARGIN_S
        if remaining_s < 0.001:
            return make_refusal(
                ErrorKind.DEADLINE_EXCEEDED, "no time is left to forward the request"
            )
        fields = (
            f"{self._key_field}Basilwick-Hops: {request.hops + 1}\r\n"
            f"Basilwick-Deadline-Ms: {int(remaining_s * 1000)}\r\n"
            f"Basilwick-Operation: {request.operation.value}\r\n"
        )
        if request.token is not None:
            fields += f"Basilwick-Token: {request.token}\r\n"
            if request.ledger_checked:
                fields += "Basilwick-Ledger: checked\r\n"
        if request.unreachable:
            fields += f"Basilwick-Unreachable: {','.join(request.unreachable)}\r\n"
        return fields.encode("latin-1")


def _fail_connection(plan: SendPlan) -> None:
    if plan.connection is not None:
        plan.connection.fail(ConnectionError("no byte from the instance for 0.4 s"))
