"""A dispatcher that looks at waiting requests only while there are some."""

from __future__ import annotations

import asyncio
from time import monotonic

from basilwick.core.dispatch.messages import DispatchRequest, Refused
from basilwick.runtime.fleet.dispatch_runner import DispatchRunner


class WaitingDispatcher:
    """Lets each request wait for three looks, and then refuses it."""

    def __init__(self):
        self.looks = 0
        self._waiting = {}

    def submit(self, ticket_id, ask, now):
        self._waiting[ticket_id] = self.looks + 3

    def advance(self, now):
        self.looks += 1
        due = [i for i, look in self._waiting.items() if look <= self.looks]
        return [(i, Refused(i[1], 0.1, "")) for i in due if self._waiting.pop(i)]


async def test_only_waiting_requests_are_looked_at():
    """An instance that decided nothing woke up 50 times a second."""
    dispatcher = WaitingDispatcher()
    runner = DispatchRunner(dispatcher, monotonic)
    await runner.start()
    await asyncio.sleep(0.2)
    assert dispatcher.looks == 0
    replies = []
    for number in (1, 2):
        runner.submit(
            "peer", DispatchRequest(number, "s", -1, 0, 1.0, 2.0), replies.append
        )
        await asyncio.sleep(0.3)
        assert len(replies) == number
        assert dispatcher.looks <= 4 * number
    await runner.close()
