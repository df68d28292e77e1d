"""Parsing of a Eureka registry's responses in all their forms, and the registry cache."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.emulators.eureka import EmulatedEureka, instance
from apigateway.membership.eureka.mapping import (
    DEFAULT_STATES,
    InstanceMapping,
    convert_instance,
    convert_instances,
)
from apigateway.membership.eureka.model import (
    EurekaInstance,
    MalformedResponseError,
)
from apigateway.membership.eureka.parser import parse_applications, parse_instance, parse_json, parse_xml
from apigateway.membership.eureka.registry_cache import MIN_COMPLETE_INTERVAL_S, RegistryCache, hashcode

INSTANCE = instance("node7", 8080, zone="east", cell="2", weight="1.5")


def make_response_tree(*instances):
    return {
        "applications": {
            "apps__hashcode": "UP_1_",
            "application": {"name": "ROSTER", "instance": list(instances)},
        }
    }


@pytest.mark.parametrize(
    "port, expected",
    [
        ({"$": 8080, "@enabled": "true"}, 8080),
        ({"$": "8080", "@enabled": True}, 8080),
        ({"$": 8080, "@enabled": "false"}, 0),
        (8080, 8080),
        ("8080", 8080),
        (None, 0),
        ({"$": 8080}, 8080),
    ],
)
def test_port_is_read_in_all_its_forms(port, expected):
    assert parse_instance(INSTANCE | {"port": port}).port == expected


@pytest.mark.parametrize(
    "change",
    [
        {"port": {"$": 70000}},
        {"port": "x"},
        {"instanceId": None, "hostName": None},
        {"lastDirtyTimestamp": "soon"},
        {"instanceId": "x" * 300},
        {"leaseInfo": {"registrationTimestamp": -5}},
    ],
)
def test_only_the_malformed_instance_of_a_list_is_skipped(change):
    response = parse_applications(
        make_response_tree(
            INSTANCE, INSTANCE | {"instanceId": "bad"} | change, INSTANCE | {"instanceId": "node8"}
        )
    )
    assert [i.id for i in response.instances] == ["node7", "node8"] and len(response.malformed) == 1


def test_json_and_xml_are_parsed_to_the_same_response():
    registry = EmulatedEureka()
    for n in range(3):
        registry.register(instance(f"node{n}", 8000 + n, app="ROSTER" if n else "OTHER", zone="a&b"))
    registry.override("ROSTER", "node1", "OUT_OF_SERVICE")
    tree = registry.applications(registry.select_instances())
    from_json, from_xml = parse_json(json.dumps(tree).encode()), parse_xml(registry.xml(tree).encode())
    assert (
        from_json == from_xml
        and len(from_json.instances) == 3
        and from_json.hashcode == "OUT_OF_SERVICE_1_UP_2_"
    )
    assert hashcode(from_json.instances) == from_json.hashcode
    assert {i.id: (i.status, i.overridden_status) for i in from_json.instances}["node1"] == (
        "OUT_OF_SERVICE",
    ) * 2


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"{}",
        b'{"applications": 3}',
        b"[" * 100_000,
        b"\xff",
        b'{"applications":' + b'{"a":' * 5000,
    ],
)
def test_json_that_is_not_a_response_is_malformed(body):
    with pytest.raises(MalformedResponseError):
        parse_json(body)


# An entity expansion attack (XML bomb)
BOMB = b"""<?xml version="1.0"?><!DOCTYPE x [<!ENTITY a "aaaaaaaaaa"><!ENTITY b "&a;&a;&a;&a;&a;&a;&a;&a;">
<!ENTITY c "&b;&b;&b;&b;&b;&b;&b;&b;">]><applications><apps__hashcode>&c;</apps__hashcode></applications>"""


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"<applications>",
        b"<html/>",
        BOMB,
        b"<a>" * 10_000,
        b'<!DOCTYPE x SYSTEM "file:///etc/passwd"><applications/>',
    ],
)
def test_xml_that_is_not_a_response_is_malformed(body):
    with pytest.raises(MalformedResponseError):
        parse_xml(body)


JSON_TREES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda subtrees: (
        st.lists(subtrees, max_size=3)
        | st.dictionaries(
            st.sampled_from([*INSTANCE, "application", "instance", "name", "$", "@enabled"]),
            subtrees,
            max_size=5,
        )
    ),
    max_leaves=20,
)


@seed(1)
@settings(max_examples=400, deadline=None, database=None)
@given(JSON_TREES)
def test_reading_any_tree_raises_only_malformed_response_error(tree):
    for response_tree in (
        tree,
        {"applications": tree},
        make_response_tree(tree),
        make_response_tree(INSTANCE | tree if isinstance(tree, dict) else tree),
    ):
        try:
            response = parse_applications(response_tree)
        except MalformedResponseError:
            continue
        endpoints, malformed = convert_instances(InstanceMapping(), response.instances)
        assert len(endpoints) + len(malformed) == len(response.instances)


@pytest.mark.parametrize(
    "status, overridden, state",
    [
        ("UP", "UNKNOWN", "up"),
        ("DOWN", "UNKNOWN", "leaving"),
        ("OUT_OF_SERVICE", "UNKNOWN", "leaving"),
        ("STARTING", "UNKNOWN", "leaving"),
        ("WHATEVER", "UNKNOWN", "leaving"),
        ("UP", "OUT_OF_SERVICE", "leaving"),
        ("DOWN", "UP", "leaving"),
        ("UP", "UP", "up"),
    ],
)
def test_status_and_override_are_mapped_to_an_endpoint_state(status, overridden, state):
    instance = parse_instance(INSTANCE | {"status": status, "overriddenstatus": overridden})
    assert convert_instance(InstanceMapping(), instance).endpoint.state == state


def test_settings_define_the_endpoint_state_of_each_status():
    mapping = InstanceMapping(states=DEFAULT_STATES | {"STARTING": "up", "DOWN": "gone"})
    assert convert_instance(mapping, parse_instance(INSTANCE | {"status": "STARTING"})).endpoint.state == "up"
    assert convert_instance(mapping, parse_instance(INSTANCE | {"status": "DOWN"})).endpoint.state == "down"


def test_endpoint_is_built_from_metadata_and_lease():
    instance = parse_instance(
        INSTANCE | {"leaseInfo": {"serviceUpTimestamp": 5000, "registrationTimestamp": 4000}}
    )
    report = convert_instance(InstanceMapping(), instance)
    assert (
        report.endpoint.zone,
        report.endpoint.cell,
        report.endpoint.weight,
        report.endpoint.started_at,
    ) == (
        "east",
        2,
        1.5,
        5.0,
    )
    assert report.address == ("127.0.0.1", 8080) and report.timestamp_ms > 0
    report_by_name = convert_instance(
        InstanceMapping(address_source="name"), instance, {"node7.rota.example.org": "10.0.0.7"}
    )
    assert report_by_name.address == ("10.0.0.7", 8080)


@pytest.mark.parametrize(
    "mapping, change",
    [
        (InstanceMapping(use_secure_port=True), {}),
        (InstanceMapping(), {"port": {"$": 1, "@enabled": "false"}}),
        (InstanceMapping(), {"ipAddr": None}),
        (InstanceMapping(), {"metadata": {"cell": "two"}}),
        (InstanceMapping(), {"metadata": {"weight": "nan"}}),
        (InstanceMapping(), {"metadata": {"cell": "-1"}}),
        (InstanceMapping(address_source="name"), {}),
    ],
)
def test_instance_that_cannot_be_converted_to_an_endpoint_is_malformed(mapping, change):
    with pytest.raises(MalformedResponseError):
        convert_instance(mapping, parse_instance(INSTANCE | change))


def make_instance(id, status="UP", action="", app="A"):
    return EurekaInstance(id, app, id, "127.0.0.1", 80, 0, status, "UNKNOWN", action=action)


def test_deltas_keep_the_hash_of_the_cache_up_to_date():
    cache = RegistryCache()
    cache.replace_all(0.0, [make_instance("a"), make_instance("b")], "UP_2_")
    assert cache.apply_delta(
        1.0, [make_instance("c", action="ADDED"), make_instance("b", "DOWN", "MODIFIED")], "DOWN_1_UP_2_"
    ) == (
        set(),
        False,
    )
    assert cache.apply_delta(2.0, [make_instance("a", action="DELETED")], "DOWN_1_UP_1_") == ({"a"}, False)
    # The same deletion again.
    assert cache.apply_delta(3.0, [make_instance("a", action="DELETED")], "DOWN_1_UP_1_") == ({"a"}, False)
    assert set(cache.instances) == {("A", "b"), ("A", "c")}


def test_complete_lists_back_off_while_the_hash_never_matches():
    cache = RegistryCache()
    cache.replace_all(0.0, [make_instance("a")], "UP_1_")
    assert cache.apply_delta(MIN_COMPLETE_INTERVAL_S + 1, [], "UP_2_") == (set(), True)
    complete_list_count, now = 0, 0.0
    while now < 3600.0:  # an hour of polls
        now += 5.0
        if cache.apply_delta(now, [], "UP_9_")[1]:
            complete_list_count += 1
            cache.replace_all(now, [make_instance("a")], "UP_9_")
    assert complete_list_count < 12


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from(["UP", "DOWN"]),
            st.sampled_from(["ADDED", "MODIFIED", "DELETED"]),
        ),
        max_size=40,
    )
)
def test_cache_that_receives_all_deltas_has_the_hash_of_the_registry(changes):
    cache, registry = RegistryCache(), {}
    cache.replace_all(0.0, [], "")
    for n, status, action in changes:
        if action == "DELETED":
            registry.pop(n, None)
        else:
            registry[n] = make_instance(f"i{n}", status)
        registry_hashcode = hashcode(registry.values())
        _, needs_complete_list = cache.apply_delta(
            1e6, [make_instance(f"i{n}", status, action)], registry_hashcode
        )
        assert not needs_complete_list and cache.hashcode() == registry_hashcode
