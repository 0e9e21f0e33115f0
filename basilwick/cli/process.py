"""Runs a service until a signal asks it to stop."""

from __future__ import annotations

import asyncio
from os import _exit
from signal import SIGINT, SIGTERM
from typing import Protocol

__all__ = ["Service", "run_until_signal"]


class Service(Protocol):
    """Something that is started and closed explicitly."""

    async def start(self) -> None:
        """Acquire resources."""

    async def close(self) -> None:
        """Release resources."""


_ENDED_BY_SECOND_SIGNAL = 130


async def run_until_signal(service: Service) -> None:
    """Start a service, wait for SIGTERM or SIGINT, then close it.

    A second signal ends the process at once.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()

    def _stop() -> None:
        if stopped.is_set():
            _exit(_ENDED_BY_SECOND_SIGNAL)
        stopped.set()

    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, _stop)
    await service.start()
    try:
        await stopped.wait()
    finally:
        await service.close()
