"""Every fault of a settings file is reported before anything starts."""

from __future__ import annotations

import pytest

from basilwick.settings import InvalidSettingsError, describe_settings, load_settings

VALID = """
[instance]
name = "a-1"
data_centre = "dc-a"
[listen]
caller = "0.0.0.0:8000"
forward = "127.0.0.1:8001"
peer = "127.0.0.1:8002"
admin = "127.0.0.1:8003"
[platform]
address = "127.0.0.1:7000"
"""


def _load_text(tmp_path, text):
    path = tmp_path / "a.toml"
    path.write_text(text)
    return load_settings(path)


def _find_faults(tmp_path, text):
    with pytest.raises(InvalidSettingsError) as caught:
        _load_text(tmp_path, text)
    return [fault.partition("a.toml: ")[2] for fault in caught.value.faults]


def test_omitted_sections_get_defaults(tmp_path):
    settings = _load_text(tmp_path, VALID)
    assert settings.peers.seeds == ()
    assert settings.limits.max_key_bytes == 512


def test_all_faults_of_a_file_are_reported_with_key_and_allowed_values(tmp_path):
    # Guards against a misspelled name that silently leaves a limit at its default, and
    # against a report of only one fault per start attempt.
    text = VALID.replace("127.0.0.1:8002", "localhost:8002") + (
        '[limits]\nmax_body_byte = 5\nqueue_length = -1\nshutdown_s = "5"\n'
        '[logs]\njson = "false"\nlevel = "loud"\n'
        '[peers]\nseeds = ["127.0.0.1:1", "127.0.0.1:1", "h:2"]\n'
        "[extra]\n"
    )
    faults = _find_faults(tmp_path, text)
    expected = [
        "listen.peer: got 'localhost:8002'; allowed: an IP number",
        "limits.queue_length: got -1; allowed: an integer from 0 to 10000",
        "limits.shutdown_s: got '5'; allowed: a number",
        "limits: unknown name 'max_body_byte'; allowed: max_body_bytes",
        "logs.json: got 'false'; allowed: true or false",
        "logs.level: got 'loud'; allowed: trace",
        "peers.seeds[2]: got 'h:2'",
        "peers.seeds: got '127.0.0.1:1' more than once",
        "unknown name 'extra'; allowed: instance",
    ]
    for prefix in expected:
        assert any(fault.startswith(prefix) for fault in faults), (prefix, faults)
    assert len(faults) == len(expected)


@pytest.mark.parametrize("port", [8000, 8001])
def test_two_listeners_on_one_address_are_refused(tmp_path, port):
    # Guards against a start that fails after some listeners are open. 0.0.0.0 binds its
    # port on all IP numbers.
    text = VALID.replace("127.0.0.1:8003", f"127.0.0.1:{port}")
    (fault,) = _find_faults(tmp_path, text)
    assert fault.startswith("listen.admin: got")


@pytest.mark.parametrize("key", ['"short"', '"sechzehn-zeichen-ö"', "7"])
def test_unusable_shared_key_is_refused_and_never_shown(tmp_path, key):
    # Guards against a key that can be guessed, and against a key in the logs.
    text = f"{VALID}[security]\nshared_key = {key}\n"
    (fault,) = _find_faults(tmp_path, text)
    assert fault.startswith("security.shared_key: not usable; allowed")
    settings = _load_text(tmp_path, f'{VALID}[security]\nshared_key = "{"k" * 16}"\n')
    assert "kkk" not in f"{settings} {describe_settings(settings)}"


def test_missing_values_and_unreadable_files_raise_invalid_settings(tmp_path):
    # Guards against a traceback where a message should name the file.
    faults = _find_faults(tmp_path, '[instance]\nname = "a"\n')
    assert "instance.data_centre: required value is missing" in faults
    assert "listen: required value is missing" in faults
    (fault,) = _find_faults(tmp_path, "[instance\n")
    assert fault.startswith("can't be read as TOML")
    with pytest.raises(InvalidSettingsError, match="can't be read"):
        load_settings(tmp_path / "none.toml")
