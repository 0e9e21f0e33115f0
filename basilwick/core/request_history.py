"""Finds the log lines that can explain the outcome of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogLine", "RequestHistory", "find_request_lines", "build_request_history"]

LogLine: TypeAlias = dict[str, Any]

#: Seconds before a request within which an event can explain its outcome. A key that
#: has lost its owner is reassigned only after the grant has expired.
_EVENT_LOOKBACK_S = 6.0
#: Seconds after the response within which an event can explain the outcome, because
#: the clocks of the instances differ slightly.
_CLOCK_SKEW_S = 0.5
_ANSWERED_MESSAGE = "request answered"
#: Messages of events that affect all requests of a site.
_SITE_MESSAGES = (
    "leading the site",
    "no longer leading the site",
    "lost the link to the leader",
    "lost the platform's service",
    "regained the platform's service",
    "configuration in force",
    "data centre taken out",
    "data centre taken back",
    "log lines dropped",
)


@frozen
class RequestHistory:
    """Log lines of a request and of the events around it.

    Attributes
    ----------
    answers : list of LogLine
        Lines of the instances that answered the request.
    events : list of LogLine
        Events of its key, its servers and its site, ordered by time.
    failures : dict of str to int
        Number of other failed requests at the same servers or of the same service at
        that time, by reason.
    """

    answers: list[LogLine]
    events: list[LogLine] = field(factory=list)
    failures: dict[str, int] = field(factory=dict)


def find_request_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the log lines of a request."""
    return [line for line in lines if line.get("request") == request_id]


def build_request_history(
    lines: Iterable[LogLine], answers: list[LogLine]
) -> RequestHistory:
    """Collect what can explain the outcome of a request.

    Parameters
    ----------
    lines : iterable of LogLine
        Log lines of all instances.
    answers : list of LogLine
        Lines of the instances that answered the request; the last one counts.
    """
    history = RequestHistory(answers)
    answer = answers[-1]
    end = answer["time"] + _CLOCK_SKEW_S
    start = answer["time"] - answer.get("elapsed_ms", 0.0) / 1000 - _EVENT_LOOKBACK_S
    for line in lines:
        if not start <= line.get("time", 0.0) <= end:
            continue
        if line.get("message") == _ANSWERED_MESSAGE:
            _count_failure(history, answer, line)
        elif _is_related(answer, line):
            history.events.append(line)
    history.events.sort(key=lambda line: line["time"])
    return history


def _count_failure(history: RequestHistory, answer: LogLine, line: LogLine) -> None:
    if line.get("status", 0) < 500 or line.get("request") == answer.get("request"):
        return
    servers = set(answer.get("servers", ())) & set(line.get("servers", ()))
    if not servers and line.get("service") != answer.get("service"):
        return
    reason = line.get("reason") or "no reason"
    history.failures[reason] = history.failures.get(reason, 0) + 1


def _is_related(answer: LogLine, line: LogLine) -> bool:
    if line.get("message") in _SITE_MESSAGES:
        return True
    if line.get("server") in answer.get("servers", ()):
        return True
    if "first" not in line or line.get("service") != answer.get("service"):
        return False
    return line["first"] <= answer.get("key", -1) <= line["last"]
