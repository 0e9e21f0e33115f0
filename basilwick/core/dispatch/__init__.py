"""Decisions about which backend server runs a request, and when."""
