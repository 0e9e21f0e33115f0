"""Loops that go on after an unexpected error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["run_periodically"]

#: Pause in seconds after an unexpected error, so that one that comes back doesn't take
#: the processor.
_ERROR_PAUSE_S = 0.5


async def run_periodically(
    name: str, interval_s: float, step: Callable[[], Awaitable[float | None]]
) -> None:
    """Run a step again and again.

    An unexpected error ends only the step in which it was raised: without this, a loop
    that keeps leases, renews grants or answers requests would end silently.

    Parameters
    ----------
    name : str
        What the log calls the loop.
    interval_s : float
        Time in seconds between the end of a step and the next one.
    step : callable
        What is repeated; may return another pause in seconds.
    """
    while True:
        try:
            pause_s = await step()
        except Exception as error:
            logger.opt(exception=error).bind(loop=name).error("step failed; going on")
            pause_s = _ERROR_PAUSE_S
        await asyncio.sleep(interval_s if pause_s is None else pause_s)
