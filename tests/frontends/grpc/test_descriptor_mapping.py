"""Descriptors to customers: rules from settings, the longest match first."""

import itertools

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.frontends.grpc.mapping import (
    MAX_CUSTOMERS,
    MAX_ENTRIES,
    DescriptorMapping,
    InvalidRuleError,
    MappingRule,
    hash_customer,
    is_customer,
)

PLANS, CLASSES = ["basic", "gold"], ["read", "write"]
HEX = "00000000000000ff"


def rule(*entries, domain="payroll", customer="{account}", plan="basic", service_class="read", **kw):
    return MappingRule(domain, entries or ("account",), customer, plan, service_class, **kw)


def mapping(*rules, gateways=4):
    return DescriptorMapping(rules, PLANS, CLASSES, gateways)


def test_values_are_taken_and_the_rest_is_the_rules():
    told = mapping(
        rule(
            "account",
            "plan",
            plan="{plan}",
            service_class="write",
            units_per_hit=2.0,
            first_gateway=1,
            gateway_spread=3,
        )
    )
    owner = told.find_owner("payroll", [("account", HEX.upper()), ("plan", "gold"), ("more", "x")])
    assert (owner.customer, owner.plan, owner.service_class) == (HEX, "gold", "write")
    assert (owner.units_per_hit, owner.first_gateway, owner.gateway_spread) == (2.0, 1, 3)
    assert told.find_owner("payroll", [("plan", "gold"), ("account", HEX)]) == owner  # whatever the order


@pytest.mark.parametrize(
    "entries",
    [
        [],
        [("account", "nobody")],
        [("account", HEX), ("plan", "unknown")],
        [("account", "")],
        [("other", HEX), ("plan", "gold")],
        [("account", "f" * 16), ("plan", "gold")],
    ],
)
def test_a_descriptor_without_a_valid_match_has_no_owner(entries):
    assert mapping(rule("account", "plan", plan="{plan}")).find_owner("payroll", entries) is None


def test_another_domain_has_its_own_rules_and_a_star_those_of_all_others():
    told = mapping(rule(customer=HEX, domain="*"), rule(plan="gold"))
    assert told.find_owner("payroll", [("account", "00000000000000aa")]).plan == "gold"
    assert told.find_owner("tools", [("account", "x")]).customer == HEX
    assert told.find_owner("payroll", [("account", "no hex")]).customer == HEX  # none of its own takes it


def test_the_longest_match_goes_whatever_the_order_in_the_file():
    rules = [
        rule("account", service_class="read"),
        rule("account", "path=*", plan="gold"),
        rule("account", "path=/pay/*", service_class="write"),
        rule("account", "path=/pay/run", plan="gold", service_class="write"),
        rule("account", "path=/pay/run", service_class="read", units_per_hit=9.0),
    ]
    wanted = {None: ("basic", "read", 1.0), "/x": ("gold", "read", 1.0), "/pay/x": ("basic", "write", 1.0)}
    for order in itertools.permutations(rules):
        told = mapping(*order)
        for path, (plan, cls, units) in wanted.items():
            entries = [("account", HEX)] + ([("path", path)] if path else [])
            owner = told.find_owner("payroll", entries)
            assert (owner.plan, owner.service_class, owner.units_per_hit) == (plan, cls, units)
        first = next(r for r in order if "path=/pay/run" in r.entries)  # alike: the first in the file
        owner = told.find_owner("payroll", [("account", HEX), ("path", "/pay/run")])
        assert (owner.plan, owner.service_class, owner.units_per_hit) == (
            first.plan,
            first.service_class,
            first.units_per_hit,
        )


def test_names_become_customers_where_the_rule_says_so():
    told = mapping(rule("employer", customer="{employer}", hashes_names=True))
    one, two = (told.find_owner("payroll", [("employer", name)]).customer for name in ("Acme", "acme"))
    assert (
        one != two
        and is_customer(one)
        and one == hash_customer("payroll", "Acme") != hash_customer("tools", "Acme")
    )
    assert told.find_owner("payroll", [("employer", HEX)]).customer == HEX


@pytest.mark.parametrize(
    "bad, key",
    [
        (rule(plan="unknown"), "plan"),
        (rule(service_class="unknown"), "class"),
        (rule(customer="nobody"), "customer"),
        (rule(customer="{other}"), "customer"),
        (rule(plan="{other}"), "plan"),
        (rule(customer="{account"), "customer"),
        (rule(units_per_hit=float("inf")), "units"),
        (rule("account", "account=x"), "entries"),
        (rule("=x"), "entries"),
        (rule(units_per_hit=0.0), "units"),
        (rule(units_per_hit=float("nan")), "units"),
        (rule(gateway_spread=5), "spread"),
        (rule(first_gateway=4), "spread"),
        (rule(gateway_spread=0), "spread"),
    ],
)
def test_a_bad_rule_is_refused_with_its_place_and_key(bad, key):
    with pytest.raises(InvalidRuleError) as told:
        mapping(rule(), bad)
    assert told.value.key == key and told.value.args[1] == 1 and str(told.value.args[0])


def test_a_descriptor_beyond_the_limits_has_no_owner():
    told = mapping(rule())
    assert told.find_owner("payroll", [("account", HEX)] + [("k", "v")] * MAX_ENTRIES) is None
    assert told.find_owner("payroll", [("account", HEX), ("k", "v" * 100_000)]) is None


TEXT = st.text(alphabet="abc*?[]{}/é\n=", max_size=6)


@seed(14)
@settings(max_examples=400, deadline=None, database=None)
@given(
    st.lists(st.tuples(TEXT, TEXT), min_size=1, max_size=5),
    st.lists(st.tuples(TEXT, TEXT), max_size=5),
    st.booleans(),
)
def test_any_descriptor_has_a_valid_owner_or_none(wanted, entries, named):
    try:
        told = mapping(rule(*(f"{key}={value}" for key, value in wanted), customer=HEX, hashes_names=named))
    except InvalidRuleError:
        return
    owner = told.find_owner("payroll", entries)
    assert owner is None or (is_customer(owner.customer) and int(owner.customer, 16) < MAX_CUSTOMERS)
    exact = all(
        any(k == key and v == value and not set(value) & set("*?[") for k, v in entries)
        for key, value in wanted
    )
    once = len({key for key, _ in entries}) == len(entries) and not any("=" in key for key, _ in wanted)
    if exact and once:
        assert owner is not None  # each entry is there as it is wanted
