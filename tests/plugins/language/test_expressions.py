"""Tests of the rule language: values, rejected expressions, and safety against arbitrary input."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.plugins.interfaces import RequestView
from apigateway.plugins.language import EvaluationError, ExpressionError, compile_expression
from apigateway.plugins.language.values import MAX_TEXT_CHARACTERS
from apigateway.plugins.rule_vocabulary import FIELDS

SETTINGS = {
    "district": {"a": "kochi", "b": "thrissur"},
    "weight": {"a": 2, "b": 3.5},
    "from": 1.5,
    "on": True,
    "names": ["x", "y"],
    "sizes": [1, 2],
    "mixed": {"a": 1, "b": "x"},
    "empty": {},
}


def evaluate(text, phase="request", **fields):
    view = RequestView(
        **{
            "request_id": "r1",
            "customer": "a",
            "service_class": "read",
            "plan": "basic",
            "units": 2.0,
            "remaining": 3.0,
            "now": 1798761600.0,
            "tags": {"x": "1"},
            **fields,
        }
    )
    return compile_expression(text, FIELDS[phase], SETTINGS, 7).evaluate(view)


@pytest.mark.parametrize(
    "text, value",
    [
        ('class == "read" && customer in settings.district', True),
        ("settings.district[customer]", "kochi"),
        ('get(settings.district, "c", "none")', "none"),
        ("settings.weight[customer] * 2", 4.0),
        ('units * 2 + 1 > 4 ? "big" : "small"', "big"),
        ("1 + 2 * 3 - 4 / 2", 5.0),
        ("7 % 4", 3.0),
        ("-units", -2.0),
        ("!settings.on || units >= 2", True),
        ("hour(now)", 0.0),
        ("hour(now, 5.5)", 5.0),
        ("weekday(now)", 4.0),
        ("monthday(now)", 1.0),
        ("month(now)", 1.0),
        ('date("2027-01-01") == now', True),
        ('date("2027-01-01T05:30+05:30") == now', True),
        ("tags.x", "1"),
        ("tags.y", ""),
        ("has(tags.x)", True),
        ("has(settings.missing)", False),
        ('"x" in tags', True),
        ('"y" in settings.names', True),
        ("units in settings.sizes", True),
        ('plan in ["basic", "gold"]', True),
        ("units in [units, 9]", True),
        ('customer + "-" + string(units)', "a-2"),
        ("string(write)", "false"),
        ('number("1.5")', 1.5),
        ('"abc".startsWith("ab") && "abc".endsWith("c") && "abc".contains("b")', True),
        ("substring(id, 0, 1)", "r"),
        ("size(id) + size(settings.names) + size(settings.district)", 6.0),
        ('upper("ab") + lower("CD")', "ABcd"),
        ("min(1, 2) + max(1, 2) + abs(-3) + floor(1.7)", 7.0),
        ('"a\\"b\\n" == \'a"b\n\''.replace("\n", "\\n"), True),
        ("true || 1 / 0 > 1", True),
        ("sample(1) && !sample(0)", True),
    ],
)
def test_expression_evaluates_to_expected_value(text, value):
    assert evaluate(text) == value


@pytest.mark.parametrize(
    "text, expected_reason",
    [
        ('units + "a"', "both must be of one type"),
        ("foo", "no field 'foo'"),
        ("settings.missing", "no setting 'missing'"),
        ("1 +", "expected a value"),
        ('host == "a"', "no field 'host' in this phase"),
        ("matches(id)", "no function"),
        ('"\\q"', "unknown escape"),
        ("((((", "expected a value"),
        ("a" * 2001, "longer than"),
        ("!1", "expected truth"),
        ("customer[0]", "expected text"),
        ("[" + "1," * 200 + "1]", "more than 100 items"),
        ("-" * 60 + "1", "nested"),
        ("(" * 60 + "1" + ")" * 60, "nested"),
        ("1 ? 2 : 3", "expected truth"),
        ('true ? 1 : "a"', "one type"),
        ("date(id)", "literal text"),
        ('date("soon")', "is not a date"),
        ("$", "unexpected character"),
        ("1 2", "after the expression"),
        ("settings.mixed[customer]", "one type"),
        ("has(id)", "has takes a member"),
        ("id.size", "no member"),
        ("true < false", "cannot be applied to"),
        ('["a", 1]', "numbers and texts"),
        ("get(id, id, id)", "table of settings"),
        ('get(settings.weight, id, "a")', "the default is text"),
        ("1 in settings.names", "expected a list"),
        ("substring(id)", "takes (text, number, number)"),
        ("1e999", "too large"),
        ("+".join(["1"] * 400), "parts"),
        ("&&", "expected a value"),
        ("size(1)", "size takes"),
    ],
)
def test_invalid_expression_is_rejected_with_reason_and_position(text, expected_reason):
    with pytest.raises(ExpressionError, match=".") as caught:
        evaluate(text)
    assert expected_reason in caught.value.reason and 0 <= caught.value.position <= len(text)


@pytest.mark.parametrize(
    "text",
    [
        "settings.district[id]",
        "1 / 0",
        "1 % 0",
        'number("x")',
        "hour(1e300)",
        "floor(1e308 * 10)",
        "substring(id, 1e308 * 10, 2)",
    ],
)
def test_expression_without_a_value_for_a_request_raises(text):
    with pytest.raises(EvaluationError):
        evaluate(text)


def test_text_that_grows_too_long_raises():
    with pytest.raises(EvaluationError):
        evaluate("+".join(["plan"] * 2), plan="x" * (MAX_TEXT_CHARACTERS - 1))


def test_sample_is_stable_per_request_and_selects_about_its_share():
    sampled = [evaluate("sample(0.25)", request_id=f"r{n}") for n in range(2000)]
    assert sampled == [evaluate("sample(0.25)", request_id=f"r{n}") for n in range(2000)]
    assert 400 < sum(sampled) < 600


TOKENS = st.sampled_from(
    [
        "1",
        "2.5",
        '"a"',
        "units",
        "customer",
        "class",
        "now",
        "tags",
        "settings",
        "(",
        ")",
        "[",
        "]",
        ".",
        ",",
        "?",
        ":",
        "+",
        "-",
        "*",
        "/",
        "%",
        "&&",
        "||",
        "!",
        "==",
        "!=",
        "<",
        ">",
        "in",
        "size",
        "get",
        "has",
        "sample",
        "date",
        "district",
        "startsWith",
        "hour",
        "true",
    ]
)


@seed(12)
@settings(max_examples=400, deadline=None, database=None)
@given(st.one_of(st.text(max_size=60), st.lists(TOKENS, max_size=14).map(" ".join)))
def test_arbitrary_text_is_rejected_or_evaluated(text):
    """Only the two exceptions of the language may be raised."""
    try:
        evaluate(text)
    except (ExpressionError, EvaluationError):
        pass


def arithmetic(children):
    return st.one_of(
        st.tuples(children, st.sampled_from(["+", "-", "*", "/", "%"]), children).map(
            lambda t: f"({t[0]} {t[1]} {t[2]})"
        ),
        children.map(lambda c: f"(units > {c} ? {c} : 1)"),
    )


@seed(13)
@settings(max_examples=200, deadline=None, database=None)
@given(st.recursive(st.sampled_from(["1", "0", "units", "left", "1e300"]), arithmetic, max_leaves=12))
def test_valid_arithmetic_evaluates_to_a_number(text):
    try:
        assert isinstance(evaluate(text), float)
    except EvaluationError as err:
        assert "division" in str(err)
    except ExpressionError as err:
        assert "parts" in err.reason or "nested" in err.reason
