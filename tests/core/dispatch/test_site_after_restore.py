"""A view of the site does not go back to what a copy of the service says."""

from __future__ import annotations

import pytest
from attrs import evolve

from basilwick.core.dispatch.site import ServerEntry, SiteView

READY = ServerEntry("s", "maps", "10.0.0.1:80", "a", 4, False, 0.0, 1000, 7)
LEAVING = evolve(READY, leaving=True, sequence=9)


@pytest.fixture
def view():
    view = SiteView()
    view.apply_server(READY, 0.0)
    return view


def test_a_leaving_server_is_not_used_again_for_an_earlier_registration(view):
    """DRAIN: a server got requests after it had said that it leaves."""
    view.apply_server(LEAVING, 1.0)
    assert not view.apply_server(evolve(READY, sequence=8), 2.0)
    assert not view.is_usable("s")
    assert view.apply_server(evolve(READY, sequence=10), 3.0)
    assert view.is_usable("s")


def test_a_server_that_left_is_not_used_again_for_an_earlier_registration(view):
    view.apply_server(LEAVING, 1.0)
    view.remove_server("s", 2.0)
    view.remove_expired_servers(2.0)
    assert not view.apply_server(READY, 3.0)
    assert view.get_server("s") is None


@pytest.mark.parametrize(
    "entry",
    [
        evolve(READY, sequence=10),
        evolve(READY, started_ms=2000, sequence=1),
        evolve(READY, sequence=0),
    ],
)
def test_a_server_that_writes_again_is_used(view, entry):
    """Its next registration, another process, and one without a sequence."""
    view.apply_server(LEAVING, 1.0)
    view.remove_server("s", 2.0)
    view.remove_expired_servers(2.0)
    assert view.apply_server(entry, 3.0)
    assert view.is_usable("s")


def test_a_registration_that_only_counts_on_changes_nothing(view):
    version = view.version
    assert not view.apply_server(evolve(READY, sequence=8), 1.0)
    assert view.version == version


def test_an_earlier_process_does_not_replace_a_later_one_after_a_return(view):
    later = evolve(READY, started_ms=2000, sequence=1)
    view.apply_server(later, 1.0)
    view.record_platform_recovery(10.0)
    assert not view.apply_server(evolve(READY, address="10.0.0.9:80"), 10.1)
    assert view.get_server("s") == later


def test_removed_servers_are_not_remembered_without_end(view):
    for number in range(5000):
        view.apply_server(evolve(READY, name=f"s{number}"), 0.0)
        view.remove_server(f"s{number}", 0.0)
        view.remove_expired_servers(0.0)
    assert len(view._removed_servers) <= 2000


@pytest.mark.parametrize("written_again", [True, False])
def test_a_data_centre_out_is_used_again_only_if_nobody_takes_it_out(
    view, written_again
):
    view.set_data_centre_out("a", True, 5.0)
    view.record_platform_recovery(10.0)
    view.retain_data_centres_out(set(), 10.1)
    assert view.take_back_due(11.9) == []
    if written_again:
        view.set_data_centre_out("a", True, 11.9)
    assert view.take_back_due(12.1) == ([] if written_again else ["a"])
    assert view.data_centres_out == ({"a"} if written_again else set())


def test_a_data_centre_that_is_taken_back_is_used_at_once(view):
    view.set_data_centre_out("a", True, 5.0)
    view.record_platform_recovery(10.0)
    view.retain_data_centres_out(set(), 10.1)
    view.set_data_centre_out("a", False, 10.2)
    assert view.data_centres_out == set()
    assert view.take_back_due(20.0) == []
