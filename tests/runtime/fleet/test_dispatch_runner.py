"""A dispatch runner that polls its dispatcher only while requests wait."""

from __future__ import annotations

import asyncio
from time import monotonic

from basilwick.core.dispatch.messages import (
    Assigned,
    DispatchRequest,
    Refused,
    SendFinished,
    SendOutcome,
)
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


async def test_a_refused_request_leaves_nothing_in_the_runner():
    """Each refusal kept an entry of 128 bytes for the life of its link."""
    dispatcher = WaitingDispatcher()
    runner = DispatchRunner(dispatcher, monotonic)
    replies = []
    for number in range(1000):
        peer = f"peer{number % 3}"
        request = DispatchRequest(number, "s", -1, 0, 1.0, 2.0)
        runner.submit(peer, request, replies.append)
    for _ in range(3):
        runner.advance()
    dispatcher.submit = lambda request_id, request, now: Refused(request.number, 1, "")
    for number in range(1000, 2000):
        request = DispatchRequest(number, "s", -1, 0, 1.0, 2.0)
        runner.submit("peer0", request, replies.append)
    assert len(replies) == 2000
    assert not runner._request_ids and not runner._replies


async def test_an_assigned_request_is_withdrawn_with_its_peer_until_it_ends():
    """A link that ended had to free the slots of all its requests, and only these."""
    cancelled = []

    class AssigningDispatcher:
        def submit(self, request_id, request, now):
            return Assigned(request.number, "server", "127.0.0.1:1")

        def finish(self, request_id, finished, now):
            return []

        def cancel(self, request_id, now):
            cancelled.append(request_id)
            return []

    runner = DispatchRunner(AssigningDispatcher(), monotonic)
    for number in range(4):
        request = DispatchRequest(number, "s", -1, 0, 1.0, 2.0)
        runner.submit("peer", request, lambda decision: None)
    runner.finish("peer", SendFinished(0, SendOutcome.OK, 0.1))
    runner.cancel("peer", 1)
    runner.remove_peer("peer")
    assert sorted(cancelled) == [("peer", 1), ("peer", 2), ("peer", 3)]
    assert not runner._request_ids and not runner._replies
