"""Periodic tasks that continue after an unexpected error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["run_periodically"]

#: Delay in seconds after an unexpected error, so that a recurring error doesn't use up
#: the processor.
_ERROR_DELAY_S = 0.5


async def run_periodically(
    name: str, interval_s: float, step: Callable[[], Awaitable[float | None]]
) -> None:
    """Run a step periodically until the task is cancelled.

    An unexpected error ends only the step that raised it. Otherwise a loop that renews
    leases or grants, or that answers requests, would end silently.

    Parameters
    ----------
    name : str
        Name of the loop in the log.
    interval_s : float
        Delay in seconds between the end of a step and the start of the next one.
    step : callable
        Called periodically; may return a delay in seconds that replaces the interval.
    """
    while True:
        try:
            delay_s = await step()
        except Exception as error:
            logger.opt(exception=error).bind(loop=name).error(
                "unexpected error in a periodic step; continuing"
            )
            delay_s = _ERROR_DELAY_S
        await asyncio.sleep(interval_s if delay_s is None else delay_s)
