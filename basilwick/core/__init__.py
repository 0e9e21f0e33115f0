"""Decisions without I/O: they take messages, a clock reading and a generator."""
