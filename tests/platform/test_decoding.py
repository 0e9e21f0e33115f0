"""Tests of decoding entries, header fields and the settings file of the platform."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from orjson import dumps, loads

from basilwick.core.dispatch.load_report import LoadReport
from basilwick.core.dispatch.messages import UNLIMITED_RATE
from basilwick.core.errors import InvalidSettingsError
from basilwick.core.ranges.orders import GrantOrder, ReleaseOrder
from basilwick.core.types import Operation
from basilwick.platform.decoding import (
    UnreadableEntryError,
    decode_configuration,
    decode_server,
)
from basilwick.platform.deployment import load_deployment
from basilwick.platform.http_messages import (
    RequestMetadata,
    encode_grant,
    encode_release,
    encode_request_head,
    read_request_metadata,
    read_response_metadata,
)

ROUTE = {
    "host": "H.example",
    "pathPrefix": "/a/",
    "kind": "upload",
    "timeoutMs": 800,
    "targetLatencyMs": 250,
    "priority": 1,
    "trafficSplit": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
    "maxAttempts": 2,
}
SERVICE = {
    "healthCheckPath": "/health",
    "maxConnections": 120,
    "warmupS": 3.0,
    "warmupPerS": 19.0,
    "sharded": True,
    "warmS": 5.0,
}
SERVER = {
    "service": "x",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "draining",
    "warmupRemainingMs": 500,
    "sequence": 4,
    "born": 12,
}


def make_configuration(route=ROUTE, version="r12"):
    resources = [
        {"resourceKind": "routes", "metadata": {"name": "r"}, "specification": route}
    ]
    for name in ("x", "y"):
        metadata = {"name": name}
        resources.append(
            {
                "resourceKind": "services",
                "metadata": metadata,
                "specification": SERVICE,
            }
        )
    return dumps({"version": version, "resources": resources})


def test_configuration_is_decoded():
    configuration = decode_configuration(make_configuration()).configuration
    (route,) = configuration.routes
    assert configuration.version == 12
    assert (route.host, route.prefix) == ("h.example", "/a/")
    assert route.operation is Operation.UPLOAD
    assert [(t.service, t.weight) for t in route.targets] == [("x", 90), ("y", 10)]
    assert (route.timeout_s, route.target_latency_s) == (0.8, 0.25)
    assert configuration.services["x"].partitioned
    assert configuration.services["x"].warm_up_rate == 19.0


UNUSABLE_ROUTE_CHANGES = [
    {"timeoutMs": None},
    {"host": 5},
    {"pathPrefix": "a"},
    {"kind": ["safe"]},
    {"maxAttempts": "2"},
    {"priority": None},
    {"targetLatencyMs": "5"},
    {"homeRegions": "south"},
    {"trafficSplit": [{"service": "x"}]},
    {"trafficSplit": [{"service": "x", "weight": -1}]},
    {"trafficSplit": None},
]


def decode_with_route(change, present=None):
    """Decode a configuration with a changed route and another, usable route."""
    data = loads(make_configuration({**ROUTE, **change}))
    usable = {**ROUTE, "pathPrefix": "/sound/"}
    data["resources"].append(
        {"resourceKind": "routes", "metadata": {"name": "s"}, "specification": usable}
    )
    return decode_configuration(dumps(data), present)


@pytest.mark.parametrize("change", UNUSABLE_ROUTE_CHANGES)
def test_unusable_route_does_not_affect_other_routes(change):
    decoded = decode_with_route(change)
    usable = [r for r in decoded.configuration.routes if r.prefix == "/sound/"]
    assert [t.service for t in usable[0].targets] == ["x", "y"]
    assert len(decoded.faults) == 1


@pytest.mark.parametrize("change", UNUSABLE_ROUTE_CHANGES)
def test_unusable_route_keeps_its_present_definition(change):
    present = decode_with_route({}).configuration
    routes = {
        r.name: r for r in decode_with_route(change, present).configuration.routes
    }
    assert routes["r"] == present.routes[0]


def test_unusable_route_without_present_definition_refuses_only_its_requests():
    routes = decode_with_route({"timeoutMs": "soon"}).configuration.routes
    (broken,) = [r for r in routes if r.name == "r"]
    assert (broken.host, broken.prefix, broken.targets) == ("h.example", "/a/", ())


def test_route_of_unknown_kind_runs_at_most_once():
    decoded = decode_with_route({"kind": "odd"})
    assert decoded.configuration.routes[0].operation is Operation.AT_MOST_ONCE
    assert "odd" in decoded.faults[0]


def test_route_with_large_responses_is_idempotent():
    decoded = decode_with_route({"kind": "download"})
    route = decoded.configuration.routes[0]
    assert (route.operation, route.large_responses) == (Operation.IDEMPOTENT, True)
    assert decoded.faults == ()


def test_route_to_an_undefined_service_is_reported():
    change = {"trafficSplit": [{"service": "z", "weight": 1}]}
    assert "'z'" in decode_with_route(change).faults[0]


def test_unusable_service_keeps_its_present_definition():
    present = decode_configuration(make_configuration()).configuration
    data = loads(make_configuration(version="r13"))
    data["resources"][1]["specification"] = {"healthCheckPath": 4}
    decoded = decode_configuration(dumps(data), present)
    assert decoded.configuration.services == present.services
    assert decoded.configuration.version == 13


def test_resource_of_unknown_kind_is_ignored():
    data = loads(make_configuration())
    data["resources"].append(
        {"resourceKind": "quotas", "metadata": {"name": "q"}, "specification": {}}
    )
    decoded = decode_configuration(dumps(data))
    assert (len(decoded.configuration.routes), decoded.faults) == (1, ())


ANY_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=4,
)


def change_anywhere(data, draw):
    """Replace, remove or add a value at a random place; returns the changed data."""
    if not isinstance(data, dict | list) or not data or draw(st.booleans()):
        return draw(ANY_VALUE)
    changed = data.copy()
    if isinstance(changed, dict) and draw(st.integers(0, 9)) == 0:
        changed[draw(st.text(max_size=8))] = draw(ANY_VALUE)
        return changed
    places = sorted(changed) if isinstance(changed, dict) else range(len(changed))
    place = draw(st.sampled_from(list(places)))
    if draw(st.integers(0, 4)) == 0:
        del changed[place]
    else:
        changed[place] = change_anywhere(changed[place], draw)
    return changed


@given(st.data())
def test_random_change_of_one_resource_does_not_affect_the_others(data):
    present = decode_configuration(make_configuration()).configuration
    content = loads(make_configuration(version="r13"))
    usable = {**ROUTE, "pathPrefix": "/sound/"}
    row = {"resourceKind": "routes", "metadata": {"name": "s"}, "specification": usable}
    index = data.draw(st.integers(0, len(content["resources"]) - 1))
    changed = change_anywhere(content["resources"][index], data.draw)
    content["resources"][index] = changed
    content["resources"].append(row)
    decoded = decode_configuration(dumps(content), present)
    routes = {route.name: route for route in decoded.configuration.routes}
    assert routes["s"].prefix == "/sound/"
    assert decoded.configuration.version == 13


@given(st.data())
def test_random_changes_raise_only_unreadable_entry_errors(data):
    for value, decode in (
        (loads(make_configuration()), decode_configuration),
        (SERVER, lambda value: decode_server("s", value)),
    ):
        changed = dumps(change_anywhere(value, data.draw))
        try:
            decode(changed)
        except UnreadableEntryError:
            continue


@pytest.mark.parametrize("value", [b"", b"[]", b"{", b'{"version":"r1"}', b"\xff"])
def test_values_without_a_configuration_are_unreadable(value):
    with pytest.raises(UnreadableEntryError):
        decode_configuration(value)


def test_server_is_decoded():
    server = decode_server("s", dumps(SERVER))
    assert server.leaving
    assert server.warm_up_left_s == 0.5
    assert (server.slots, server.started_ms) == (4, 12)


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 0},
        {"slots": "4"},
        {"slots": True},
        {"state": "odd"},
        {"address": "nowhere"},
        {"address": None},
        {"zone": 1},
        {"warmupRemainingMs": -1},
        {"service": None},
    ],
)
def test_server_with_an_invalid_field_is_unreadable(change):
    with pytest.raises(UnreadableEntryError):
        decode_server("s", dumps({**SERVER, **change}))


def test_request_metadata_is_read():
    metadata = read_request_metadata(
        [(b"X-Request-Id", b"q"), (b"X-Request-Deadline-Ms", b"800")]
    )
    assert (metadata.request_id, metadata.time_left_s, metadata.key) == (b"q", 0.8, -1)
    odd = [(b"X-Shard-Key", b"65536"), (b"X-Request-Deadline-Ms", b"soon")]
    assert read_request_metadata(odd).key == -1
    two_identities = [(b"X-Request-Id", b"one"), (b"X-Request-Id", b"two")]
    assert read_request_metadata(two_identities).request_id == b""
    assert read_request_metadata(odd).time_left_s is None


def test_response_metadata_is_read():
    metadata = read_response_metadata(
        [
            (b"X-Not-Executed", b"1"),
            (b"X-Warmup-Remaining-Ms", b"250"),
            (b"X-Handover", b"t"),
        ]
    )
    assert metadata.not_run
    assert (metadata.warm_up_left_s, metadata.handover_token) == (0.25, "t")


@pytest.mark.parametrize("value", [b"nan", b"inf", b"-inf", b"1e999"])
def test_numbers_without_a_meaning_count_as_absent(value):
    """A caller's deadline of nan closed the link to the leader."""
    assert (
        read_request_metadata([(b"X-Request-Deadline-Ms", value)]).time_left_s is None
    )
    metadata = read_response_metadata([(b"X-Warmup-Remaining-Ms", value)])
    assert metadata.warm_up_left_s == 0.0


