"""View of a site, routing table, retry window and estimate of caller waits."""

from __future__ import annotations

from attrs import evolve

from basilwick.core.dispatch.caller_waits import CallerWaitEstimator
from basilwick.core.dispatch.messages import UNLIMITED_RATE
from basilwick.core.dispatch.retry_window import RetryBudget, RetryWindow
from basilwick.core.dispatch.routes import RouteTable, WeightedRoundRobin
from basilwick.core.dispatch.site import (
    Route,
    RouteTarget,
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)
from basilwick.core.types import Operation

SERVER = ServerEntry("s", "maps", "10.0.0.1:80", "a", 4, False, 0.0, 1)


def make_route(prefix, *targets, host="h"):
    targets = targets or (RouteTarget("maps", 1),)
    return Route(prefix, host, prefix, Operation.IDEMPOTENT, targets, 1, 0.2, 1, 2)


def test_a_configuration_is_never_replaced_by_an_older_one():
    view = SiteView()
    assert view.apply_configuration(SiteConfiguration(5, (), {}))
    assert not view.apply_configuration(SiteConfiguration(4, (), {}))
    assert not view.apply_configuration(SiteConfiguration(5, (), {}))
    assert view.configuration.version == 5


def test_a_site_without_a_route_of_large_responses_has_no_bulk_routes():
    view = SiteView()
    assert not view.has_bulk_routes
    short = make_route("/short/")
    view.apply_configuration(SiteConfiguration(5, (short,), {}))
    assert not view.has_bulk_routes
    bulk = evolve(short, large_responses=True)
    view.apply_configuration(SiteConfiguration(6, (short, bulk), {}))
    assert view.has_bulk_routes


def test_a_removed_server_is_gone_at_once():
    view = SiteView()
    view.apply_server(SERVER, 0.0)
    view.remove_server("s", 10.0)
    assert view.list_servers("maps") == []
    assert [s.name for s in view.remove_expired_servers(10.0)] == ["s"]


def test_a_rate_limit_ends_with_a_later_response_that_states_none():
    view = SiteView()
    view.apply_server(SERVER, 0.0)
    assert view.record_rate_limit("s", 12.0, 1.0, 1.1) == UNLIMITED_RATE
    assert view.record_rate_limit("s", 9.0, 1.2, 1.3) == 12.0
    assert view.record_rate_limit("s", UNLIMITED_RATE, 1.4, 1.5) == 9.0
    assert view.list_rate_limits() == {}


def test_an_overtaken_response_does_not_end_a_rate_limit():
    view = SiteView()
    view.apply_server(SERVER, 0.0)
    view.record_rate_limit("s", 12.0, 1.0, 1.1)
    assert view.record_rate_limit("s", UNLIMITED_RATE, 0.9, 1.2) is None
    assert view.list_rate_limits() == {"s": 12.0}


def test_a_rate_limit_ends_with_the_process_of_its_server():
    view = SiteView()
    view.apply_server(SERVER, 0.0)
    view.record_rate_limit("s", 12.0, 1.0, 1.1)
    view.apply_server(evolve(SERVER, started_ms=2), 2.0)
    assert view.get_rate_limit("s") == UNLIMITED_RATE


def test_a_registration_that_expired_in_an_outage_may_be_renewed():
    """Registrations expire in an outage of the platform's service.

    Live servers renew them within two seconds after the outage.
    """
    view = SiteView()
    view.apply_server(SERVER, 0.0)
    view.record_platform_recovery(10.0)
    view.remove_server("s", 10.1)
    assert view.is_usable("s")
    assert view.remove_expired_servers(11.9) == []
    view.apply_server(SERVER, 11.9)
    assert view.remove_expired_servers(13.0) == []
    view.remove_server("s", 13.0)
    assert [s.name for s in view.remove_expired_servers(13.0)] == ["s"]


