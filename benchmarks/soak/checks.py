"""Invariants that a soak checks in the records of callers and servers."""

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

_NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Two runs of a key at different servers count as overlapping ownership if they start
#: within this time in seconds. A grant lasts 3 s.
_OVERLAP_WINDOW_S = 3.0


def find_violations(calls: Sequence[Call], log: RunLog) -> list[str]:
    """Return one line for each violated invariant."""
    runs = Counter(run.request_id for run in log.runs)
    return [
        *_find_repeated_runs(calls, runs),
        *_find_false_refusals(calls, runs),
        *_find_wrong_responses(calls, runs),
        *_find_unsent_requests(calls, runs),
        *_find_overlapping_owners(log),
    ]


def find_cut_calls(calls: Sequence[Call], log: RunLog) -> list[str]:
    """Return one line for each call that ran and was cut off before its deadline.

    Callers that left by themselves don't count. Only planned maintenance guarantees
    that there are none.
    """
    ran = {run.request_id for run in log.runs}
    return [
        f"{call.request_id} ran and was cut off by {call.instance}"
        for call in calls
        if not call.status
        and not call.left
        and call.request_id in ran
        and call.ended_at - call.began_at < TIME_LEFT_S
    ]


def _find_repeated_runs(calls: Sequence[Call], runs: Counter[str]) -> Iterator[str]:
    for call in calls:
        if not call.read and runs[call.request_id] > 1:
            yield f"order {call.request_id} ran {runs[call.request_id]} times"


def _find_false_refusals(calls: Sequence[Call], runs: Counter[str]) -> Iterator[str]:
    for call in calls:
        if not call.read and call.status in _NOT_RUN_STATUSES and runs[call.request_id]:
            yield f"order {call.request_id} ran, and was answered {call.status}"


def _find_wrong_responses(calls: Sequence[Call], runs: Counter[str]) -> Iterator[str]:
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


def _find_unsent_requests(calls: Sequence[Call], runs: Counter[str]) -> Iterator[str]:
    sent = {call.request_id for call in calls}
    for request_id in runs.keys() - sent:
        yield f"a server ran {request_id!r}, which no caller sent"


def _find_overlapping_owners(log: RunLog) -> Iterator[str]:
    by_key: dict[str, list[tuple[Run, frozenset[str]]]] = defaultdict(list)
    for run, holders in zip(log.runs, log.holders, strict=True):
        if run.target.startswith("/read/") and len(holders) > 1:
            by_key[run.target].append((run, holders))
    for target, entries in by_key.items():
        for (first, holders), (second, later_holders) in itertools.pairwise(entries):
            servers = {first.server, second.server}
            close = second.began_at - first.began_at < _OVERLAP_WINDOW_S
            if len(servers) == 2 and close and servers <= holders & later_holders:
                yield f"{target} ran at {sorted(servers)}, which held it together"
