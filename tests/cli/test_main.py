"""Exit codes and output of the commands that read settings."""

from __future__ import annotations

import pytest
from click.testing import CliRunner
from orjson import loads

from basilwick.cli.main import main


@pytest.mark.parametrize("command", ["check", "serve"])
def test_invalid_settings_end_with_exit_code_2(tmp_path, command):
    # Guards against an instance that starts with invalid settings, and against an exit
    # code that scripts can't distinguish from another failure.
    path = tmp_path / "a.toml"
    path.write_text('[instance]\nname = "a b"\n')
    result = CliRunner().invoke(main, [command, str(path)])
    assert result.exit_code == 2
    assert result.stderr.count(str(path)) == 4
    assert "instance.name: got 'a b'" in result.stderr


def test_check_reports_faults_as_json(tmp_path):
    result = CliRunner().invoke(main, ["check", str(tmp_path / "none"), "--json"])
    assert result.exit_code == 2
    assert "can't be read" in loads(result.stdout)["faults"][0]
