"""Tokens of quota checks: a client that asked first sends its request with one, and is not counted twice.

Pure: keys, times and random bytes are given. A token says nothing that it could be taken apart for; what it
is good for goes into its authentication code (HMAC-SHA256, RFC 2104, cut to 16 bytes) and has to be told
again with it.
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

# Bytes that make a token one of its own.
NONCE_BYTES = 8
# Bytes that a key has at least.
MIN_KEY_BYTES = 16

# Key id, gateway that issued it, ms of Unix time until which it holds, nonce.
_HEAD = struct.Struct(">BIQ8s")
_CODE_BYTES = 16
_TOKEN_BYTES = _HEAD.size + _CODE_BYTES
_LENGTH = struct.Struct(">I")  # before each part of a purpose


class TokenPurpose(NamedTuple):
    """What a token was issued for, and for nothing else."""

    customer: str
    plan: str
    service_class: str
    units: float

    @classmethod
    def of(cls, request: messages.Request) -> TokenPurpose:
        """Return what a token has to be for so that it stands for a request's units."""
        return cls(request.customer, request.plan, request.service_class, request.units)


class Token(NamedTuple):
    """A token that was verified."""

    key_id: int
    gateway_index: int  # of the gateway that issued it
    expires_at: float  # seconds of Unix time
    nonce: bytes


class KeyRotation(NamedTuple):
    """What a reload of keys changed."""

    is_signing_key_new: bool
    are_old_tokens_valid: bool  # those that were signed by the old signing key


class TokenCount(enum.StrEnum):
    """What is counted of tokens; the values are what operators are shown."""

    ISSUED = "given"
    REDEEMED = "taken"
    UNKNOWN = "not known"
    NOT_REDEEMABLE = "used, late or of another gateway"
    RESTORED = "given back"


class TokenKeys:
    """Keys of tokens: the first signs, all verify.

    A key is known by a number made of itself, so that rotating keys needs no other word.

    Raises:
        ValueError: There is no key, one is short, or two have the same number.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        self.keys_by_id: dict[int, bytes] = {}
        for key in keys:
            if len(key) < MIN_KEY_BYTES:
                raise ValueError(f"a key of at least {MIN_KEY_BYTES} bytes is needed")
            key_id = hashlib.sha256(b"number" + key).digest()[0]
            if key_id in self.keys_by_id:
                raise ValueError("two keys look alike: choose another")
            self.keys_by_id[key_id] = key
        if not self.keys_by_id:
            raise ValueError("no key")
        self.signing_key_id = next(iter(self.keys_by_id))

    def sign(self, purpose: TokenPurpose, gateway_index: int, expires_at: float, nonce: bytes) -> str:
        """Return a token.

        Args:
            purpose: What it is good for.
            gateway_index: Of the gateway that issues it.
            expires_at: Seconds of Unix time.
            nonce: NONCE_BYTES random bytes.
        """
        head = _HEAD.pack(self.signing_key_id, gateway_index, int(expires_at * 1000), nonce)
        code = _authentication_code(self.keys_by_id[self.signing_key_id], head, purpose)
        return _encode(head + code)

    def verify(self, text: str, purpose: TokenPurpose) -> Token | None:
        """Read a token; None: it is altered, of another key, or for something else."""
        try:
            data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        except (binascii.Error, ValueError):
            return None
        # The same bytes have several spellings in base64; one is a token.
        if len(data) != _TOKEN_BYTES or _encode(data) != text:
            return None
        key_id, gateway_index, expires_at_ms, nonce = _HEAD.unpack_from(data)
        key = self.keys_by_id.get(key_id)
        if key is None:
            return None
        code = _authentication_code(key, data[: _HEAD.size], purpose)
        if not hmac.compare_digest(code, data[_HEAD.size :]):
            return None
        return Token(key_id, gateway_index, expires_at_ms / 1000, nonce)

    def compare(self, new: TokenKeys) -> KeyRotation:
        """Return what it changes to go on with `new`."""
        return KeyRotation(
            is_signing_key_new=self.signing_key_id != new.signing_key_id,
            are_old_tokens_valid=self.signing_key_id in new.keys_by_id,
        )


class RedeemedTokens:
    """Which tokens were redeemed here, until they hold no more.

    A token is redeemed by the gateways that its issuer cannot be told from: once by each, so a second use
    costs its units at most `group_size` - 1 times, and none elsewhere.

    Args:
        gateway_index: This gateway.
        group_size: How many gateways clients cannot tell from it, with itself.
        max_tokens: Remembered at once: past it none is redeemed, and its request is counted as one without.
    """

    def __init__(self, gateway_index: int, group_size: int, max_tokens: int) -> None:
        self.gateway_index = gateway_index
        self.max_tokens = max_tokens
        self._group_size = group_size
        self.nonces: set[bytes] = set()
        self.expiries: list[tuple[float, bytes]] = []  # a heap: seconds of Unix time, nonce

    def redeem(self, token: Token, now: float) -> bool:
        """Tell whether a token stands for units that are spent already. `now` in seconds of Unix time."""
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
        """Let a token be redeemed again: its request was rejected and never sent."""
        self.nonces.discard(token.nonce)


class QuotaTokens:
    """Issue and redeem tokens, for the frontends of one gateway.

    Args:
        keys: Replaced on a rotation.
        redeemed: What was redeemed here.
        lifetime: Seconds that a token holds.
        clock: Seconds of Unix time.
        random_bytes: Gives so many.
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
        self.counts: Counter[str] = Counter()  # of TokenCount
        self._clock = clock
        self._random_bytes = random_bytes

    def issue(self, check: messages.QuotaCheck) -> str:
        """Return a new token for the units of a check that was granted."""
        self.counts[TokenCount.ISSUED] += 1
        expires_at = self._clock() + self.lifetime
        nonce = self._random_bytes(NONCE_BYTES)
        return self.keys.sign(TokenPurpose.of(check), self.redeemed.gateway_index, expires_at, nonce)

    def redeem(self, text: str, request: messages.Request) -> Token | None:
        """Redeem a request's token; None: it stands for nothing, and its request counts as any."""
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
        """Let a token be redeemed again: its request was rejected and never sent."""
        self.counts[TokenCount.RESTORED] += 1
        self.redeemed.restore(token)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _authentication_code(key: bytes, head: bytes, purpose: TokenPurpose) -> bytes:
    parts = (purpose.customer, purpose.plan, purpose.service_class, repr(float(purpose.units)))
    # Lengths go in too, so that no two purposes are the same bytes.
    message = b"".join(_LENGTH.pack(len(part.encode())) + part.encode() for part in parts)
    return hmac.digest(key, head + message, "sha256")[:_CODE_BYTES]
