"""Tokens that show that the units of a request were granted by an earlier quota check.

A client sends a token with the request that it checked before, so that the request is not counted twice.

This module performs no I/O: keys, times and random bytes are passed in. A token does not contain its purpose.
The purpose is authenticated by the token's MAC (HMAC-SHA256, RFC 2104, truncated to 16 bytes) and is taken
from the request when the token is verified.
"""

from __future__ import annotations

import base64
import binascii
import enum
import hashlib
import heapq
import hmac
import struct
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from apigateway import messages

# Random bytes that make a token unique.
NONCE_BYTES = 8
# Minimum length of a key.
MIN_KEY_BYTES = 16

# Key id, index of the issuing gateway, expiry in ms of Unix time, nonce.
_HEADER = struct.Struct(">BIQ8s")
_MAC_BYTES = 16
_TOKEN_BYTES = _HEADER.size + _MAC_BYTES
_LENGTH = struct.Struct(">I")  # length prefix of each part of a purpose


class TokenPurpose(NamedTuple):
    """The properties of the request that a token is issued for. It is invalid for any other properties."""

    customer: str
    plan: str
    service_class: str
    units: float

    @classmethod
    def of(cls, request: messages.Request) -> TokenPurpose:
        """Return the purpose of a token for `request`."""
        return cls(request.customer, request.plan, request.service_class, request.units)


class Token(NamedTuple):
    """A verified token."""

    key_id: int
    gateway_index: int  # of the issuing gateway
    expires_at: float  # seconds of Unix time
    nonce: bytes


class KeyRotation(NamedTuple):
    """The effect of replacing the keys."""

    is_signing_key_new: bool
    are_old_tokens_valid: bool  # tokens signed by the old signing key


class TokenCount(enum.StrEnum):
    """Names of token counts. The values are shown to operators."""

    ISSUED = "given"
    REDEEMED = "taken"
    UNKNOWN = "not known"
    NOT_REDEEMABLE = "used, late or of another gateway"
    RESTORED = "given back"


