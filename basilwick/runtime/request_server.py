"""The request path with its ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from basilwick.transport.listener import CallerListener, ForwardListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.routing import Peer
    from basilwick.core.types import MonotonicSeconds
    from basilwick.runtime.request_path import RequestPath

__all__ = ["RequestServer"]


class RequestServer:
    """Caller port, forward port and request path of an instance.

    Parameters
    ----------
    path : RequestPath
        Request path; started and closed with the ports.
    clock : callable
        Local monotonic clock in seconds.
    caller_address, forward_address : str
        IP number and port of each.
    shared_key : str
        Key of the forward port.
    """

    def __init__(
        self,
        path: RequestPath,
        clock: Callable[[], MonotonicSeconds],
        caller_address: str,
        forward_address: str,
        shared_key: str,
    ):
        self.path = path
        self._clock = clock
        self.caller = CallerListener(caller_address, path, clock)
        self.forward = ForwardListener(forward_address, path, clock, shared_key)

    async def start(self) -> None:
        """Listen on both ports."""
        await self.path.start()
        await self.forward.start()
        await self.caller.start()

    async def stop(self, successor: Peer | None, timeout_s: float) -> bool:
        """Refuse new requests, finish the running ones and hand over the ledger.

        Called after the leave was announced, so that other instances choose this one
        no more; it answers forwarded requests until its own callers are served.

        Parameters
        ----------
        successor : Peer or None
            Announced holder of the ledger.
        timeout_s : float
            Longest time in seconds for all of it.

        Returns
        -------
        bool
            Whether every request ended and the ledger was acknowledged.
        """
        end = self._clock() + timeout_s
        self.caller.stop_accepting()
        self.path.operations.ledger.stop()
        # A share of the time is kept for each of the steps that follow.
        callers_ended = await self.caller.wait_idle(0.7 * timeout_s)
        self.forward.stop_accepting()
        left_s = max(0.0, end - self._clock())
        forwards_ended = await self.forward.wait_idle(0.5 * left_s)
        left_s = max(0.1, end - self._clock())
        handed_over = await self.path.operations.hand_over(successor, left_s)
        if not (callers_ended and forwards_ended):
            logger.warning("requests were still running after {} s", timeout_s)
        return callers_ended and forwards_ended and handed_over

    async def close(self) -> None:
        """Close both ports and all connections."""
        await self.caller.close()
        await self.forward.close()
        await self.path.close()
