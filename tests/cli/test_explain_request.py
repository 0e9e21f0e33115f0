"""The command ``explain-request``."""

from __future__ import annotations

import pytest
from click.testing import CliRunner
from orjson import dumps, loads

from basilwick.cli.main import main


@pytest.fixture
def logs(tmp_path):
    first, second = tmp_path / "i0.log", tmp_path / "i1.log"
    answer = {
        "request": "q1",
        "service": "maps",
        "key": 5,
        "status": 503,
        "servers": [],
        "reason": "key has no live owner",
        "elapsed_ms": 3.0,
        "time": 100.0,
        "level": "INFO",
        "message": "request answered",
    }
    lost = {
        "service": "maps",
        "server": "m0",
        "first": 0,
        "last": 9,
        "result": "lost",
        "time": 99.0,
        "message": "order without effect",
    }
    first.write_bytes(b"Traceback of a library\n" + dumps(answer) + b"\n")
    repeated = {**lost, "time": 99.5}
    second.write_bytes(dumps(lost) + b"\n[1]\n" + dumps(repeated) + b"\n")
    return [str(first), str(second)]


def test_explains_a_request_from_the_logs_of_all_instances(logs):
    result = CliRunner().invoke(main, ["explain-request", "q1", *logs])
    assert result.exit_code == 0
    assert "reason=key has no live owner" in result.stdout
    assert result.stdout.count("order without effect") == 1
    assert "2 lines alike" in result.stdout
    assert "passed over 1 lines" in result.stderr


def test_json_contains_the_log_lines_unchanged(logs):
    result = CliRunner().invoke(main, ["explain-request", "q1", *logs, "--json"])
    report = loads(result.stdout)
    assert report["answers"][0]["request"] == "q1"
    assert report["events"][0]["server"] == "m0"


def test_an_unknown_request_ends_with_exit_code_5(logs):
    result = CliRunner().invoke(main, ["explain-request", "q9", *logs])
    assert result.exit_code == 5
    assert "log lines dropped" in result.stderr
