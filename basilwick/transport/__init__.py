"""Connections to callers, backend servers and other instances."""
