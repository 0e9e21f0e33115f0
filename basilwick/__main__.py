"""Runs the program with ``python -m basilwick``."""

from __future__ import annotations

import sys

from basilwick.cli.process_signals import process_signals

#: Command that gets signals of the platform from the first moment of its process.
_JOIN_COMMAND = "join"

if __name__ == "__main__":
    if sys.argv[1:2] == [_JOIN_COMMAND]:
        process_signals.hold_stops()
        process_signals.hold_hangups()
    # The imports of the command line take a large part of the start.
    from basilwick.cli.main import main

    main(prog_name="basilwick")
