"""Hooks of all tests."""

from __future__ import annotations

import gc

import pytest


@pytest.hookimpl(tryfirst=True)
def pytest_sessionfinish():
    """Run the finalizers of connections that tests left open.

    In CPython 3.11 a finalizer that prints a traceback while a module is parsed makes
    this raise SystemError, and plugins import modules for their summaries.
    """
    gc.collect()
