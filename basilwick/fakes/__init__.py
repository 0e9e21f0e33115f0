"""Fakes of the platform, backend servers and callers, and a network fault proxy."""
