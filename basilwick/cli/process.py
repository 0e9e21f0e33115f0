"""Runs a long-lived object until the process receives SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
from os import _exit
from signal import SIGINT, SIGTERM
from typing import Protocol

__all__ = ["Startable", "run_until_signal"]


class Startable(Protocol):
    """An object that is started and closed explicitly."""

    async def start(self) -> None:
        """Acquire resources."""

    async def close(self) -> None:
        """Release resources."""


#: 128 + SIGINT, as shells report a process that a signal ended.
_SECOND_SIGNAL_EXIT_CODE = 130


async def run_until_signal(startable: Startable) -> None:
    """Start an object, wait for SIGTERM or SIGINT, then close it.

    A second signal ends the process immediately, without waiting for the close.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def _handle_signal() -> None:
        if stop_requested.is_set():
            _exit(_SECOND_SIGNAL_EXIT_CODE)
        stop_requested.set()

    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, _handle_signal)
    await startable.start()
    try:
        await stop_requested.wait()
    finally:
        await startable.close()
