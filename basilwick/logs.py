"""Logging set-up: loguru with a sink that writes lines in batches."""

from __future__ import annotations

import atexit
import sys
from collections import deque
from datetime import UTC, datetime
from threading import Event, Lock, Thread
from time import time
from traceback import format_exception
from typing import TYPE_CHECKING, Any, BinaryIO, Literal

from loguru import logger
from orjson import dumps

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loguru import Message

__all__ = ["LineWriter", "close_logs", "configure_logs", "log_decision"]

_FLUSH_INTERVAL_S = 0.1
#: Lines held for a slow reader. Further ones are dropped and counted, because a stuck
#: reader must not delay requests or take the instance's memory.
_MAX_HELD_LINES = 20_000
#: Lines about single requests taken in a second; further ones are dropped and counted.
_MAX_DECISIONS_PER_S = 1_000
_WARNING_NUMBER = 30
_REDACTED = "[redacted]"
#: Fields whose values give rights to whoever reads them.
_SECRET_FIELDS = frozenset({"authorization", "mac", "secret", "shared_key", "token"})


class LineWriter:
    """Collects log lines and writes them in batches from a thread.

    Building JSON and writing cost more than the rest of a log call, and a write can
    block, so both happen outside the event loop's thread.

    Parameters
    ----------
    stream : binary file
        Where lines go.
    form : {"json", "text"}
        Form of a line.
    secrets : iterable of str
        Texts replaced wherever they occur in a line.
    """

    def __init__(
        self, stream: BinaryIO, form: Literal["json", "text"], secrets: Iterable[str]
    ):
        self._stream = stream
        self._encode = _encode_json if form == "json" else _encode_text
        self._secrets = [
            text
            for secret in secrets
            if secret
            for text in {secret.encode(), dumps(secret)[1:-1]}
        ]
        # A deque, because the caller's append and the thread's removal need no lock.
        self._lines: deque[dict[str, Any]] = deque()
        self._lock = Lock()
        self._wake = Event()
        self._closed = False
        self._dropped = 0
        self._second = 0
        self._decisions = 0
        self.takes_decisions = True
        self._thread = Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    def add(self, line: dict[str, Any], *, urgent: bool = False) -> None:
        """Take a line; ``urgent`` has it written without waiting for a batch."""
        if len(self._lines) >= _MAX_HELD_LINES:
            self._dropped += 1
            return
        self._lines.append(line)
        if self._closed:
            self.flush()
        elif urgent:
            self._wake.set()

    def add_decision(self, line: dict[str, Any]) -> None:
        """Take a line about a single request, unless too many came in this second."""
        second = int(line["time"])
        if second != self._second:
            self._second = second
            self._decisions = 0
        self._decisions += 1
        if self._decisions > _MAX_DECISIONS_PER_S:
            self._dropped += 1
        else:
            self.add(line)

    def take_message(self, message: Message) -> None:
        """Take a line from loguru."""
        record = message.record
        line = record["extra"] | {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "message": record["message"],
        }
        error = record["exception"]
        if error is not None:
            line["exception"] = "".join(format_exception(*error))
        self.add(line, urgent=record["level"].no >= _WARNING_NUMBER)

    def flush(self) -> None:
        """Write all lines taken so far."""
        with self._lock:
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            if self._dropped:
                lines.append(self._take_dropped())
            if not lines:
                return
            data = b"".join([self._encode(line) for line in lines])
            for secret in self._secrets:
                data = data.replace(secret, _REDACTED.encode())
            try:
                self._stream.write(data)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader of the stream is gone; a router must not stop for that.
                pass

    def _take_dropped(self) -> dict[str, Any]:
        dropped, self._dropped = self._dropped, 0
        return {
            "dropped": dropped,
            "time": time(),
            "level": "WARNING",
            "message": "log lines dropped",
        }

    def close(self) -> None:
        """Write all lines and end the thread."""
        self._closed = True
        self._wake.set()
        self._thread.join()
        self.flush()

    def _run(self) -> None:
        while not self._closed:
            self._wake.wait(_FLUSH_INTERVAL_S)
            self._wake.clear()
            self.flush()


_writer: LineWriter | None = None


def configure_logs(
    stream: BinaryIO | None = None,
    *,
    form: Literal["json", "text"] = "json",
    level: str = "INFO",
    secrets: Iterable[str] = (),
) -> LineWriter:
    """Send all log lines to a stream, standard error when none is given.

    Parameters
    ----------
    stream : binary file, optional
        Where lines go.
    form : {"json", "text"}
        One JSON object or one line of text for each.
    level : str
        Lowest level written.
    secrets : iterable of str
        Texts that no line may contain, such as the shared key.
    """
    global _writer
    close_logs()
    _writer = LineWriter(stream or sys.stderr.buffer, form, secrets)
    _writer.takes_decisions = logger.level(level).no <= logger.level("INFO").no
    logger.remove()
    # The sink formats by itself. Tracebacks with variable values could show secrets.
    logger.add(
        _writer.take_message,
        level=level,
        format=lambda record: "",
        backtrace=False,
        diagnose=False,
    )
    return _writer


@atexit.register
def close_logs() -> None:
    """Write what is held and stop logging."""
    global _writer
    if _writer is not None:
        logger.remove()
        _writer.close()
        _writer = None


def log_decision(message: str, **fields: Any) -> None:
    """Log a decision made for a single request, at level INFO.

    loguru spends most of its time on facts about the calling frame that these lines do
    not need, so they go to the writer directly. Without ``configure_logs`` they take
    the usual way through loguru.
    """
    if _writer is None:
        logger.info(message, **fields)
        return
    if not _writer.takes_decisions:
        return
    fields["time"] = time()
    fields["level"] = "INFO"
    fields["message"] = message
    _writer.add_decision(fields)


def _redact(line: dict[str, Any]) -> None:
    for name in _SECRET_FIELDS.intersection(line):
        line[name] = _REDACTED


def _encode_json(line: dict[str, Any]) -> bytes:
    _redact(line)
    return dumps(line, default=str) + b"\n"


def _encode_text(line: dict[str, Any]) -> bytes:
    _redact(line)
    at = datetime.fromtimestamp(line.pop("time"), UTC).isoformat(
        timespec="milliseconds"
    )
    error = line.pop("exception", "")
    words = [at, line.pop("level"), line.pop("message")]
    words += [f"{name}={value}" for name, value in line.items()]
    return " ".join(words).encode() + b"\n" + error.encode()
