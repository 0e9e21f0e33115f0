"""Promises that a soak checks, from what callers and servers saw."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from benchmarks.soak.callers import TIME_LEFT_S

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from basilwick.fakes.key_server import Run
    from benchmarks.soak.callers import Call
    from benchmarks.soak.site import RunLog

__all__ = ["find_cut_calls", "find_violations"]

_NOT_RUN = (408, 421, 429, 503)
#: Time in seconds within which two runs of a key belong to one time of two holders. A
#: grant lasts 3 s.
_TOGETHER_S = 3.0


def find_violations(calls: Sequence[Call], log: RunLog) -> list[str]:
    """Return one line for each broken promise."""
    runs = Counter(run.request_id for run in log.runs)
    return [
        *_find_repeats(calls, runs),
        *_find_false_refusals(calls, runs),
        *_find_wrong_answers(calls, runs),
        *_find_unasked(calls, runs),
        *_find_double_owners(log),
    ]


def find_cut_calls(calls: Sequence[Call], log: RunLog) -> list[str]:
    """Return one line for each call that ran and was cut off before its time.

    Only planned work promises that there are none.
    """
    ran = {run.request_id for run in log.runs}
    return [
        f"{call.request_id} ran and was cut off by {call.instance}"
        for call in calls
        if not call.status
        and call.request_id in ran
        and call.ended_at - call.began_at < TIME_LEFT_S
    ]


def _find_repeats(calls: Sequence[Call], runs: Counter[str]) -> Iterator[str]:
    for call in calls:
        if not call.read and runs[call.request_id] > 1:
            yield f"order {call.request_id} ran {runs[call.request_id]} times"


def _find_false_refusals(calls: Sequence[Call], runs: Counter[str]) -> Iterator[str]:
    for call in calls:
        if not call.read and call.status in _NOT_RUN and runs[call.request_id]:
            yield f"order {call.request_id} ran, and was answered {call.status}"


def _find_wrong_answers(calls: Sequence[Call], runs: Counter[str]) -> Iterator[str]:
    for call in calls:
        if call.status in (400, 404):
            yield f"{call.request_id} was answered {call.status}"
        if call.status != 200:
            continue
        if call.answered_id != call.request_id:
            yield f"{call.request_id} got the answer of {call.answered_id!r}"
        elif not runs[call.request_id]:
            yield f"{call.request_id} was answered 200 and never ran"
        elif call.body != call.signature.encode() * 10:
            yield f"{call.request_id} got the body {call.body[:40]!r}"


def _find_unasked(calls: Sequence[Call], runs: Counter[str]) -> Iterator[str]:
    asked = {call.request_id for call in calls}
    for request_id in runs.keys() - asked:
        yield f"a server ran {request_id!r}, which no caller sent"


def _find_double_owners(log: RunLog) -> Iterator[str]:
    by_key: dict[str, list[tuple[Run, frozenset[str]]]] = defaultdict(list)
    for run, holders in zip(log.runs, log.holders, strict=True):
        if run.target.startswith("/read/") and len(holders) > 1:
            by_key[run.target].append((run, holders))
    for target, entries in by_key.items():
        for (first, holders), (second, later) in itertools.pairwise(entries):
            both = {first.server, second.server}
            close = second.began_at - first.began_at < _TOGETHER_S
            if len(both) == 2 and close and both <= holders & later:
                yield f"{target} ran at {sorted(both)}, which held it together"
