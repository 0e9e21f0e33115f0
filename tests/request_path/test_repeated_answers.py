"""Requests whose server answered the one before them a second time."""

from __future__ import annotations

from request_harness import run_cluster

from basilwick.fakes.backend import FakeBackend

#: More bytes than the status line and the first field of a second answer have.
MAX_CUT = 60


async def test_a_cut_second_answer_does_not_change_the_status_of_the_next_one():
    """The head of an answer was read as the rest of the one that was cut off."""
    backend = FakeBackend("clue-1")
    await backend.start()
    wrong = []
    try:
        async with run_cluster(backend.address) as cluster:
            for cut in range(1, MAX_CUT):
                # The first request opens the connection again after a cut answer.
                for faulty in (0, cut):
                    backend.faults.cut_answer_bytes = faulty
                    status, _, _ = await cluster.send()
                    # 502 says that the answer was lost with its connection.
                    wrong += [] if status in (200, 502) else [(cut, status)]
    finally:
        await backend.close()
    assert wrong == []
