"""Refused requests of a site, which must leave nothing behind."""

from __future__ import annotations

import asyncio

from fleet_site import make_configuration, wait_until

REFUSALS = 300


def list_containers(instance):
    """Return what an instance holds for requests that have not ended."""
    runners = [instance._fallback]
    if instance._role is not None:
        runners.append(instance._role.runner)
    containers = [instance._link._replies, instance._dispatcher._pending]
    for runner in runners:
        containers += [runner._request_ids, runner._replies, runner.dispatcher._pending]
    return containers


async def send_refused(site, index):
    for _ in range(REFUSALS):
        assert (await site.send("GET", "/lost/x", index)).status == 503


async def test_refusals_leave_nothing_in_instances_and_leader(site):
    """The leader kept 128 bytes for each refusal, until its memory was used up."""
    lost = {"pathPrefix": "/lost/", "kind": "safe", "service": "lost"}
    await site.store.put("op/config", make_configuration(2, lost=lost))
    await wait_until(
        lambda: all(i._view.configuration.version == 2 for i in site.instances)
    )
    await asyncio.gather(*(send_refused(site, index) for index in (0, 1)))
    await wait_until(
        lambda: not any(any(list_containers(i)) for i in site.instances), 2.0
    )
