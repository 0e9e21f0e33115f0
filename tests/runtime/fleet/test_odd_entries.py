"""Entries that another writer left among those of the servers and operators."""

from __future__ import annotations

from fleet_site import make_configuration, wait_until
from orjson import dumps

REGISTRATION = {
    "service": "other",
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmupRemainingMs": 0,
    "sequence": 1,
    "born": 1,
}


def nest(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


ODD_VALUES = {
    "nested": nest(200),
    "too-large": 2**63,
    "infinite": 1e308,
    "negative": -1,
    "text": "x" * 100_000,
    "none": None,
}


async def put_raw(store, key, value):
    """Write bytes that need not be JSON."""
    store._revision += 1
    store._write(key, value, 0)
    await store._notify_watches()


async def test_an_instance_follows_changes_after_odd_entries(site):
    """An instance that read a deeply nested registration followed no later change."""
    for depth in (900, 1000, 1020, 100_000):
        nested = b"[" * depth + b"]" * depth
        await put_raw(site.store, f"servers/odd{depth}", nested)
        entry = b'{"service":' + nested + b',"address":"127.0.0.1:1"}'
        await put_raw(site.store, f"servers/inner{depth}", entry)
        await put_raw(site.store, f"op/evacuate/odd{depth}", nested)
        await put_raw(site.store, f"basilwick/ranges/odd{depth}", nested)
        resource = b'{"resourceKind":"routes","metadata":' + nested + b"}"
        value = b'{"version":"r2","resources":[' + resource + b"]}"
        await put_raw(site.store, "op/other", value)
    for field in REGISTRATION:
        for name, value in ODD_VALUES.items():
            key = f"servers/{field}-{name}"
            await site.store.put(key, {**REGISTRATION, field: value})
    for address in (
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:٣",
        "0.0.0.0:80",
        ":1",
    ):
        key = f"servers/at-{address}"
        await site.store.put(key, {**REGISTRATION, "address": address})
    await site.store.put("servers/a\r\nX-Injected: 1", REGISTRATION)
    await site.store.put("op/config", make_configuration(5))
    await wait_until(
        lambda: all(m._view.configuration.version == 5 for m in site.instances), 3.0
    )
    for index in (0, 1):
        assert (await site.read(4, index)).status == 200
        assert (await site.order(index)).status == 200
    # Any text names a service or a data centre, and versions are not read.
    readable = {"zone-text", "service-text", *(f"version-{n}" for n in ODD_VALUES)}
    names = {server.name for server in site.servers}
    for instance in site.instances:
        assert set(instance._view._servers) == names | readable


async def test_odd_resources_cost_only_themselves(site):
    """A configuration with one nested resource was not applied at all."""
    configuration = make_configuration(6)
    odd_values = {**ODD_VALUES, "deep": "DEEP"}
    good = configuration["resources"][0]
    for name, value in odd_values.items():
        for field in good["specification"]:
            specification = {**good["specification"], field: value}
            specification["pathPrefix"] = specification["pathPrefix"] or "/odd/"
            configuration["resources"].append(
                {
                    "resourceKind": "routes",
                    "metadata": {"name": f"{field} {name}"},
                    "specification": {**specification, "host": "odd.example"},
                }
            )
    deep = b"[" * 1000 + b"]" * 1000
    for version in ("r6", "r7"):
        value = dumps({**configuration, "version": version})
        await put_raw(site.store, "op/config", value.replace(b'"DEEP"', deep))
    await wait_until(
        lambda: all(m._view.configuration.version == 7 for m in site.instances), 3.0
    )
    assert (await site.read(4)).status == 200
