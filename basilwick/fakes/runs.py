"""Record of the operations that a fake backend server executed."""

from __future__ import annotations

from collections import Counter
from io import FileIO
from time import monotonic
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen
from orjson import dumps, loads

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Run", "RunRecord", "read_runs"]


@frozen
class Run:
    """One execution of an operation on a server.

    Attributes
    ----------
    at : float
        Start of the run on the monotonic clock, which all processes of a machine share.
    server : str
        Name of the server.
    shard : str
        Service and shard as given in the request.
    key : str
        Key of the request.
    fence : int
        Fencing token of the request, 0 if it had none.
    token : str
        Token of an at-most-once operation, otherwise empty.
    """

    at: float
    server: str
    shard: str
    key: str
    fence: int
    token: str

    def encode(self) -> bytes:
        """Return the run as one line of JSON."""
        fields = [self.at, self.server, self.shard, self.key, self.fence, self.token]
        return dumps(fields) + b"\n"


def read_runs(path: Path) -> list[Run]:
    """Read the runs in a file, without a last line that a process kill truncated."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")
    return [Run(*loads(line)) for line in lines[:-1] if line]


@define
class RunRecord:
    """Runs of one server, in memory and optionally in a file.

    Attributes
    ----------
    by_token : Counter of str
        Number of runs of each token, including those before a restart.
    runs : list of Run
        All runs in the order of their start.
    """

    server: str
    path: Path | None = None
    by_token: Counter[str] = field(factory=Counter)
    runs: list[Run] = field(factory=list)
    _file: FileIO | None = None

    def open(self) -> None:
        """Load the runs of an earlier process and open the file for appending."""
        if self.path is None:
            return
        if not self.runs:
            for run in read_runs(self.path):
                self._append(run)
        self._file = FileIO(self.path, "ab")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def add(self, shard: str, key: str, fence: int, token: str) -> Run:
        """Record a run that starts now; it is in the file before it takes effect."""
        run = Run(monotonic(), self.server, shard, key, fence, token)
        if self._file is not None:
            self._file.write(run.encode())
        self._append(run)
        return run

    def describe(self) -> dict[str, Any]:
        """Return the body of ``GET /runs``: all runs and their number by token."""
        return {
            "by_token": dict(self.by_token),
            "runs": [loads(run.encode()) for run in self.runs],
        }

    def _append(self, run: Run) -> None:
        self.runs.append(run)
        if run.token:
            self.by_token[run.token] += 1
