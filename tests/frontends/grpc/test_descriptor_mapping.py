"""Tests of mapping descriptors to customers by rules, the most specific rule first."""

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


def make_rule(
    *entries, domain="payroll", customer="{account}", plan="basic", service_class="read", **rule_options
):
    return MappingRule(domain, entries or ("account",), customer, plan, service_class, **rule_options)


def compile_rules(*rules, gateways=4):
    return DescriptorMapping(rules, PLANS, CLASSES, gateways)


def test_owner_takes_values_from_entries_and_the_rest_from_the_rule():
    compiled = compile_rules(
        make_rule(
            "account",
            "plan",
            plan="{plan}",
            service_class="write",
            units_per_hit=2.0,
            first_gateway=1,
            gateway_spread=3,
        )
    )
    owner = compiled.find_owner("payroll", [("account", HEX.upper()), ("plan", "gold"), ("more", "x")])
    assert (owner.customer, owner.plan, owner.service_class) == (HEX, "gold", "write")
    assert (owner.units_per_hit, owner.first_gateway, owner.gateway_spread) == (2.0, 1, 3)
    assert compiled.find_owner("payroll", [("plan", "gold"), ("account", HEX)]) == owner  # in any order


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
def test_descriptor_without_a_valid_match_has_no_owner(entries):
    assert compile_rules(make_rule("account", "plan", plan="{plan}")).find_owner("payroll", entries) is None


def test_rules_of_a_domain_come_before_rules_for_any_domain():
    compiled = compile_rules(make_rule(customer=HEX, domain="*"), make_rule(plan="gold"))
    assert compiled.find_owner("payroll", [("account", "00000000000000aa")]).plan == "gold"
    assert compiled.find_owner("tools", [("account", "x")]).customer == HEX
    # No rule of the domain itself matches.
    assert compiled.find_owner("payroll", [("account", "no hex")]).customer == HEX


def test_most_specific_match_applies_in_any_order_of_rules():
    rules = [
        make_rule("account", service_class="read"),
        make_rule("account", "path=*", plan="gold"),
        make_rule("account", "path=/pay/*", service_class="write"),
        make_rule("account", "path=/pay/run", plan="gold", service_class="write"),
        make_rule("account", "path=/pay/run", service_class="read", units_per_hit=9.0),
    ]
    expected_by_path = {
        None: ("basic", "read", 1.0),
        "/x": ("gold", "read", 1.0),
        "/pay/x": ("basic", "write", 1.0),
    }
    for order in itertools.permutations(rules):
        compiled = compile_rules(*order)
        for path, (plan, service_class, units) in expected_by_path.items():
            entries = [("account", HEX)] + ([("path", path)] if path else [])
            owner = compiled.find_owner("payroll", entries)
            assert (owner.plan, owner.service_class, owner.units_per_hit) == (plan, service_class, units)
        # Of equally specific rules the first in the file applies.
        first = next(candidate for candidate in order if "path=/pay/run" in candidate.entries)
        owner = compiled.find_owner("payroll", [("account", HEX), ("path", "/pay/run")])
        assert (owner.plan, owner.service_class, owner.units_per_hit) == (
            first.plan,
            first.service_class,
            first.units_per_hit,
        )


def test_names_are_hashed_to_customers_if_the_rule_says_so():
    compiled = compile_rules(make_rule("employer", customer="{employer}", hashes_names=True))
    customer, other_customer = (
        compiled.find_owner("payroll", [("employer", name)]).customer for name in ("Acme", "acme")
    )
    assert (
        customer != other_customer
        and is_customer(customer)
        and customer == hash_customer("payroll", "Acme") != hash_customer("tools", "Acme")
    )
    assert compiled.find_owner("payroll", [("employer", HEX)]).customer == HEX


@pytest.mark.parametrize(
    "invalid_rule, key",
    [
        (make_rule(plan="unknown"), "plan"),
        (make_rule(service_class="unknown"), "class"),
        (make_rule(customer="nobody"), "customer"),
        (make_rule(customer="{other}"), "customer"),
        (make_rule(plan="{other}"), "plan"),
        (make_rule(customer="{account"), "customer"),
        (make_rule(units_per_hit=float("inf")), "units"),
        (make_rule("account", "account=x"), "entries"),
        (make_rule("=x"), "entries"),
        (make_rule(units_per_hit=0.0), "units"),
        (make_rule(units_per_hit=float("nan")), "units"),
        (make_rule(gateway_spread=5), "spread"),
        (make_rule(first_gateway=4), "spread"),
        (make_rule(gateway_spread=0), "spread"),
    ],
)
def test_invalid_rule_is_reported_with_its_index_and_key(invalid_rule, key):
    with pytest.raises(InvalidRuleError) as raised:
        compile_rules(make_rule(), invalid_rule)
    assert raised.value.key == key and raised.value.args[1] == 1 and str(raised.value.args[0])


def test_descriptor_beyond_the_size_limits_has_no_owner():
    compiled = compile_rules(make_rule())
    assert compiled.find_owner("payroll", [("account", HEX)] + [("k", "v")] * MAX_ENTRIES) is None
    assert compiled.find_owner("payroll", [("account", HEX), ("k", "v" * 100_000)]) is None


TEXT = st.text(alphabet="abc*?[]{}/é\n=", max_size=6)


@seed(14)
@settings(max_examples=400, deadline=None, database=None)
@given(
    st.lists(st.tuples(TEXT, TEXT), min_size=1, max_size=5),
    st.lists(st.tuples(TEXT, TEXT), max_size=5),
    st.booleans(),
)
def test_any_descriptor_has_a_valid_owner_or_none(rule_entries, entries, hashes_names):
    try:
        compiled = compile_rules(
            make_rule(
                *(f"{key}={value}" for key, value in rule_entries), customer=HEX, hashes_names=hashes_names
            )
        )
    except InvalidRuleError:
        return
    owner = compiled.find_owner("payroll", entries)
    assert owner is None or (is_customer(owner.customer) and int(owner.customer, 16) < MAX_CUSTOMERS)
    is_exact_match = all(
        any(
            entry_key == key and entry_value == value and not set(value) & set("*?[")
            for entry_key, entry_value in entries
        )
        for key, value in rule_entries
    )
    has_unique_keys = len({key for key, _ in entries}) == len(entries) and not any(
        "=" in key for key, _ in rule_entries
    )
    if is_exact_match and has_unique_keys:
        assert owner is not None  # every entry of the rule is present exactly
