"""Records what a decision object saw and did, and replays it."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from attrs import define, field, frozen
from orjson import JSONDecodeError, dumps, loads

from basilwick.core.errors import InvalidRecordError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from basilwick.core.trace_registry import TraceRegistry
    from basilwick.core.types import MonotonicSeconds

__all__ = ["Decision", "Difference", "TraceRecorder", "replay"]

_SCHEMA = 1
#: Longest trace; recording stops there, so that it never fills a disk.
MAX_TRACE_BYTES = 16 << 20
#: Longest line, about the view of a service of 16 blocks of 1,000 shards.
MAX_LINE_BYTES = 4 << 20


class Decision(Protocol):
    """An object that decides by events, the local time and a random source alone."""

    def handle(self, event: Any, now: MonotonicSeconds, rng: Random) -> list[Any]:
        """Return the actions that an event calls for."""


@frozen
class Difference:
    """First place at which a replay departs from its trace.

    Attributes
    ----------
    line : int
        Line of the trace, the header being line 1.
    stated, replayed : dict or None
        The action in the trace and the one now decided, None where one has none.
    """

    line: int
    stated: dict[str, Any] | None
    replayed: dict[str, Any] | None


@define
class TraceRecorder:
    """Decision object that records the calls to another one.

    Every call gets a random source of its own, seeded from the caller's. So the lines
    do not depend on who else draws random numbers.

    Parameters
    ----------
    decision : Decision
        Object that decides, without any history so far.
    name : str
        Name under which the registry creates such an object.
    registry : TraceRegistry
        Registry of its events and actions.
    write : callable
        Takes each line with its newline.
    arguments : dict, optional
        Arguments with which the object was created.
    max_bytes : int
        Bound on the length of the trace.
    """

    _decision: Decision
    _name: str
    _registry: TraceRegistry
    _write: Callable[[bytes], object]
    _arguments: dict[str, Any] = field(factory=dict)
    _max_bytes: int = MAX_TRACE_BYTES
    _written: int = 0
    _stopped: bool = False

    def handle(self, event: Any, now: MonotonicSeconds, rng: Random) -> list[Any]:
        """Pass a call on and record it."""
        seed = rng.getrandbits(64)
        if not self._written:
            header = {
                "schema": _SCHEMA,
                "decision": self._name,
                "arguments": self._arguments,
            }
            self._append(header)
        # Encoded first, because the object may keep and change parts of the event.
        encoded = None if self._stopped else self._registry.encode(event)
        actions = self._decision.handle(event, now, Random(seed))
        if encoded is not None:
            stated = [self._registry.encode(action) for action in actions]
            self._append(
                {"now": now, "seed": seed, "event": encoded, "actions": stated}
            )
        return actions

    def _append(self, line: dict[str, Any]) -> None:
        data = dumps(line) + b"\n"
        if self._written + len(data) > self._max_bytes or len(data) > MAX_LINE_BYTES:
            # A replay needs every event from the start, so the rest is left out.
            self._stopped = True
            return
        self._written += len(data)
        self._write(data)


def replay(lines: Iterable[bytes], registry: TraceRegistry) -> Difference | int:
    """Feed a trace to a new decision object and compare its actions.

    Parameters
    ----------
    lines : iterable of bytes
        Lines of the trace.
    registry : TraceRegistry
        Registry of decision objects, events and actions.

    Returns
    -------
    Difference or int
        The first difference, or the number of events replayed without one.

    Raises
    ------
    InvalidRecordError
        If a line is not part of a trace.
    """
    entries = _read_lines(lines)
    _, header = next(entries, (1, {}))
    if header.get("schema") != _SCHEMA:
        raise InvalidRecordError(
            f"trace has schema {header.get('schema')!r}; this program reads {_SCHEMA}: "
            "record it again"
        )
    decision = registry.create_decision(header["decision"], header["arguments"])
    count = 0
    for number, entry in entries:
        try:
            event = registry.decode(entry["event"])
            now, seed, stated = entry["now"], entry["seed"], entry["actions"]
        except KeyError as error:
            raise InvalidRecordError(
                f"line {number} of the trace lacks {error}; record it again"
            ) from error
        actions = decision.handle(event, now, Random(seed))
        replayed = [loads(dumps(registry.encode(action))) for action in actions]
        if replayed != stated:
            return _find_difference(number, stated, replayed)
        count += 1
    return count


def _read_lines(lines: Iterable[bytes]) -> Iterator[tuple[int, dict[str, Any]]]:
    for number, line in enumerate(lines, start=1):
        if len(line) > MAX_LINE_BYTES:
            raise InvalidRecordError(
                f"line {number} of the trace has {len(line)} bytes, at most "
                f"{MAX_LINE_BYTES} are allowed; record it again"
            )
        try:
            yield number, loads(line)
        except JSONDecodeError as error:
            raise InvalidRecordError(
                f"line {number} of the trace is not JSON ({error}); record it again"
            ) from error


def _find_difference(
    line: int, stated: list[dict[str, Any]], replayed: list[dict[str, Any]]
) -> Difference:
    for expected, actual in zip(stated, replayed, strict=False):
        if expected != actual:
            return Difference(line, expected, actual)
    common = min(len(stated), len(replayed))
    return Difference(
        line,
        stated[common] if common < len(stated) else None,
        replayed[common] if common < len(replayed) else None,
    )
