"""Tokens: what they are good for, and nothing else."""

import base64

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.frontends.grpc.tokens import KeyRotation, RedeemedTokens, Token, TokenKeys, TokenPurpose

OLD, NEW, OTHER = b"old key " * 4, b"new key " * 4, b"other key" * 4
PURPOSE = TokenPurpose("00000000000000ff", "basic", "read", 2.0)
NOW = 1_000_000.0


def token(keys=None, purpose=PURPOSE, gateway=3, until=NOW + 5, name=b"12345678"):
    return (keys or TokenKeys([OLD])).sign(purpose, gateway, until, name)


def test_a_signed_token_is_verified():
    assert TokenKeys([OLD]).verify(token(), PURPOSE) == Token(
        next(iter(TokenKeys([OLD]).keys_by_id)), 3, NOW + 5, b"12345678"
    )


@pytest.mark.parametrize(
    "other",
    [
        PURPOSE._replace(customer="00000000000000fe"),
        PURPOSE._replace(plan="gold"),
        PURPOSE._replace(service_class="write"),
        PURPOSE._replace(units=1.0),
        PURPOSE._replace(customer="00000000000000ffb", plan="asic"),
    ],
)
def test_a_token_when_shown_for_another_purpose_is_refused(other):
    assert TokenKeys([OLD]).verify(token(), other) is None


def test_every_altered_byte_and_every_other_spelling_is_refused():
    text = token()
    data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    for place in range(len(data)):
        for bit in range(8):
            changed = bytearray(data)
            changed[place] ^= 1 << bit
            again = base64.urlsafe_b64encode(changed).decode().rstrip("=")
            assert TokenKeys([OLD]).verify(again, PURPOSE) is None
    for odd in (
        "",
        "A",
        text + "A",
        text[:-1],
        text + "=",
        " " + text,
        text.replace(text[5], "é"),
        "\x00" * 50,
    ):
        assert TokenKeys([OLD]).verify(odd, PURPOSE) is None


def test_keys_are_rotated_without_a_gap_and_a_key_that_is_gone_is_not_taken():
    before, both, after = TokenKeys([OLD]), TokenKeys([NEW, OLD]), TokenKeys([NEW])
    old, new = token(before), token(both)
    assert both.verify(old, PURPOSE) and both.verify(new, PURPOSE) and after.verify(new, PURPOSE)
    assert before.verify(new, PURPOSE) is None and after.verify(old, PURPOSE) is None
    assert before.compare(both) == KeyRotation(is_signing_key_new=True, are_old_tokens_valid=True)
    assert before.compare(after) == KeyRotation(is_signing_key_new=True, are_old_tokens_valid=False)
    assert both.compare(both) == KeyRotation(is_signing_key_new=False, are_old_tokens_valid=True)


@pytest.mark.parametrize("keys", [[], [b"short"], [OLD, OLD]])
def test_keys_that_cannot_be_used_raise(keys):
    with pytest.raises(ValueError):
        TokenKeys(keys)


def test_a_token_is_redeemed_once_in_its_time_and_only_in_its_group():
    one = TokenKeys([OLD]).verify(token(gateway=5), PURPOSE)
    here, beside, away = RedeemedTokens(5, 4, 10), RedeemedTokens(6, 4, 10), RedeemedTokens(3, 4, 10)
    assert here.redeem(one, NOW) and not here.redeem(one, NOW) and not here.redeem(one, NOW + 4)
    # another worker of its address: span - 1 at most
    assert beside.redeem(one, NOW) and not beside.redeem(one, NOW)
    assert not away.redeem(one, NOW)
    assert not RedeemedTokens(5, 4, 10).redeem(one, NOW + 5.1)


def test_redeemed_tokens_are_bounded_and_forgotten_in_time():
    here = RedeemedTokens(0, 1, 100)
    taken = [here.redeem(Token(1, 0, NOW + 5, b"%08d" % n), NOW) for n in range(200)]
    assert sum(taken) == 100 and len(here.nonces) == len(here.expiries) == 100
    assert here.redeem(Token(1, 0, NOW + 20, b"later---"), NOW + 6)
    assert len(here.nonces) == len(here.expiries) == 1


@seed(14)
@settings(max_examples=300, deadline=None, database=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3), st.floats(0, 2)), max_size=60))
def test_a_token_is_redeemed_at_most_once_at_each_gateway_of_its_group(steps):
    span, now, uses = 2, NOW, {}
    gateways = [RedeemedTokens(n, span, 50) for n in range(4)]
    for name, at, gap in steps:
        now += gap
        given_by = name % 4
        one = Token(1, given_by, NOW + 10, b"%08d" % name)
        if gateways[at].redeem(one, now):
            assert now <= NOW + 10 and at // span == given_by // span
            uses.setdefault(name, []).append(at)
    for at in uses.values():
        assert len(at) == len(set(at)) <= span


@seed(14)
@settings(max_examples=300, deadline=None, database=None)
@given(
    st.one_of(
        st.text(max_size=80), st.binary(max_size=60).map(lambda b: base64.urlsafe_b64encode(b).decode())
    )
)
def test_nothing_that_anybody_makes_up_is_a_token(text):
    assert TokenKeys([OLD, NEW, OTHER]).verify(text, PURPOSE) is None