#: Texts that are no number, or one that nothing can be done with.
ABSURD_NUMBERS = [
    b"nan",
    b"inf",
    b"-inf",
    b"Infinity",
    b"1e30",
    b"1e308",
    b"1e999",
    b"9" * 400,
    b"9" * 5000,
    b"86400000001",
    b"0x10",
    b"\xff",
    b"",
]


@pytest.mark.parametrize("value", ABSURD_NUMBERS)
def test_an_absurd_number_in_a_field_counts_as_absent(value):
    """A caller's deadline of 1e30 ended the log thread, a long key its connection."""
    fields = [(b"X-Request-Deadline-Ms", value), (b"X-Shard-Key", value)]
    assert read_request_metadata(fields) == RequestMetadata(b"", None, -1)
    metadata = read_response_metadata([(b"X-Warmup-Remaining-Ms", value)])
    assert metadata.warm_up_left_s == 0.0
    metadata = read_response_metadata([(b"Retry-After", value)])
    assert 0.0 <= metadata.retry_after_s < float("inf")
    metadata = read_response_metadata([(b"Server-Limit", value)])
    assert metadata.rate_limit in (None, UNLIMITED_RATE)


@pytest.mark.parametrize("value", [b"-1", b"-1e30", b"-86400000001", b"-0.5"])
def test_a_negative_duration_counts_as_zero(value):
    """A caller's deadline of -1e30 ended the log thread too."""
    fields = [(b"X-Request-Deadline-Ms", value), (b"X-Shard-Key", value)]
    assert read_request_metadata(fields) == RequestMetadata(b"", 0.0, -1)
    metadata = read_response_metadata(
        [(b"X-Warmup-Remaining-Ms", value), (b"Retry-After", value)]
    )
    assert (metadata.warm_up_left_s, metadata.retry_after_s) == (0.0, 0.0)


