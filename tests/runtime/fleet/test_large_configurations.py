"""Large configurations reach instances on slow links in time."""

from __future__ import annotations

import asyncio
from itertools import count

import pytest
from fleet_site import (
    FleetSite,
    find_free_ports,
    make_configuration,
    wait_until,
)

from basilwick.core.deployment import Deployment, SiteBounds
from basilwick.fakes.proxy import Bandwidth, FaultProxy
from basilwick.runtime.fleet.fleet_instance import FleetInstance

#: Link of 5 Mbit/s.
SLOW_BYTES_PER_S = 625_000
#: Longest time in seconds from the acknowledgement of a version until it is in force.
IN_FORCE_S = 2.5
#: Routes of a configuration that nearly fills a value of the key-value service.
LARGEST_ROUTE_COUNT = 2800
#: Longest time in seconds from an instance's start until it has the present version.
SERVED_AFTER_START_S = 5.0


def make_large_configuration(version, route_count):
    """Return a configuration with many routes, one of which differs in each version."""
    routes = {
        f"r-{index * 7919:07x}": {
            "host": f"host{index % 9}.example",
            "pathPrefix": f"/{index * 104_729:08x}/",
            "kind": "safe",
            "service": "maps",
        }
        for index in range(route_count)
    }
    changed = f"r-{version % route_count * 7919:07x}"
    routes[changed]["service"] = "desk"
    return make_configuration(version, **routes)


class SlowSite(FleetSite):
    """Site with one instance on a fast link, which leads, and others on slow links."""

    def __init__(self):
        super().__init__(instance_count=0, maps_server_count=2)
        self.proxies = []
        self.numbers = count(1)

    async def start_fast_instance(self):
        await self.start()
        self.leader = await self.add_instance("fast", cores=2.0)
        await wait_until(lambda: self.leader._election.leading)

    async def add_proxy(self, target, bandwidth):
        proxy = FaultProxy(target, bandwidth=bandwidth)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    async def add_slow_instance(self):
        """Start an instance whose links to store and leader share 5 Mbit/s."""
        bandwidth = Bandwidth(SLOW_BYTES_PER_S)
        store_address = await self.add_proxy(self.store.address, bandwidth)
        leader_address = self.leader._deployment.link_address
        leader_proxy_address = await self.add_proxy(leader_address, bandwidth)
        addresses = [f"127.0.0.1:{port}" for port in find_free_ports(4)]
        deployment = Deployment(
            f"slow{next(self.numbers)}",
            "a",
            {"a": "r"},
            *addresses,
            store_address,
            bounds=SiteBounds(grace_period_s=2.0),
            cores=0.4,
        )
        instance = FleetInstance(deployment)
        set_leader_address = instance._link.set_leader_address

        def set_proxied_address(address, *args):
            proxied = leader_proxy_address if address == leader_address else address
            set_leader_address(proxied, *args)

        instance._link.set_leader_address = set_proxied_address
        self.instances.append(instance)
        await instance.start()
        return instance

    async def publish(self, version, route_count):
        await self.store.put(
            "op/config", make_large_configuration(version, route_count)
        )

    async def close(self):
        await super().close()
        for proxy in self.proxies:
            await proxy.close()


def get_version(instance):
    configuration = instance._view.configuration
    return 0 if configuration is None else configuration.version


@pytest.fixture
async def slow_site():
    site = SlowSite()
    await site.start_fast_instance()
    yield site
    await site.close()


async def wait_in_force(instance, version):
    await wait_until(lambda: get_version(instance) >= version, IN_FORCE_S)


@pytest.mark.parametrize("gap_s", [1.8, 0.33])
@pytest.mark.parametrize("route_count", [100, 1000, LARGEST_ROUTE_COUNT])
async def test_each_version_of_a_large_configuration_is_in_force_in_time(
    slow_site, route_count, gap_s
):
    """Instances on slow links stayed at an old version while the size lasted."""
    for _ in range(2):
        await slow_site.add_slow_instance()
    for instance in slow_site.instances[1:]:
        await wait_until(lambda i=instance: get_version(i) == 1 and i._link.alive)
    waits = []
    for version in range(2, 8):
        await slow_site.publish(version, route_count)
        waits += [
            asyncio.create_task(wait_in_force(instance, version))
            for instance in slow_site.instances
        ]
        await asyncio.sleep(gap_s)
    results = await asyncio.gather(*waits, return_exceptions=True)
    assert [result for result in results if result is not None] == []


async def test_an_instance_that_starts_amid_large_versions_gets_the_newest(slow_site):
    """Restarted instances on slow links never finished the list of all items."""
    await slow_site.publish(2, LARGEST_ROUTE_COUNT)

    async def publish_versions():
        for version in range(3, 12):
            await asyncio.sleep(1.8)
            await slow_site.publish(version, LARGEST_ROUTE_COUNT)

    publishing = asyncio.create_task(publish_versions())
    await asyncio.sleep(2.0)
    instance = await slow_site.add_slow_instance()
    try:
        await wait_until(lambda: get_version(instance) >= 3, SERVED_AFTER_START_S)
    finally:
        publishing.cancel()
