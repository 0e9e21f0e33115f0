"""Helpers and assertions that tests share."""

from __future__ import annotations

from basilwick.testing.ownership import (
    RevisionCheck,
    assert_acknowledged_writes_kept,
    assert_one_right,
    list_rights,
)
from basilwick.testing.processes import (
    ManagedProcess,
    ProcessGroup,
    assert_answer_belongs,
    assert_at_most_once,
    assert_one_owner,
    find_overlapping_owners,
    find_repeated_runs,
    run_processes,
    take_ports,
    wait_for_port,
    write_settings,
)

__all__ = [
    "ManagedProcess",
    "ProcessGroup",
    "RevisionCheck",
    "assert_acknowledged_writes_kept",
    "assert_answer_belongs",
    "assert_at_most_once",
    "assert_one_owner",
    "assert_one_right",
    "find_overlapping_owners",
    "find_repeated_runs",
    "list_rights",
    "run_processes",
    "take_ports",
    "wait_for_port",
    "write_settings",
]
