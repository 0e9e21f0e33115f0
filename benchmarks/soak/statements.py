"""Checks of what a soak's servers stated in their responses.

A server that states that it leaves gets no later request of the instance that passed
the response on; one that wants nothing for a while gets next to none. An instance that
was restarted or paused since then may have forgotten.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from basilwick.fakes.key_server import KeyServer, Statement
    from benchmarks.soak.callers import Call

__all__ = ["find_statement_violations"]

#: Time in seconds after a response that states leaving, from which a call's request
#: must not reach the server.
_DRAIN_S = 2.0
#: Time in seconds after a statement from which a pause binds, and the requests that
#: may still arrive.
_PAUSE_BINDING_S = 0.5
_MAX_IN_PAUSE = 2


def find_statement_violations(
    calls: Sequence[Call],
    servers: Sequence[KeyServer],
    interruptions: Mapping[str, Sequence[float]],
) -> list[str]:
    """Return one line for each ignored statement.

    Parameters
    ----------
    interruptions : mapping of str to sequence of float
        Local times at which each instance was restarted, paused or resumed.
    """
    by_id = {call.request_id: call for call in calls}
    violations = []
    for server in servers:
        arrivals = [
            (by_id[request_id], at)
            for request_id, at in zip(server.arrived_ids, server.arrivals, strict=True)
            if request_id in by_id
        ]
        for statement in server.statements:
            call = by_id.get(statement.request_id)
            if call is None or not call.status:
                continue
            later = [
                (other, at)
                for other, at in arrivals
                if other.instance == call.instance
                and not _was_interrupted(
                    interruptions[call.instance], statement.stated_at, at
                )
            ]
            violations += _check(server, statement, call, later)
    return violations


def _check(
    server: KeyServer,
    statement: Statement,
    call: Call,
    later: list[tuple[Call, float]],
) -> Iterator[str]:
    if statement.leaving:
        for other, _ in later:
            if other.began_at > call.ended_at + _DRAIN_S:
                late_s = other.began_at - call.ended_at
                yield (
                    f"{other.request_id} reached {server.name} from {call.instance} "
                    f"{late_s:.1f} s after it said that it leaves"
                )
    begins_at = statement.stated_at + _PAUSE_BINDING_S
    ends_at = statement.stated_at + statement.pause_s
    in_pause = sum(begins_at < at < ends_at for _, at in later)
    if in_pause > _MAX_IN_PAUSE:
        yield (
            f"{in_pause} requests of {call.instance} reached {server.name} in the "
            f"{statement.pause_s} s in which it wanted none"
        )


def _was_interrupted(times: Sequence[float], after: float, until: float) -> bool:
    return any(after - _DRAIN_S < at < until for at in times)
