"""The capacity page and the script that works it out."""

from __future__ import annotations

from pathlib import Path

from benchmarks.capacity import renew_page

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def test_page_agrees_with_the_script():
    # Guards against tables that were not renewed after a new measurement.
    page = PAGE.read_text()
    assert renew_page(page) == page
