"""Descriptors to customers: rules from settings, the longest match first."""

import itertools

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.frontends.grpc.mapping import (
    MOST_CUSTOMERS,
    MOST_ENTRIES,
    BadRule,
    Mapping,
    Rule,
    hashed,
    valid,
)

PLANS, CLASSES = ["basic", "gold"], ["read", "write"]
HEX = "00000000000000ff"


def rule(*entries, domain="payroll", customer="{account}", plan="basic", cls="read", **kw):
    return Rule(domain, entries or ("account",), customer, plan, cls, **kw)


def mapping(*rules, gateways=4):
    return Mapping(rules, PLANS, CLASSES, gateways)


def test_values_are_taken_and_the_rest_is_the_rules():
    told = mapping(rule("account", "plan", plan="{plan}", cls="write", units=2.0, first=1, spread=3))
    whose = told.whose("payroll", [("account", HEX.upper()), ("plan", "gold"), ("more", "x")])
    assert (whose.customer, whose.plan, whose.cls) == (HEX, "gold", "write")
    assert (whose.units, whose.first, whose.spread) == (2.0, 1, 3)
    assert told.whose("payroll", [("plan", "gold"), ("account", HEX)]) == whose  # whatever the order


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
def test_nobodys(entries):
    assert mapping(rule("account", "plan", plan="{plan}")).whose("payroll", entries) is None


def test_another_domain_has_its_own_rules_and_a_star_those_of_all_others():
    told = mapping(rule(customer=HEX, domain="*"), rule(plan="gold"))
    assert told.whose("payroll", [("account", "00000000000000aa")]).plan == "gold"
    assert told.whose("tools", [("account", "x")]).customer == HEX
    assert told.whose("payroll", [("account", "no hex")]).customer == HEX  # none of its own takes it


def test_the_longest_match_goes_whatever_the_order_in_the_file():
    rules = [
        rule("account", cls="read"),
        rule("account", "path=*", plan="gold"),
        rule("account", "path=/pay/*", cls="write"),
        rule("account", "path=/pay/run", plan="gold", cls="write"),
        rule("account", "path=/pay/run", cls="read", units=9.0),
    ]
    wanted = {None: ("basic", "read", 1.0), "/x": ("gold", "read", 1.0), "/pay/x": ("basic", "write", 1.0)}
    for order in itertools.permutations(rules):
        told = mapping(*order)
        for path, (plan, cls, units) in wanted.items():
            entries = [("account", HEX)] + ([("path", path)] if path else [])
            whose = told.whose("payroll", entries)
            assert (whose.plan, whose.cls, whose.units) == (plan, cls, units)
        first = next(r for r in order if "path=/pay/run" in r.entries)  # alike: the first in the file
        whose = told.whose("payroll", [("account", HEX), ("path", "/pay/run")])
        assert (whose.plan, whose.cls, whose.units) == (first.plan, first.cls, first.units)


def test_names_become_customers_where_the_rule_says_so():
    told = mapping(rule("employer", customer="{employer}", named=True))
    one, two = (told.whose("payroll", [("employer", name)]).customer for name in ("Acme", "acme"))
    assert one != two and valid(one) and one == hashed("payroll", "Acme") != hashed("tools", "Acme")
    assert told.whose("payroll", [("employer", HEX)]).customer == HEX


@pytest.mark.parametrize(
    "bad, key",
    [
        (rule(plan="unknown"), "plan"),
        (rule(cls="unknown"), "class"),
        (rule(customer="nobody"), "customer"),
        (rule(customer="{other}"), "customer"),
        (rule(plan="{other}"), "plan"),
        (rule(customer="{account"), "customer"),
        (rule(units=float("inf")), "units"),
        (rule("account", "account=x"), "entries"),
        (rule("=x"), "entries"),
        (rule(units=0.0), "units"),
        (rule(units=float("nan")), "units"),
        (rule(spread=5), "spread"),
        (rule(first=4), "spread"),
        (rule(spread=0), "spread"),
    ],
)
def test_a_bad_rule_is_refused_with_its_place_and_key(bad, key):
    with pytest.raises(BadRule) as told:
        mapping(rule(), bad)
    assert told.value.key == key and told.value.args[1] == 1 and str(told.value.args[0])


def test_what_is_beyond_all_measure_is_nobodys():
    told = mapping(rule())
    assert told.whose("payroll", [("account", HEX)] + [("k", "v")] * MOST_ENTRIES) is None
    assert told.whose("payroll", [("account", HEX), ("k", "v" * 100_000)]) is None


TEXT = st.text(alphabet="abc*?[]{}/é\n=", max_size=6)


@seed(14)
@settings(max_examples=400, deadline=None, database=None)
@given(
    st.lists(st.tuples(TEXT, TEXT), min_size=1, max_size=5),
    st.lists(st.tuples(TEXT, TEXT), max_size=5),
    st.booleans(),
)
def test_whatever_comes_it_is_somebody_that_there_is_or_nobody(wanted, entries, named):
    try:
        told = mapping(rule(*(f"{key}={value}" for key, value in wanted), customer=HEX, named=named))
    except BadRule:
        return
    whose = told.whose("payroll", entries)
    assert whose is None or (valid(whose.customer) and int(whose.customer, 16) < MOST_CUSTOMERS)
    exact = all(
        any(k == key and v == value and not set(value) & set("*?[") for k, v in entries)
        for key, value in wanted
    )
    once = len({key for key, _ in entries}) == len(entries) and not any("=" in key for key, _ in wanted)
    if exact and once:
        assert whose is not None  # each entry is there as it is wanted
