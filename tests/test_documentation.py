"""Pages that name tests and commands name existing ones."""

from __future__ import annotations

import gc
from ast import AsyncFunctionDef, FunctionDef, parse, walk
from functools import cache
from importlib.util import find_spec
from pathlib import Path
from re import findall

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [
    name for name in ("docs/proof.md", "docs/measurements.md", "docs/CAPACITY.md",
                 "docs/incidents.md", "docs/platform.md")
    if (ROOT / name).exists()
]  # fmt: skip


@cache
def _list_functions(path):
    # In CPython 3.11 a finalizer that prints a traceback while `parse` runs makes it
    # raise SystemError (recursion depth mismatch).
    gc.disable()
    try:
        tree = parse(path.read_text())
    finally:
        gc.enable()
    return {
        node.name
        for node in walk(tree)
        if isinstance(node, FunctionDef | AsyncFunctionDef)
    }


def _list_references(pattern):
    return sorted(
        {
            reference
            for page in PAGES
            for reference in findall(pattern, (ROOT / page).read_text())
        }
    )


@pytest.mark.parametrize("reference", _list_references(r"`(tests/[\w/.:]+)`"))
def test_named_tests_exist(reference):
    # Guards against a proof that points at a test which was renamed or removed.
    path, _, name = reference.partition("::")
    assert (ROOT / path).exists()
    if name:
        # Methods of test classes and state machines are written Class::name.
        assert name.split("::")[-1] in _list_functions(ROOT / path)


@pytest.mark.parametrize("module", _list_references(r"python -m (benchmarks\.\w+)"))
def test_named_benchmarks_exist(module):
    assert find_spec(module) is not None
