"""Log lines are written or counted as dropped, and contain no secrets."""

from __future__ import annotations

from io import BytesIO
from threading import Event
from time import monotonic

from loguru import logger
from orjson import loads

from basilwick.logs import close_logs, configure_logs, log_request_line


def test_every_line_is_written_or_counted_as_dropped():
    # Guards against a bounded buffer that drops lines without counting them, and a
    # close that leaves lines unwritten.
    stream = BytesIO()
    configure_logs(stream)
    for number in range(50_000):
        log_request_line("routed", number=number)
    logger.info("last")
    close_logs()
    lines = [loads(line) for line in stream.getvalue().splitlines()]
    written = [line["number"] for line in lines if "number" in line]
    dropped = sum(line.get("dropped", 0) for line in lines)
    assert written == sorted(set(written))
    assert len(written) + dropped == 50_000
    assert "last" in [line["message"] for line in lines]


def test_secrets_are_redacted_in_fields_messages_and_tracebacks():
    # Guards against logging the shared key or a caller's token.
    for line_format in ("json", "text"):
        stream = BytesIO()
        configure_logs(stream, line_format=line_format, secrets=['key-"1"'])
        log_request_line("routed", token="tok-en", service="clue")
        try:
            key = 'key-"1"'
            raise ValueError(f"bad {key}")
        except ValueError:
            logger.exception('failed with key-"1"')
        close_logs()
        text = stream.getvalue().decode()
        assert "service" in text and "ValueError" in text
        assert "tok-en" not in text
        assert 'key-"1"' not in text and 'key-\\"1\\"' not in text


def test_request_lines_follow_the_log_level():
    # Guards against request lines, which bypass loguru, at level WARNING.
    stream = BytesIO()
    configure_logs(stream, level="WARNING")
    log_request_line("routed")
    logger.warning("slow")
    close_logs()
    assert [loads(line)["message"] for line in stream.getvalue().splitlines()] == [
        "slow"
    ]


class BlockedStream:
    """Stream whose writes block until it is released."""

    def __init__(self):
        self.released = Event()
        self.data = b""

    def write(self, data):
        self.released.wait(10)
        self.data += data

    def flush(self):
        pass


def test_a_blocked_stream_does_not_delay_a_log_call(monkeypatch):
    # Guards against a full buffer that the logging caller itself writes out, so that a
    # blocked stream stops the event loop.
    monkeypatch.setattr("basilwick.logs._MAX_HELD_LINES", 100)
    monkeypatch.setattr("basilwick.logs._MAX_DECISIONS_PER_S", 10_000)
    stream = BlockedStream()
    writer = configure_logs(stream)
    started_at = monotonic()
    for number in range(1000):
        log_request_line("request answered", request=str(number))
    assert monotonic() - started_at < 1.0
    stream.released.set()
    writer.flush()
    close_logs()
    lines = [loads(line) for line in stream.data.splitlines()]
    dropped = sum(line.get("dropped", 0) for line in lines)
    kept = sum(line["message"] == "request answered" for line in lines)
    assert dropped + kept == 1000
    assert dropped


def test_request_lines_per_second_are_limited(monkeypatch):
    monkeypatch.setattr("basilwick.logs._MAX_DECISIONS_PER_S", 50)
    monkeypatch.setattr("basilwick.logs.time", lambda: 1000.5)
    stream = BytesIO()
    configure_logs(stream)
    for number in range(200):
        log_request_line("request answered", request=str(number))
    close_logs()
    lines = [loads(line) for line in stream.getvalue().splitlines()]
    assert sum(line["message"] == "request answered" for line in lines) == 50
    assert sum(line.get("dropped", 0) for line in lines) == 150
