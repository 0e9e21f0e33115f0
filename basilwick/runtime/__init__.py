"""Processes: sockets and timers around the decision objects."""