@pytest.mark.parametrize("digits", [400, 5000])
def test_a_version_of_many_digits_is_unreadable(digits):
    """Each line about a request has the version, which must fit its format."""
    value = dumps({"version": "r" + "9" * digits, "resources": []})
    with pytest.raises(UnreadableEntryError):
        decode_configuration(value)


@pytest.mark.parametrize(
    ("values", "rate_limit"),
    [
        ([], UNLIMITED_RATE),
        ([b"13.5"], 13.5),
        ([b"0"], 0.0),
        ([b" 7 "], 7.0),
        ([b"1e300"], UNLIMITED_RATE),
        ([b"20", b"8"], 8.0),
        ([b"8", b"20"], 8.0),
        ([b"8", b"many"], None),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b""], None),
        ([b"many"], None),
    ],
)
def test_an_unreadable_rate_limit_does_not_count_as_its_end(values, rate_limit):
    metadata = read_response_metadata([(b"Server-Limit", v) for v in values])
    assert metadata.rate_limit == rate_limit


def test_request_head_has_the_server_and_the_time_left():
    fields = [
        (b"X-Request-Id", b"q"),
        (b"Connection", b"close"),
        (b"X-Request-Deadline-Ms", b"9000"),
        (b"x-expected-instance", b"other"),
    ]
    head = encode_request_head("GET", b"/a?b", b"h", fields, "s", 0.5, b"")
    assert head == (
        b"GET /a?b HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n"
        b"X-Request-Deadline-Ms: 500\r\nX-Expected-Instance: s\r\n\r\n"
    )


