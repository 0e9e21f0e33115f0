"""Finds in log lines what explains the outcome of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogLine", "RequestHistory", "find_request_lines", "build_request_history"]

LogLine: TypeAlias = dict[str, Any]

#: Time in seconds before a request from which events can explain its outcome: a key
#: without an owner is given away after the hold of its grant.
_BEFORE_S = 6.0
#: Time in seconds after its answer: the clocks of instances differ a little.
_AFTER_S = 0.5
_ANSWERED = "request answered"
#: Messages that concern all requests of a site.
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
    """A request and what happened around it.

    Attributes
    ----------
    answers : list of LogLine
        Lines of the instances that answered it.
    events : list of LogLine
        What happened to its key, its servers and its site, in order of time.
    failures : dict of str to int
        Failed requests at the same servers or of the same service at that time, by
        reason.
    """

    answers: list[LogLine]
    events: list[LogLine] = field(factory=list)
    failures: dict[str, int] = field(factory=dict)


def find_request_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines that name a request."""
    return [line for line in lines if line.get("request") == request_id]


def build_request_history(
    lines: Iterable[LogLine], answers: list[LogLine]
) -> RequestHistory:
    """Return what can explain a request, among the lines of all instances."""
    history = RequestHistory(answers)
    answer = answers[-1]
    end = answer["time"] + _AFTER_S
    begin = answer["time"] - answer.get("elapsed_ms", 0.0) / 1000 - _BEFORE_S
    for line in lines:
        if not begin <= line.get("time", 0.0) <= end:
            continue
        if line.get("message") == _ANSWERED:
            _count_failure(history, answer, line)
        elif _concerns(answer, line):
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


def _concerns(answer: LogLine, line: LogLine) -> bool:
    if line.get("message") in _SITE_MESSAGES:
        return True
    if line.get("server") in answer.get("servers", ()):
        return True
    if "first" not in line or line.get("service") != answer.get("service"):
        return False
    return line["first"] <= answer.get("key", -1) <= line["last"]