class TokenKeys:
    """The token keys: the first one signs, all of them verify.

    The id of a key is derived from the key, so that key rotation needs no configured ids.

    Raises:
        ValueError: There is no key, a key is too short, or two keys have the same id.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        self.keys_by_id: dict[int, bytes] = {}
        for key in keys:
            if len(key) < MIN_KEY_BYTES:
                raise ValueError(f"a token key must have at least {MIN_KEY_BYTES} bytes")
            key_id = hashlib.sha256(b"number" + key).digest()[0]
            if key_id in self.keys_by_id:
                raise ValueError("two token keys have the same key id")
            self.keys_by_id[key_id] = key
        if not self.keys_by_id:
            raise ValueError("no token key")
        self.signing_key_id = next(iter(self.keys_by_id))

    def sign(self, purpose: TokenPurpose, gateway_index: int, expires_at: float, nonce: bytes) -> str:
        """Create a token.

        Args:
            purpose: What the token is valid for.
            gateway_index: The index of the issuing gateway.
            expires_at: The expiry in seconds of Unix time.
            nonce: NONCE_BYTES random bytes.
        """
        header = _HEADER.pack(self.signing_key_id, gateway_index, int(expires_at * 1000), nonce)
        mac = _compute_mac(self.keys_by_id[self.signing_key_id], header, purpose)
        return _encode(header + mac)

    def verify(self, text: str, purpose: TokenPurpose) -> Token | None:
        """Verify a token; return None if it is malformed, altered, of an unknown key or another purpose."""
        try:
            data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        except (binascii.Error, ValueError):
            return None
        # Several base64 texts decode to the same bytes; only the canonical one is accepted.
        if len(data) != _TOKEN_BYTES or _encode(data) != text:
            return None
        key_id, gateway_index, expires_at_ms, nonce = _HEADER.unpack_from(data)
        key = self.keys_by_id.get(key_id)
        if key is None:
            return None
        mac = _compute_mac(key, data[: _HEADER.size], purpose)
        if not hmac.compare_digest(mac, data[_HEADER.size :]):
            return None
        return Token(key_id, gateway_index, expires_at_ms / 1000, nonce)

    def compare(self, new: TokenKeys) -> KeyRotation:
        """Return the effect of replacing these keys with `new`."""
        return KeyRotation(
            is_signing_key_new=self.signing_key_id != new.signing_key_id,
            are_old_tokens_valid=self.signing_key_id in new.keys_by_id,
        )


class RedeemedTokens:
    """Remembers the tokens redeemed at this gateway until they expire.

    A token is valid at all gateways of the issuer's group, whose members clients cannot tell apart, and each
    of them redeems it once. Its units can therefore be used at most `group_size` - 1 additional times, and
    never outside the group.

    Args:
        gateway_index: The index of this gateway.
        group_size: The number of gateways in the group, including this one.
        max_tokens: The maximum number of remembered tokens. While it is reached no token is redeemed, and
            requests are counted as if they had none.
    """

    def __init__(self, gateway_index: int, group_size: int, max_tokens: int) -> None:
        self.gateway_index = gateway_index
        self.max_tokens = max_tokens
        self._group_size = group_size
        self.nonces: set[bytes] = set()
        self.expiries: list[tuple[float, bytes]] = []  # a heap: seconds of Unix time, nonce

    def redeem(self, token: Token, now: float) -> bool:
        """Redeem a token; return False if it is expired, used or of another group. `now` is in Unix time."""
        while self.expiries and self.expiries[0][0] < now:
            self.nonces.discard(heapq.heappop(self.expiries)[1])
        is_of_this_group = token.gateway_index // self._group_size == self.gateway_index // self._group_size
        if token.expires_at < now or not is_of_this_group:
            return False
        if token.nonce in self.nonces or len(self.nonces) >= self.max_tokens:
            return False
        self.nonces.add(token.nonce)
        heapq.heappush(self.expiries, (token.expires_at, token.nonce))
        return True

    def restore(self, token: Token) -> None:
        """Make a token redeemable again: its request was rejected and never sent to a host."""
        self.nonces.discard(token.nonce)


class QuotaTokens:
    """Issue and redeem tokens, for the frontends of one gateway.

    Args:
        keys: The current keys; replaced on rotation.
        redeemed: The tokens redeemed at this gateway.
        lifetime: How long a token is valid, in seconds.
        clock: Returns seconds of Unix time.
        random_bytes: Returns the given number of random bytes.
    """

    def __init__(
        self,
        keys: TokenKeys,
        redeemed: RedeemedTokens,
        lifetime: float,
        clock: Callable[[], float],
        random_bytes: Callable[[int], bytes],
    ) -> None:
        self.keys = keys
        self.redeemed = redeemed
        self.lifetime = lifetime
        self.counts: Counter[str] = Counter()  # by TokenCount
        self._clock = clock
        self._random_bytes = random_bytes

    def issue(self, check: messages.QuotaCheck) -> str:
        """Issue a token for the units of a granted check."""
        self.counts[TokenCount.ISSUED] += 1
        expires_at = self._clock() + self.lifetime
        nonce = self._random_bytes(NONCE_BYTES)
        return self.keys.sign(TokenPurpose.of(check), self.redeemed.gateway_index, expires_at, nonce)

    def redeem(self, text: str, request: messages.Request) -> Token | None:
        """Redeem the token of a request; return None if the request must spend units."""
        token = self.keys.verify(text, TokenPurpose.of(request))
        if token is None:
            self.counts[TokenCount.UNKNOWN] += 1
            return None
        if not self.redeemed.redeem(token, self._clock()):
            self.counts[TokenCount.NOT_REDEEMABLE] += 1
            return None
        self.counts[TokenCount.REDEEMED] += 1
        return token

    def restore(self, token: Token) -> None:
        """Make a token redeemable again: its request was rejected and never sent to a host."""
        self.counts[TokenCount.RESTORED] += 1
        self.redeemed.restore(token)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _compute_mac(key: bytes, header: bytes, purpose: TokenPurpose) -> bytes:
    parts = (purpose.customer, purpose.plan, purpose.service_class, repr(float(purpose.units)))
    # The length prefixes make the encoding of a purpose unambiguous.
    message = b"".join(_LENGTH.pack(len(part.encode())) + part.encode() for part in parts)
    return hmac.digest(key, header + message, "sha256")[:_MAC_BYTES]