def test_orders_are_encoded_as_whole_requests():
    grant = encode_grant(GrantOrder(1, "s", 4, 8, 12, 3.0, "t"), "h:1")
    assert grant.endswith(
        b'{"source":4,"to":8,"fence":12,"holdMs":3000,"handover":"t"}'
    )
    release = encode_release(ReleaseOrder(1, "s", 4, 8, 12), "h:1")
    assert release.startswith(b"POST /release HTTP/1.1\r\n")
    # A server of another service that has the address by now would run an order that
    # has the identifier of a request as if it were that request.
    for order in (grant, release):
        assert b"X-Expected-Instance: s\r\n" in order
        assert b"X-Request-Id" not in order
    assert release.endswith(b'{"source":4,"to":8,"fence":12}')


SETTINGS = """
unknown = 1
[localNode]
nodeName = "n"
ipAddress = "10.0.0.1"
zone = "a"
[network]
internalPortRange = [7200,7215]
[network.listenAddresses]
frontendAddress = "10.0.0.1:8381"
ready = "10.0.0.1:8388"
[network.zones]
a = "r"
[platform.platform]
address = "10.0.0.9:1"
[terms.bounds]
maxHoldMs = 2000
gracePeriodS = 6
"""


def test_settings_are_read(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    deployment = load_deployment(path)
    assert deployment.link_address == "10.0.0.1:7200"
    assert deployment.bounds.max_grant_ttl_s == 2.0
    assert deployment.bounds.grace_period_s == 6


def test_cores_are_the_share_of_a_core_times_its_speed(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS + "[localNode.limits]\ncpuShare = 0.5\ncpuCores = 3\n")
    assert load_deployment(path).cores == 1.5
    path.write_text(SETTINGS)
    assert load_deployment(path).cores == 0.0


def test_the_floor_of_the_priorities_is_read(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS + "[basilwick]\npriority_floor = 0\n")
    assert load_deployment(path).priority_floor == 0.0
    path.write_text(SETTINGS)
    assert load_deployment(path).priority_floor == 0.1


def test_limits_of_the_machine_are_read(tmp_path):
    """An instance did not know its memory and was killed when callers filled it."""
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    deployment = load_deployment(path)
    assert (deployment.memory_bytes, deployment.descriptors) == (0, 0)
    limits = "[localNode.limits]\nmemoryMb = 200\nfileDescriptors = 4100\n"
    path.write_text(SETTINGS + limits)
    deployment = load_deployment(path)
    assert (deployment.memory_bytes, deployment.descriptors) == (200 << 20, 4100)


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('nodeName = "n"', "", "nodeName"),
        ('ready = "10.0.0.1:8388"', "ready = 5", "ready"),
        ('ready = "10.0.0.1:8388"', 'ready = "here"', "ready"),
        ("[7200,7215]", "[7200]", "internalPortRange"),
        ("maxHoldMs = 2000", 'maxHoldMs = "long"', "maxHoldMs"),
        ("gracePeriodS = 6", "[basilwick]\npriority_floor = 0.9", "priority_floor"),
    ],
)
def test_invalid_fields_of_settings_are_reported(tmp_path, old, new, field):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS.replace(old, new))
    with pytest.raises(InvalidSettingsError) as caught:
        load_deployment(path)
    assert field in str(caught.value)


def test_invalid_toml_is_refused(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text("[")
    with pytest.raises(InvalidSettingsError):
        load_deployment(path)


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", LoadReport(3, 0, 8)),
        (b"3, 1, 8 ,140", LoadReport(3, 1, 8, 1.4)),
        (b"3,0,8,140,later", LoadReport(3, 0, 8, 1.4)),
        (b"3,0,8,NaN", LoadReport(3, 0, 8)),
        (b"3,0,8,-1", LoadReport(3, 0, 8)),
        (b"3,0,8," + b"9" * 5_000, LoadReport(3, 0, 8)),
        (b"", None),
        (b"3,0", None),
        (b"NaN,0,8", None),
        (b"-1,0,8", None),
        (b"3,0,0", None),
        (b"1e3,0,8", None),
        (b"9" * 5_000 + b",0,8", None),
        (b",,,", None),
    ],
)
def test_unreadable_loads_count_as_not_given(value, load):
    """Python refuses to convert thousands of digits, and NaN passes comparisons."""
    assert read_response_metadata([(b"X-Server-Load", value)]).load == load
