"""Logging through loguru, with a sink that writes lines in batches from a thread."""

from __future__ import annotations

import atexit
import sys
from collections import deque
from datetime import UTC, datetime
from threading import Event, Lock, Thread
from time import time
from traceback import format_exception, format_exception_only
from typing import TYPE_CHECKING, Any, BinaryIO, Literal

from loguru import logger
from orjson import dumps

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loguru import Message

__all__ = ["LineWriter", "close_logs", "configure_logs", "log_request_line"]

_FLUSH_INTERVAL_S = 0.1
#: Lines buffered while the reader of the stream is slow. Further lines are dropped and
#: counted, because a blocked reader must not delay requests or exhaust memory.
_MAX_HELD_LINES = 20_000
#: Lines about single requests accepted per second; further ones are dropped and
#: counted.
_MAX_DECISIONS_PER_S = 1_000
_WARNING_LEVEL_NO = 30
_REDACTED = "[redacted]"
#: Fields whose values grant access to anyone who reads them.
_SECRET_FIELDS = frozenset({"authorization", "mac", "secret", "shared_key", "token"})


class LineWriter:
    """Buffers log lines and writes them in batches from a thread.

    Encoding and writing a line cost more than the rest of a log call, and a write can
    block, so both run outside the event loop's thread.

    Parameters
    ----------
    stream : binary file
        Destination of the lines.
    line_format : {"json", "text"}
        Format of a line.
    secrets : iterable of str
        Texts that are redacted wherever they occur in a line.
    """

    def __init__(
        self,
        stream: BinaryIO,
        line_format: Literal["json", "text"],
        secrets: Iterable[str],
    ):
        self._stream = stream
        self._encode_format = _encode_json if line_format == "json" else _encode_text
        self._secret_texts = [
            text
            for secret in secrets
            if secret
            for text in {secret.encode(), dumps(secret)[1:-1]}
        ]
        # Callers append while the thread pops; a deque needs no lock for this.
        self._lines: deque[dict[str, Any]] = deque()
        self._lock = Lock()
        self._flush_requested = Event()
        self._closed = False
        self._dropped_count = 0
        self._current_second = 0
        self._request_lines = 0
        self.writes_request_lines = True
        self._thread = Thread(
            target=self._flush_until_closed, name="log-writer", daemon=True
        )
        self._thread.start()

    def add(self, line: dict[str, Any], *, urgent: bool = False) -> None:
        """Buffer a line; ``urgent`` writes it without waiting for the next batch."""
        if len(self._lines) >= _MAX_HELD_LINES:
            self._dropped_count += 1
            return
        self._lines.append(line)
        if self._closed:
            self.flush()
        elif urgent:
            self._flush_requested.set()

    def add_request_line(self, line: dict[str, Any]) -> None:
        """Buffer a line about a single request, up to a limit per second."""
        second = int(line["time"])
        if second != self._current_second:
            self._current_second = second
            self._request_lines = 0
        self._request_lines += 1
        if self._request_lines > _MAX_DECISIONS_PER_S:
            self._dropped_count += 1
        else:
            self.add(line)

    def add_message(self, message: Message) -> None:
        """Buffer a message of loguru."""
        record = message.record
        line = record["extra"] | {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "message": record["message"],
        }
        error = record["exception"]
        if error is not None:
            line["exception"] = "".join(format_exception(*error))
        self.add(line, urgent=record["level"].no >= _WARNING_LEVEL_NO)

    def flush(self) -> None:
        """Write all buffered lines."""
        with self._lock:
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            if self._dropped_count:
                lines.append(self._build_dropped_line())
            if not lines:
                return
            data = b"".join([self._encode(line) for line in lines])
            for secret in self._secret_texts:
                data = data.replace(secret, _REDACTED.encode())
            try:
                self._stream.write(data)
                self._stream.flush()
            except (OSError, ValueError):
                # The stream's reader is gone; the router keeps running.
                pass

    def _encode(self, line: dict[str, Any]) -> bytes:
        """Encode a line, or one in its place that tells why it can't be encoded.

        Fields have values of any kind, among them numbers and texts that callers and
        servers chose, and no value may end the thread.
        """
        try:
            return self._encode_format(line)
        except Exception as error:
            return self._encode_format(_build_replacement_line(line, error))

    def _build_dropped_line(self) -> dict[str, Any]:
        dropped, self._dropped_count = self._dropped_count, 0
        return {
            "dropped": dropped,
            "time": time(),
            "level": "WARNING",
            "message": "log lines dropped",
        }

    def close(self) -> None:
        """Write all buffered lines and end the thread."""
        self._closed = True
        self._flush_requested.set()
        self._thread.join()
        self.flush()

    def _flush_until_closed(self) -> None:
        while not self._closed:
            self._flush_requested.wait(_FLUSH_INTERVAL_S)
            self._flush_requested.clear()
            self.flush()


