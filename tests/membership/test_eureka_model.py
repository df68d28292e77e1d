"""A registry's answers in all their forms, and what cannot be read."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.emulators.eureka import EmulatedEureka, instance
from apigateway.membership.eureka.mapping import (
    DEFAULT_STATES,
    InstanceMapping,
    read_endpoint,
    read_endpoints,
)
from apigateway.membership.eureka.model import (
    EurekaInstance,
    MalformedResponseError,
)
from apigateway.membership.eureka.parser import read_applications, read_instance, read_json, read_xml
from apigateway.membership.eureka.registry_cache import MIN_COMPLETE_INTERVAL_S, RegistryCache, hashcode

ONE = instance("node7", 8080, zone="east", cell="2", weight="1.5")


def wrapped(*instances):
    return {
        "applications": {
            "apps__hashcode": "UP_1_",
            "application": {"name": "ROSTER", "instance": list(instances)},
        }
    }


@pytest.mark.parametrize(
    "port, read",
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
def test_ports_in_all_their_forms(port, read):
    assert read_instance(ONE | {"port": port}).port == read


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
def test_malformed_instance_when_among_others_then_is_left_out_alone(change):
    answer = read_applications(
        wrapped(ONE, ONE | {"instanceId": "bad"} | change, ONE | {"instanceId": "node8"})
    )
    assert [i.id for i in answer.instances] == ["node7", "node8"] and len(answer.malformed) == 1


def test_json_and_xml_say_the_same():
    registry = EmulatedEureka()
    for n in range(3):
        registry.register(instance(f"node{n}", 8000 + n, app="ROSTER" if n else "OTHER", zone="a&b"))
    registry.override("ROSTER", "node1", "OUT_OF_SERVICE")
    tree = registry.applications(registry.whole())
    one, other = read_json(json.dumps(tree).encode()), read_xml(registry.xml(tree).encode())
    assert one == other and len(one.instances) == 3 and one.hashcode == "OUT_OF_SERVICE_1_UP_2_"
    assert hashcode(one.instances) == one.hashcode
    assert {i.id: (i.status, i.overridden_status) for i in one.instances}["node1"] == ("OUT_OF_SERVICE",) * 2


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
def test_json_when_no_response_then_is_malformed(body):
    with pytest.raises(MalformedResponseError):
        read_json(body)


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
def test_xml_when_no_response_then_is_malformed(body):
    with pytest.raises(MalformedResponseError):
        read_xml(body)


ANY = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*ONE, "application", "instance", "name", "$", "@enabled"]), inner, max_size=5
        )
    ),
    max_leaves=20,
)


@seed(1)
@settings(max_examples=400, deadline=None, database=None)
@given(ANY)
def test_any_tree_when_read_then_raises_nothing_but_malformed_response(tree):
    for response in (
        tree,
        {"applications": tree},
        wrapped(tree),
        wrapped(ONE | tree if isinstance(tree, dict) else tree),
    ):
        try:
            answer = read_applications(response)
        except MalformedResponseError:
            continue
        entries, malformed = read_endpoints(InstanceMapping(), answer.instances)
        assert len(entries) + len(malformed) == len(answer.instances)


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
def test_each_status_has_its_state(status, overridden, state):
    instance = read_instance(ONE | {"status": status, "overriddenstatus": overridden})
    assert read_endpoint(InstanceMapping(), instance).endpoint.state == state


def test_a_status_means_what_settings_say():
    terms = InstanceMapping(states=DEFAULT_STATES | {"STARTING": "up", "DOWN": "gone"})
    assert read_endpoint(terms, read_instance(ONE | {"status": "STARTING"})).endpoint.state == "up"
    assert read_endpoint(terms, read_instance(ONE | {"status": "DOWN"})).endpoint.state == "down"


def test_instance_when_mapped_then_metadata_and_lease_make_the_endpoint():
    instance = read_instance(ONE | {"leaseInfo": {"serviceUpTimestamp": 5000, "registrationTimestamp": 4000}})
    entry = read_endpoint(InstanceMapping(), instance)
    assert (entry.endpoint.zone, entry.endpoint.cell, entry.endpoint.weight, entry.endpoint.started_at) == (
        "east",
        2,
        1.5,
        5.0,
    )
    assert entry.address == ("127.0.0.1", 8080) and entry.stamp > 0
    named = read_endpoint(
        InstanceMapping(address_source="name"), instance, {"node7.rota.example.org": "10.0.0.7"}
    )
    assert named.address == ("10.0.0.7", 8080)


@pytest.mark.parametrize(
    "terms, change",
    [
        (InstanceMapping(secure=True), {}),
        (InstanceMapping(), {"port": {"$": 1, "@enabled": "false"}}),
        (InstanceMapping(), {"ipAddr": None}),
        (InstanceMapping(), {"metadata": {"cell": "two"}}),
        (InstanceMapping(), {"metadata": {"weight": "nan"}}),
        (InstanceMapping(), {"metadata": {"cell": "-1"}}),
        (InstanceMapping(address_source="name"), {}),
    ],
)
def test_instance_when_no_endpoint_can_be_made_then_is_malformed(terms, change):
    with pytest.raises(MalformedResponseError):
        read_endpoint(terms, read_instance(ONE | change))


def make_instance(id, status="UP", action="", app="A"):
    return EurekaInstance(id, app, id, "127.0.0.1", 80, 0, status, "UNKNOWN", action=action)


def test_deltas_when_applied_then_keep_the_hash():
    cache = RegistryCache()
    cache.replace_all(0.0, [make_instance("a"), make_instance("b")], "UP_2_")
    assert cache.apply_delta(
        1.0, [make_instance("c", action="ADDED"), make_instance("b", "DOWN", "MODIFIED")], "DOWN_1_UP_2_"
    ) == (
        set(),
        False,
    )
    assert cache.apply_delta(2.0, [make_instance("a", action="DELETED")], "DOWN_1_UP_1_") == ({"a"}, False)
    assert cache.apply_delta(3.0, [make_instance("a", action="DELETED")], "DOWN_1_UP_1_") == (
        {"a"},
        False,
    )  # told again
    assert set(cache.instances) == {("A", "b"), ("A", "c")}


def test_hash_when_it_never_fits_then_complete_lists_back_off():
    cache = RegistryCache()
    cache.replace_all(0.0, [make_instance("a")], "UP_1_")
    assert cache.apply_delta(MIN_COMPLETE_INTERVAL_S + 1, [], "UP_2_") == (set(), True)
    asked, now = 0, 0.0
    while now < 3600.0:  # an hour of polls
        now += 5.0
        if cache.apply_delta(now, [], "UP_9_")[1]:
            asked += 1
            cache.replace_all(now, [make_instance("a")], "UP_9_")
    assert asked < 12


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
def test_cache_when_it_gets_all_deltas_then_has_the_registrys_hash(steps):
    cache, truth = RegistryCache(), {}
    cache.replace_all(0.0, [], "")
    for n, status, action in steps:
        if action == "DELETED":
            truth.pop(n, None)
        else:
            truth[n] = make_instance(f"i{n}", status)
        true_hashcode = hashcode(truth.values())
        _, whole = cache.apply_delta(1e6, [make_instance(f"i{n}", status, action)], true_hashcode)
        assert not whole and cache.hashcode() == true_hashcode
