"""Servers that leave or want no requests, as their responses state."""

from __future__ import annotations

from random import Random

import pytest
from attrs import evolve

from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.dispatch.messages import (
    Assigned,
    DispatchRequest,
    LeavingReport,
    Refused,
    SendFinished,
    SendOutcome,
)
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.server_statements import LeavingServer, ServerStatements
from basilwick.core.dispatch.site import (
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)

SERVER = ServerEntry("s", "maps", "10.0.0.1:80", "a", 4, False, 0.0, 1000)


class FixedOwner:
    def find_owner(self, service, key, now):
        return KeyOwner("s")


@pytest.fixture
def view():
    view = SiteView()
    specs = {
        name: ServiceSpec(name, "/", 10, 0.0, 9.0, partitioned=name == "keyed")
        for name in ("maps", "keyed")
    }
    view.apply_configuration(SiteConfiguration(1, (), specs))
    view.apply_server(SERVER, 0.0)
    view.apply_server(evolve(SERVER, name="t"), 0.0)
    return view


@pytest.fixture
def dispatcher(view):
    return Dispatcher(view, FixedOwner(), RetryBudget(0.2, 9, 10.0), {}, Random(1))


def make_request(number, service="maps", **fields):
    return DispatchRequest(number, service, 4, 1, 0.5, 2.0, **fields)


def test_only_another_process_ends_leaving(view):
    assert view.record_leaving("s")
    assert not view.record_leaving("s")
    view.apply_server(evolve(SERVER, sequence=5), 1.0)
    assert not view.is_usable("s")
    assert not view.may_send("s", 1.0)
    assert [server.name for server in view.list_servers("maps")] == ["t"]
    view.apply_server(evolve(SERVER, started_ms=2000), 2.0)
    assert view.may_send("s", 2.0)


def test_a_leaving_server_that_registers_again_after_its_removal_is_not_used(view):
    view.record_leaving("s")
    view.remove_server("s", 1.0)
    view.remove_expired_servers(1.0)
    view.apply_server(evolve(SERVER, sequence=9), 2.0)
    assert not view.is_usable("s")


def test_a_report_about_an_earlier_process_does_not_stop_a_later_one(view):
    view.apply_server(evolve(SERVER, started_ms=2000), 1.0)
    view.apply_leaving(LeavingServer("s", 1000))
    assert view.is_usable("s")


def test_a_pause_ends_with_its_time_or_its_process(view):
    assert view.record_pause("s", 2.0, 10.0)
    assert not view.record_pause("s", 0.5, 11.0)
    assert view.list_pauses(11.0) == {"s": 1.0}
    assert not view.may_send("s", 11.9)
    assert view.may_send("s", 12.0)
    view.record_pause("s", 5.0, 20.0)
    view.apply_server(evolve(SERVER, started_ms=2000), 21.0)
    assert view.may_send("s", 21.0)
    assert view.list_pauses(21.0) == {}


def test_ended_pauses_are_forgotten():
    statements = ServerStatements()
    statements.record_pause("s", 1, 2.0, 10.0)
    statements.record_pause("t", 1, 1e12, 10.0)
    assert statements.remove_ended_pauses(12.0) == ["s"]
    assert statements.get_pause_left("t", 1, 12.0) <= 3600.0


def test_leaving_processes_are_not_remembered_without_end():
    statements = ServerStatements()
    for number in range(5000):
        statements.record_leaving(LeavingServer(f"s{number}", 1))
    assert len(statements.list_leaving()) <= 2000
    assert statements.is_leaving("s4999", 1)


@pytest.mark.parametrize("told_by", ["report of a send", "new link"])
def test_the_dispatcher_assigns_nothing_to_a_server_that_leaves(dispatcher, told_by):
    if told_by == "new link":
        dispatcher.record_leaving(LeavingReport("s", 1000))
    else:
        dispatcher.submit(0, make_request(0, unwanted_servers=("t",)), 0.0)
        done = SendFinished(0, SendOutcome.SHED, 0.1, leaving=True)
        dispatcher.finish(0, done, 0.1)
    servers = [dispatcher.submit(n, make_request(n), 1.0).server for n in (1, 2, 3)]
    assert set(servers) == {"t"}


def test_the_dispatcher_passes_over_unwanted_servers(dispatcher):
    request = make_request(1, unwanted_servers=("s",), pause_left_s=1.0)
    assert isinstance(dispatcher.submit(1, request, 0.0), Assigned)
    assert dispatcher.get_load("s").in_flight == 0


@pytest.mark.parametrize(
    ("service", "unwanted"), [("maps", ("s", "t")), ("keyed", ("s",))]
)
def test_a_request_that_no_server_wants_is_refused_at_once(
    dispatcher, service, unwanted
):
    """It waited until its deadline, or was sent to the owner of its key."""
    request = make_request(1, service, unwanted_servers=unwanted, pause_left_s=0.8)
    refused = dispatcher.submit(1, request, 0.0)
    assert isinstance(refused, Refused)
    assert 0.8 <= refused.retry_after_s <= 2.0
    assert "want no requests" in refused.reason
