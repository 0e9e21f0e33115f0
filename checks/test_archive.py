"""Checks of the one-file archive that ``make archive`` builds.

They are no part of ``make test``, because building the archive needs the package
registry. ``make check-archive`` runs them.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path
from shutil import which

_ARCHIVE = Path(__file__).parents[1] / "dist" / "basilwick"
#: The directory can be a file system in memory, and an instance should stay within
#: 128 MB; half of that for the unpacked program leaves the rest for the process.
_MAX_UNPACKED_BYTES = 64_000_000
_TRACED = "clone,clone3,fork,vfork,execve,io_uring_setup"


def _run_traced(tmp_path, *arguments):
    # The interpreter itself rather than a shim that starts it.
    interpreter = Path(sys._base_executable).resolve()
    strace = which("strace")
    assert strace is not None, "install strace to run this check"
    trace = tmp_path / "trace"
    unpacked = tmp_path / "unpacked"
    result = subprocess.run(
        [
            strace, "-f", "--seccomp-bpf", "-e", f"trace={_TRACED}", "-o", trace,
            interpreter, _ARCHIVE, *arguments,
        ],
        # Nobody can create files below /proc, not even a privileged user.
        env={"HOME": "/proc", "SHIV_ROOT": str(unpacked), "TMPDIR": str(unpacked)},
        cwd="/",
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )  # fmt: skip
    return result, trace.read_text(), unpacked


def test_demo_runs_in_one_process_without_io_uring(tmp_path):
    # Guards against an archive, or a library in it, that starts a second process or
    # uses io_uring, and against one that needs to write outside its directory.
    result, trace, unpacked = _run_traced(tmp_path, "demo")
    assert result.returncode == 0, result.stdout + result.stderr
    calls = re.findall(r"^\d+ +(\w+)\((.*)$", trace, re.MULTILINE)
    assert [name for name, _ in calls].count("execve") == 1, trace
    others = [
        (name, arguments)
        for name, arguments in calls
        if name != "execve" and "CLONE_THREAD" not in arguments
    ]
    assert others == [], others
    assert "io_uring" not in trace
    used = sum(p.stat().st_size for p in unpacked.rglob("*") if p.is_file())
    assert used <= _MAX_UNPACKED_BYTES, f"{used} bytes unpacked"
