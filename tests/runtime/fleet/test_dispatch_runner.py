"""A dispatch runner that polls its dispatcher only while requests wait."""

from __future__ import annotations

import asyncio
from time import monotonic

from basilwick.core.dispatch.messages import DispatchRequest, Refused
from basilwick.runtime.fleet.dispatch_runner import DispatchRunner


class WaitingDispatcher:
    """Refuses each request on the third `advance` after its submission."""

    def __init__(self):
        self.advance_count = 0
        self._waiting = {}

    def submit(self, request_id, request, now):
        self._waiting[request_id] = self.advance_count + 3

    def advance(self, now):
        self.advance_count += 1
        due = [i for i, due_at in self._waiting.items() if due_at <= self.advance_count]
        return [(i, Refused(i[1], 0.1, "")) for i in due if self._waiting.pop(i)]


async def test_the_runner_polls_only_while_requests_wait():
    """An instance without waiting requests woke up 50 times a second."""
    dispatcher = WaitingDispatcher()
    runner = DispatchRunner(dispatcher, monotonic)
    await runner.start()
    await asyncio.sleep(0.2)
    assert dispatcher.advance_count == 0
    replies = []
    for number in (1, 2):
        runner.submit(
            "peer", DispatchRequest(number, "s", -1, 0, 1.0, 2.0), replies.append
        )
        await asyncio.sleep(0.3)
        assert len(replies) == number
        assert dispatcher.advance_count <= 4 * number
    await runner.close()
