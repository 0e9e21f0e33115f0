"""Check that callers of a soak got only first answers of its servers.

A server may answer a request twice, with different statuses. Only its first answer
counts, with its status and its whole body. A request that was sent several times has a
first answer to each of its attempts. The bodies of successes are checked with those of
all calls; first answers that report a failure have none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from basilwick.fakes.key_server import KeyServer
    from benchmarks.soak.callers import Call

__all__ = ["find_answer_violations"]

#: Statuses that no instance answers by itself: such an answer bears a signature.
_SERVER_STATUSES = (200, 500)


def find_answer_violations(
    calls: Sequence[Call], servers: Sequence[KeyServer]
) -> Iterator[str]:
    """Yield one line for each answer that no server gave first for its request."""
    first_answers = {
        (server.name, request_id, status)
        for server in servers
        for request_id, status in server.first_answers
    }
    for call in calls:
        if not call.signature:
            if call.status in _SERVER_STATUSES:
                yield f"{call.request_id} was answered {call.status} by no server"
            continue
        if (call.signature, call.request_id, call.status) not in first_answers:
            given = sorted(
                (name, status)
                for name, request_id, status in first_answers
                if request_id == call.request_id
            )
            yield (
                f"{call.request_id} was answered {call.status} by {call.signature}; "
                f"first answers: {given}"
            )
        elif call.status != 200 and call.answered_id != call.request_id:
            yield f"{call.request_id} got the answer of {call.answered_id!r}"
        elif call.status != 200 and call.body:
            yield f"{call.request_id} got the body {call.body[:40]!r}"
