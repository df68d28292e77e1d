"""Tests of signing, verifying and redeeming tokens."""

import base64

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.frontends.grpc.tokens import KeyRotation, RedeemedTokens, Token, TokenKeys, TokenPurpose

OLD, NEW, OTHER = b"old key " * 4, b"new key " * 4, b"other key" * 4
PURPOSE = TokenPurpose("00000000000000ff", "basic", "read", 2.0)
NOW = 1_000_000.0


def sign_token(keys=None, purpose=PURPOSE, gateway_index=3, expires_at=NOW + 5, nonce=b"12345678"):
    return (keys or TokenKeys([OLD])).sign(purpose, gateway_index, expires_at, nonce)


def test_signed_token_is_verified():
    assert TokenKeys([OLD]).verify(sign_token(), PURPOSE) == Token(
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
def test_token_for_another_purpose_is_rejected(other):
    assert TokenKeys([OLD]).verify(sign_token(), other) is None


def test_altered_bytes_and_non_canonical_encodings_are_rejected():
    text = sign_token()
    data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    for index in range(len(data)):
        for bit in range(8):
            altered = bytearray(data)
            altered[index] ^= 1 << bit
            altered_text = base64.urlsafe_b64encode(altered).decode().rstrip("=")
            assert TokenKeys([OLD]).verify(altered_text, PURPOSE) is None
    for invalid_text in (
        "",
        "A",
        text + "A",
        text[:-1],
        text + "=",
        " " + text,
        text.replace(text[5], "é"),
        "\x00" * 50,
    ):
        assert TokenKeys([OLD]).verify(invalid_text, PURPOSE) is None


def test_tokens_stay_valid_during_key_rotation_until_their_key_is_removed():
    old_keys, both_keys, new_keys = TokenKeys([OLD]), TokenKeys([NEW, OLD]), TokenKeys([NEW])
    old_token, new_token = sign_token(old_keys), sign_token(both_keys)
    assert (
        both_keys.verify(old_token, PURPOSE)
        and both_keys.verify(new_token, PURPOSE)
        and new_keys.verify(new_token, PURPOSE)
    )
    assert old_keys.verify(new_token, PURPOSE) is None and new_keys.verify(old_token, PURPOSE) is None
    assert old_keys.compare(both_keys) == KeyRotation(is_signing_key_new=True, are_old_tokens_valid=True)
    assert old_keys.compare(new_keys) == KeyRotation(is_signing_key_new=True, are_old_tokens_valid=False)
    assert both_keys.compare(both_keys) == KeyRotation(is_signing_key_new=False, are_old_tokens_valid=True)


@pytest.mark.parametrize("keys", [[], [b"short"], [OLD, OLD]])
def test_invalid_keys_raise(keys):
    with pytest.raises(ValueError):
        TokenKeys(keys)


def test_token_is_redeemed_once_before_expiry_and_only_in_its_group():
    token = TokenKeys([OLD]).verify(sign_token(gateway_index=5), PURPOSE)
    issuer, same_group, other_group = (
        RedeemedTokens(5, 4, 10),
        RedeemedTokens(6, 4, 10),
        RedeemedTokens(3, 4, 10),
    )
    assert issuer.redeem(token, NOW) and not issuer.redeem(token, NOW) and not issuer.redeem(token, NOW + 4)
    # Another gateway of the group redeems it too: at most group_size - 1 additional times.
    assert same_group.redeem(token, NOW) and not same_group.redeem(token, NOW)
    assert not other_group.redeem(token, NOW)
    assert not RedeemedTokens(5, 4, 10).redeem(token, NOW + 5.1)


def test_redeemed_tokens_are_bounded_and_removed_after_expiry():
    redeemed = RedeemedTokens(0, 1, 100)
    results = [redeemed.redeem(Token(1, 0, NOW + 5, b"%08d" % n), NOW) for n in range(200)]
    assert sum(results) == 100 and len(redeemed.nonces) == len(redeemed.expiries) == 100
    assert redeemed.redeem(Token(1, 0, NOW + 20, b"later---"), NOW + 6)
    assert len(redeemed.nonces) == len(redeemed.expiries) == 1


@seed(14)
@settings(max_examples=300, deadline=None, database=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3), st.floats(0, 2)), max_size=60))
def test_token_is_redeemed_at_most_once_at_each_gateway_of_its_group(steps):
    group_size, now, redeemed_at = 2, NOW, {}
    gateways = [RedeemedTokens(index, group_size, 50) for index in range(4)]
    for token_number, gateway_index, delay in steps:
        now += delay
        issuer = token_number % 4
        token = Token(1, issuer, NOW + 10, b"%08d" % token_number)
        if gateways[gateway_index].redeem(token, now):
            assert now <= NOW + 10 and gateway_index // group_size == issuer // group_size
            redeemed_at.setdefault(token_number, []).append(gateway_index)
    for gateway_indexes in redeemed_at.values():
        assert len(gateway_indexes) == len(set(gateway_indexes)) <= group_size


@seed(14)
@settings(max_examples=300, deadline=None, database=None)
@given(
    st.one_of(
        st.text(max_size=80), st.binary(max_size=60).map(lambda data: base64.urlsafe_b64encode(data).decode())
    )
)
def test_arbitrary_text_is_not_a_valid_token(text):
    assert TokenKeys([OLD, NEW, OTHER]).verify(text, PURPOSE) is None
