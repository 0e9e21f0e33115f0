"""Log lines must be complete and free of secrets."""

from __future__ import annotations

from io import BytesIO

from loguru import logger
from orjson import loads

from basilwick.logs import close_logs, configure_logs, log_decision


def test_no_line_is_dropped_when_more_lines_come_than_are_held():
    # Guards against a bounded buffer that loses lines, and a close that forgets some.
    stream = BytesIO()
    configure_logs(stream)
    for number in range(50_000):
        log_decision("routed", number=number)
    logger.info("last")
    close_logs()
    lines = [loads(line) for line in stream.getvalue().splitlines()]
    assert [line.get("number") for line in lines] == [*range(50_000), None]


def test_secrets_are_replaced_in_fields_messages_and_tracebacks():
    # Guards against the shared key or a caller's token in the logs.
    for form in ("json", "text"):
        stream = BytesIO()
        configure_logs(stream, form=form, secrets=['key-"1"'])
        log_decision("routed", token="tok-en", service="clue")
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


def test_decisions_obey_the_level():
    # Guards against lines about every request when only warnings are asked for.
    stream = BytesIO()
    configure_logs(stream, level="WARNING")
    log_decision("routed")
    logger.warning("slow")
    close_logs()
    assert [loads(line)["message"] for line in stream.getvalue().splitlines()] == [
        "slow"
    ]
