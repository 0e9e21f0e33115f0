"""Runs the program with ``python -m basilwick``."""

from __future__ import annotations

from basilwick.cli.main import main

if __name__ == "__main__":
    main(prog_name="basilwick")