_writer: LineWriter | None = None


def configure_logs(
    stream: BinaryIO | None = None,
    *,
    line_format: Literal["json", "text"] = "json",
    level: str = "INFO",
    secrets: Iterable[str] = (),
) -> LineWriter:
    """Write all log lines to a stream, by default standard error.

    Parameters
    ----------
    stream : binary file, optional
        Destination of the lines.
    line_format : {"json", "text"}
        Whether a line is a JSON object or plain text.
    level : str
        Lowest level that is written.
    secrets : iterable of str
        Texts that are redacted in every line, such as the shared key.
    """
    global _writer
    close_logs()
    _writer = LineWriter(stream or sys.stderr.buffer, line_format, secrets)
    _writer.writes_request_lines = logger.level(level).no <= logger.level("INFO").no
    logger.remove()
    # The sink formats lines itself. Tracebacks with variable values could show secrets.
    logger.add(
        _writer.add_message,
        level=level,
        format=lambda record: "",
        backtrace=False,
        diagnose=False,
    )
    return _writer


@atexit.register
def close_logs() -> None:
    """Write all buffered lines and stop logging."""
    global _writer
    if _writer is not None:
        logger.remove()
        _writer.close()
        _writer = None


def log_request_line(message: str, **fields: Any) -> None:
    """Log a line about a single request, at level INFO.

    loguru spends most of its time on inspecting the calling frame, which these lines do
    not need, so they go to the writer directly. Without ``configure_logs`` they go
    through loguru.
    """
    if _writer is None:
        logger.info(message, **fields)
        return
    if not _writer.writes_request_lines:
        return
    fields["time"] = time()
    fields["level"] = "INFO"
    fields["message"] = message
    _writer.add_request_line(fields)


def _redact(line: dict[str, Any]) -> None:
    for name in _SECRET_FIELDS.intersection(line):
        line[name] = _REDACTED


def _build_replacement_line(line: dict[str, Any], error: Exception) -> dict[str, Any]:
    """Return a line that any format can encode, in place of one that none can."""
    replacement: dict[str, Any] = {
        "fields": sorted(_escape(str(name)) for name in line),
        "error": _escape(format_exception_only(error)[-1].strip()),
        "time": time(),
        "level": "ERROR",
        "message": "log line can't be encoded",
    }
    message = line.get("message")
    if isinstance(message, str):
        replacement["line"] = _escape(message)
    return replacement


def _escape(text: str) -> str:
    """Return a text with escapes for all characters that UTF-8 may not have."""
    return text.encode("utf-8", "backslashreplace").decode()


def _encode_json(line: dict[str, Any]) -> bytes:
    _redact(line)
    return dumps(line, default=str) + b"\n"


def _encode_text(line: dict[str, Any]) -> bytes:
    _redact(line)
    fields = line.copy()
    written_at = datetime.fromtimestamp(fields.pop("time"), UTC).isoformat(
        timespec="milliseconds"
    )
    error = fields.pop("exception", "")
    parts = [written_at, fields.pop("level"), fields.pop("message")]
    parts += [f"{name}={value}" for name, value in fields.items()]
    return " ".join(parts).encode() + b"\n" + error.encode()
