"""Router for backend servers that each own a set of keys exclusively."""

from __future__ import annotations

from importlib import import_module
from typing import Any

__all__ = ["Instance", "Settings", "load_settings"]

#: Where the public names are defined. They are imported at their first use, because an
#: instance on the platform needs a fraction of the modules and pays for its memory.
_MODULES = {
    "Instance": "basilwick.runtime.instance",
    "Settings": "basilwick.settings",
    "load_settings": "basilwick.settings",
}


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name]), name)
