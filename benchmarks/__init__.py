"""Measurements, each one command."""