def test_an_expired_registration_is_removed_after_two_seconds():
    view = SiteView()
    view.apply_server(SERVER, 0.0)
    view.record_platform_recovery(10.0)
    view.remove_server("s", 10.1)
    assert view.remove_expired_servers(12.1)
    assert view.get_server("s") is None


def test_a_complete_list_removes_missing_servers():
    view = SiteView()
    view.apply_server(SERVER, 0.0)
    view.retain_servers(set(), 5.0)
    assert view.list_servers("maps") == []


def test_a_restarted_server_counts_as_new():
    view = SiteView()
    view.apply_server(SERVER, 0.0)
    version = view.version
    assert view.apply_server(evolve(SERVER, started_ms=2, warm_up_left_s=3.0), 1.0)
    assert view.version > version
    assert view.is_cold("s", 3.9)
    assert not view.is_cold("s", 4.1)


def test_an_unchanged_registration_changes_nothing():
    view = SiteView()
    view.apply_server(SERVER, 0.0)
    version = view.version
    assert not view.apply_server(SERVER, 1.0)
    assert view.version == version


def test_servers_of_a_returning_data_centre_are_cold():
    view = SiteView()
    spec = ServiceSpec("maps", "/", 10, 3.0, 19.0)
    view.apply_configuration(SiteConfiguration(1, (), {"maps": spec}))
    view.apply_server(SERVER, 0.0)
    view.set_data_centre_out("a", True, 1.0)
    assert not view.is_usable("s")
    view.set_data_centre_out("a", False, 9.0)
    assert view.is_usable("s")
    assert view.is_cold("s", 11.9)
    assert not view.is_cold("s", 12.1)


def test_the_longest_prefix_of_the_host_wins():
    table = RouteTable()
    routes = [make_route("/"), make_route("/a/"), make_route("/a/b/")]
    table.load(SiteConfiguration(1, (*routes, make_route("/x/", host="o")), {}))
    assert table.find("h", "/a/b/c?d=/e/").prefix == "/a/b/"
    assert table.find("H:80", "/a/bc").prefix == "/a/"
    assert table.find("h", "/x/y").prefix == "/"
    assert table.find("o", "/a/") is None


def test_shares_follow_their_weights_at_any_moment():
    route = make_route("/", RouteTarget("one", 90), RouteTarget("two", 10))
    balancer = WeightedRoundRobin(route)
    chosen = [balancer.choose() for _ in range(100)]
    assert chosen.count("two") == 10
    assert chosen[:20].count("two") == 2


def test_an_unchanged_route_keeps_its_round_robin_state():
    route = make_route("/", RouteTarget("one", 1), RouteTarget("two", 1))
    table = RouteTable()
    table.load(SiteConfiguration(1, (route,), {}))
    first = table.choose_service(route)
    table.load(SiteConfiguration(2, (route,), {}))
    assert table.choose_service(route) != first


def test_a_retry_window_drops_old_requests():
    window = RetryWindow(RetryBudget(0.5, 0.0, 10.0))
    for _ in range(4):
        window.record_request(0.0)
    assert window.try_retry(1.0)
    assert window.try_retry(1.0)
    assert not window.try_retry(1.0)
    assert not window.try_retry(11.0)


def test_timeouts_of_first_attempts_may_differ():
    """First attempts state between 0.83 and 1.0 of the longest time left."""
    estimator = CallerWaitEstimator()
    assert estimator.estimate_elapsed("r", 1.2, 0.0) == 0.0
    assert estimator.estimate_elapsed("r", 1.0, 0.1) == 0.0
    assert estimator.estimate_elapsed("r", 0.7, 0.2) == 0.5
    assert estimator.estimate_elapsed("other", 0.7, 0.2) == 0.0


def test_the_longest_wait_expires():
    estimator = CallerWaitEstimator()
    estimator.estimate_elapsed("r", 10.0, 0.0)
    assert estimator.estimate_elapsed("r", 1.0, 6.0) == 9.0
    assert estimator.estimate_elapsed("r", 1.0, 12.0) == 0.0
