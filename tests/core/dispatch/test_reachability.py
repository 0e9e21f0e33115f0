"""Data centres whose servers can't be reached."""

from __future__ import annotations

from test_stated_loads import Harness

from basilwick.core.dispatch.messages import Assigned, SendFinished, SendOutcome
from basilwick.core.dispatch.reachability import DataCentreReachability
from basilwick.core.dispatch.site import ServerEntry


def cut_off(reachability, now=0.0):
    for index in range(4):
        reachability.record_failure("a", "b", f"s{index}", now)


def test_a_few_failing_servers_do_not_cut_off_a_data_centre():
    reachability = DataCentreReachability()
    for _ in range(20):
        for index in range(3):
            reachability.record_failure("a", "b", f"s{index}", 0.0)
    assert reachability.may_send("a", "b", 0.0)


def test_a_data_centre_is_cut_off_for_one_side_only_and_probed():
    reachability = DataCentreReachability()
    cut_off(reachability)
    assert not reachability.may_send("a", "b", 0.1)
    assert reachability.list_cut_off("a", 0.1) == ["b"]
    assert reachability.may_send("c", "b", 0.1)
    assert reachability.may_send("a", "b", 0.3)
    assert not reachability.may_send("a", "b", 0.31)
    reachability.record_response("a", "b")
    assert reachability.may_send("a", "b", 0.32)


def test_requests_go_to_the_own_data_centre_while_another_is_cut_off():
    """Each server behind a cut was tried, and the retry budget was spent on it."""
    harness = Harness("own")
    for index in range(30):
        entry = ServerEntry(f"f{index}", "blobs", "x:1", "b", 2, False, 0.0, 1)
        harness.view.apply_server(entry, 0.0)
    failed = 0
    for step in range(200):
        now = step * 0.01
        decision = harness.submit(now)
        if not isinstance(decision, Assigned):
            continue
        reached = decision.server == "own"
        failed += not reached
        outcome = SendOutcome.OK if reached else SendOutcome.UNREACHABLE
        done = SendFinished(decision.number, outcome, 0.01)
        harness.dispatcher.finish(decision.number, done, now + 0.005)
    assert failed <= 4 + 2.0 / 0.25
