"""Patches between versions of a large value."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from orjson import dumps

from basilwick.core.dispatch.value_patch import apply_patch, make_patch

pieces = st.lists(st.sampled_from([b"a", b"{", b"{b}", b"\n", b"{c:1},", b""]))


@given(pieces, pieces)
def test_a_patch_restores_every_value(base, value):
    base, value = b"".join(base), b"".join(value)
    assert apply_patch(base, make_patch(base, value)) == value


def make_document(version, changed):
    routes = [{"name": n, "spec": {"host": f"h{n % 7}", "to": n}} for n in range(1000)]
    routes[changed]["spec"]["to"] = -1
    return dumps({"version": version, "routes": routes})


@pytest.mark.parametrize("changed", [0, 500, 999])
def test_a_patch_of_one_changed_entry_is_small(changed):
    """Each version of a large configuration was sent to each instance as a whole."""
    base, value = make_document(1, 3), make_document(2, changed)
    patch = make_patch(base, value)
    assert apply_patch(base, patch) == value
    assert len(patch) < 400 < len(value) / 100


@pytest.mark.parametrize(
    "patch",
    [
        b"",
        b"4",
        b"[4]\nab",
        b"[[0,9]]\n",
        b"[[-1,1]]\n",
        b'["a"]\n',
        b"[[1]]\n",
        b"[null]\n",
        b"[]",
    ],
)
def test_an_invalid_patch_is_rejected(patch):
    with pytest.raises(ValueError, match="invalid patch"):
        apply_patch(b"{a}{b}", patch)
