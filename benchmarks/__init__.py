"""Measurements with real processes; each module is one command."""
