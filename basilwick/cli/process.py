"""Runs a long-lived object until the process receives SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import sys
from os import _exit
from typing import Protocol, runtime_checkable

from loguru import logger

from basilwick.cli.process_signals import process_signals

__all__ = ["Reloadable", "Startable", "run_until_signal"]


class Startable(Protocol):
    """An object that is started and closed explicitly."""

    async def start(self) -> None:
        """Acquire resources."""

    async def close(self) -> None:
        """Release resources."""


@runtime_checkable
class Reloadable(Protocol):
    """An object that is told of SIGHUP."""

    def reload(self) -> None:
        """Handle a change of the settings."""


#: 128 + SIGINT, as shells report a process that a signal ended.
_INTERRUPTED_EXIT_CODE = 130


async def run_until_signal(startable: Startable) -> None:
    """Start an object, wait for SIGTERM or SIGINT, then close it.

    An object that is not started yet when such a signal comes is not started. Further
    signals don't shorten the close, except for a second SIGINT of a process whose
    standard input is a terminal, which ends the process at once. A `Reloadable` object
    is told of SIGHUP, also of one that came before its start.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    started = False

    def _handle_signals() -> None:
        if process_signals.interrupts > 1 and _has_terminal():
            _exit(_INTERRUPTED_EXIT_CODE)
        if process_signals.stop_requested:
            stop_requested.set()
        if started and process_signals.take_reload():
            startable.reload()

    # A handler runs between any two instructions, also those of the loop itself.
    process_signals.set_listener(lambda: loop.call_soon_threadsafe(_handle_signals))
    process_signals.hold_stops()
    if isinstance(startable, Reloadable):
        process_signals.hold_hangups()
    try:
        if process_signals.stop_requested:
            logger.info("stopped before its start")
            return
        await startable.start()
        started = True
        _handle_signals()
        try:
            await stop_requested.wait()
        finally:
            await startable.close()
    finally:
        process_signals.set_listener(None)


def _has_terminal() -> bool:
    return sys.stdin is not None and not sys.stdin.closed and sys.stdin.isatty()
