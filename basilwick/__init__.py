"""Router for backend servers that each own a set of keys exclusively."""

from __future__ import annotations

from basilwick.runtime.instance import Instance
from basilwick.settings import Settings, load_settings

__all__ = ["Instance", "Settings", "load_settings"]
