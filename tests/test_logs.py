"""Log lines are written or counted as dropped, and contain no secrets."""

from __future__ import annotations

from io import BytesIO
from threading import Event
from time import monotonic, sleep

import pytest
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


class UnprintableValue:
    """Value without a text."""

    def __str__(self):
        raise RuntimeError("no text")

    __repr__ = __str__


@pytest.mark.parametrize("line_format", ["json", "text"])
@pytest.mark.parametrize(
    "value",
    [10**30, -(10**30), 10**5000, "\ud800", UnprintableValue(), {1: {(): 1}}],
    ids=["integer", "negative", "digits", "surrogate", "unprintable", "nested keys"],
)
def test_a_line_that_cannot_be_encoded_does_not_end_the_writer(line_format, value):
    # Guards against a field that ends the writer's thread, after which no line is
    # written for the rest of the process's life.
    stream = BytesIO()
    writer = configure_logs(stream, line_format=line_format)
    log_request_line("request answered", request="a", time_left_ms=value)
    logger.bind(odd=value).warning("odd value")
    writer.flush()
    log_request_line("request answered", request="b")
    close_logs()
    lines = stream.getvalue().splitlines()
    assert len(lines) == 3
    assert b"request answered" in lines[0] and b"time_left_ms" in lines[0]
    assert b"odd value" in lines[1] and b"odd" in lines[1]
    assert b"request answered" in lines[2] and b"line can't be encoded" not in lines[2]


def test_the_replacement_of_a_line_names_its_fields_and_the_error():
    # Guards against a replacement from which the failing call can't be found, and one
    # that shows a secret.
    stream = BytesIO()
    configure_logs(stream, secrets=["s-key"])
    log_request_line("answered s-key", token="tok-en", left=10**30)
    close_logs()
    line = loads(stream.getvalue())
    assert line["message"] == "log line can't be encoded"
    assert line["level"] == "ERROR"
    assert line["fields"] == ["left", "level", "message", "time", "token"]
    assert "64-bit" in line["error"]
    assert line["line"] == "answered [redacted]"
    assert b"tok-en" not in stream.getvalue()


def test_the_writer_thread_survives_a_field_of_any_kind():
    # Guards against a thread that has ended while the process goes on.
    stream = BytesIO()
    writer = configure_logs(stream)
    log_request_line("request answered", time_left_ms=10**30)
    for _ in range(200):
        if stream.getvalue():
            break
        sleep(0.01)
    assert writer._thread.is_alive()
    close_logs()
    assert b"log line can't be encoded" in stream.getvalue()
