"""Decoding of successive configurations."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from orjson import dumps

from basilwick.platform.decoding import ConfigurationDecoder, decode_configuration

ROUTE = {"host": "h", "kind": "safe", "service": "x", "timeoutMs": 800}
SPECS = [
    {**ROUTE, "pathPrefix": "/a/"},
    {**ROUTE, "pathPrefix": "/b/", "service": "y"},
    {**ROUTE, "pathPrefix": "/c/", "kind": "odd"},
    {**ROUTE, "pathPrefix": "/d/", "timeoutMs": -1},
    {"host": "h"},
]
SERVICES = [
    {"healthCheckPath": "/health", "maxConnections": 12},
    {"healthCheckPath": "/health", "maxConnections": 13, "sharded": True},
    {"healthCheckPath": 4},
]


def make_configuration(version, routes, services):
    resources = [
        {"resourceKind": kind, "metadata": {"name": name}, "specification": spec}
        for kind, specs in (("routes", routes), ("services", services))
        for name, spec in specs.items()
    ]
    return dumps({"version": f"r{version}", "resources": resources})


configurations = st.tuples(
    st.dictionaries(st.sampled_from("pqr"), st.sampled_from(SPECS)),
    st.dictionaries(st.sampled_from("xy"), st.sampled_from(SERVICES)),
)


@given(st.lists(configurations, max_size=5))
def test_successive_configurations_are_decoded_as_each_by_itself(drawn):
    decoder = ConfigurationDecoder()
    present = None
    for version, (routes, services) in enumerate(drawn, 1):
        value = make_configuration(version, routes, services)
        expected = decode_configuration(value, present)
        assert decoder.decode(value, present) == expected
        present = expected.configuration


def test_unchanged_routes_are_not_decoded_again():
    """Each version of 1,000 routes kept a small instance busy."""
    decoder = ConfigurationDecoder()
    routes = {"p": SPECS[0], "q": SPECS[1]}
    first = decoder.decode(make_configuration(1, routes, {})).configuration
    routes["q"] = SPECS[2]
    value = make_configuration(2, routes, {})
    second = decoder.decode(value, first).configuration
    assert second.routes[0] is first.routes[0]
    assert second.routes[1] != first.routes[1]
