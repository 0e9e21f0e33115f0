"""Failures that servers answer without stating whether the request ran."""

from __future__ import annotations

import pytest

#: Statuses that promise a caller that its request has not run and never will.
PROMISES = (503, 429, 408)


def fail_all(site, status):
    """Make all servers run requests and answer them with a status."""
    for server in site.servers:
        server.fault = "fail"
        server.failure_status = status


@pytest.mark.parametrize("status", PROMISES)
async def test_an_order_that_failed_at_its_server_is_not_reported_as_not_run(
    site, status
):
    """The server's 503 was passed on, and the caller sent the order again."""
    fail_all(site, status)
    response = await site.order(**{"X-Request-Id": "order"})
    assert response.status == 502
    assert "X-Response-Signature" not in response.headers
    assert "Retry-After" not in response.headers
    assert [run.request_id for run in site.runs].count("order") == 1


@pytest.mark.parametrize("status", [400, 409, 500])
async def test_another_failure_of_an_order_is_passed_on_unchanged(site, status):
    """A status that promises nothing was replaced as well."""
    fail_all(site, status)
    response = await site.order(**{"X-Request-Id": "order"})
    assert response.status == status
    assert response.headers["X-Response-Signature"].startswith("desk")


@pytest.mark.parametrize("status", PROMISES)
async def test_a_failed_read_keeps_the_status_and_signature_of_its_server(site, status):
    """A signed failure reached the caller with another status than its server gave."""
    fail_all(site, status)
    response = await site.read(5)
    assert response.status == status
    assert response.headers["X-Response-Signature"].startswith("map")


async def test_an_order_that_all_servers_rejected_is_reported_as_not_run(site):
    """A rejection that a server states became a failure without the promise."""
    for server in site.servers:
        server.fault = "shed"
    response = await site.order(**{"X-Request-Id": "order"})
    assert response.status == 503
    assert "order" not in [run.request_id for run in site.runs]
