"""Tokens of checks: a client that asked first sends its request with one, and is not counted twice.

Pure: keys, times and random bytes are given. A token says nothing that it could be taken apart for; what it
is good for goes into its authentication code (HMAC-SHA256, RFC 2104, cut to 16 bytes) and has to be told
again with it."""

from __future__ import annotations

import base64
import binascii
import hashlib
import heapq
import hmac
import struct
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

# key, gateway that gave it, ms of Unix time until which it holds, what makes it one
HEAD = struct.Struct(">BIQ8s")
CODE = 16  # bytes
LENGTH = HEAD.size + CODE


class Purpose(NamedTuple):
    """What a token was given for, and for nothing else."""

    customer: str
    plan: str
    cls: str
    units: float


class Token(NamedTuple):
    key: int
    gateway: int
    until: float  # s of Unix time
    name: bytes


def code(key: bytes, head: bytes, purpose: Purpose) -> bytes:
    parts = (purpose.customer, purpose.plan, purpose.cls, repr(float(purpose.units)))
    # Lengths go in too, so that no two purposes are the same bytes.
    told = b"".join(struct.pack(">I", len(part.encode())) + part.encode() for part in parts)
    return hmac.digest(key, head + told, "sha256")[:CODE]


class Keys:
    """The first signs; all are taken. Known by a number made of the key itself, so that rotating them needs
    no other word. Raises ValueError where two keys have the same number, or one is short."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        self.by: dict[int, bytes] = {}
        for key in keys:
            if len(key) < 16:
                raise ValueError("a key of at least 16 bytes is needed")
            number = hashlib.sha256(b"number" + key).digest()[0]
            if number in self.by:
                raise ValueError("two keys look alike: choose another")
            self.by[number] = key
        if not self.by:
            raise ValueError("no key")
        self.first = next(iter(self.by))

    def give(self, purpose: Purpose, gateway: int, until: float, name: bytes) -> str:
        """`name`: 8 random bytes. `until`: s of Unix time."""
        head = HEAD.pack(self.first, gateway, int(until * 1000), name)
        return base64.urlsafe_b64encode(head + code(self.by[self.first], head, purpose)).decode().rstrip("=")

    def read(self, text: str, purpose: Purpose) -> Token | None:
        """None: altered, of another key, or for something else."""
        try:
            data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        except (binascii.Error, ValueError):
            return None
        # The same bytes have several spellings in base64; one is a token.
        if len(data) != LENGTH or base64.urlsafe_b64encode(data).decode().rstrip("=") != text:
            return None
        number, gateway, until, name = HEAD.unpack_from(data)
        key = self.by.get(number)
        if key is None or not hmac.compare_digest(code(key, data[: HEAD.size], purpose), data[HEAD.size :]):
            return None
        return Token(number, gateway, until / 1000, name)


class Redeemed:
    """Which tokens were used here, until they hold no more. `most` at once: past it none is taken, and its
    request is counted as one without a token.

    `index`, `span`: this gateway, and how many clients cannot tell from it. A token is taken by those that
    its giver cannot be told from: once by each, so a second use costs its units at most `span` - 1 times, and
    none elsewhere."""

    def __init__(self, index: int, span: int, most: int) -> None:
        self.index, self.span, self.most = index, span, most
        self.names: set[bytes] = set()
        self.due: list[tuple[float, bytes]] = []

    def take(self, token: Token, now: float) -> bool:
        """Whether it stands for units that are spent already. `now` in s of Unix time."""
        while self.due and self.due[0][0] < now:
            self.names.discard(heapq.heappop(self.due)[1])
        near = token.gateway // self.span == self.index // self.span
        if token.until < now or not near or token.name in self.names or len(self.names) >= self.most:
            return False
        self.names.add(token.name)
        heapq.heappush(self.due, (token.until, token.name))
        return True

    def give_back(self, token: Token) -> None:
        """What it was taken for was refused and never sent: its bearer may come again with it."""
        self.names.discard(token.name)


class Tokens:
    """Keys and what was used of them, for the fronts of one gateway. `now` in s of Unix time; `random` gives
    so many bytes."""

    def __init__(
        self,
        keys: Keys,
        redeemed: Redeemed,
        seconds: float,
        now: Callable[[], float],
        random: Callable[[int], bytes],
    ) -> None:
        self.keys, self.redeemed, self.seconds, self.now, self.random = keys, redeemed, seconds, now, random
        self.counts: Counter[str] = Counter()

    def give(self, purpose: Purpose) -> str:
        self.counts["given"] += 1
        return self.keys.give(purpose, self.redeemed.index, self.now() + self.seconds, self.random(8))

    def take(self, text: str, purpose: tuple[str, str, str, float]) -> Token | None:
        """None: it stands for nothing, and its request counts as any. `purpose` as Purpose."""
        token = self.keys.read(text, Purpose(*purpose))
        if token is None:
            self.counts["not known"] += 1
            return None
        if not self.redeemed.take(token, self.now()):
            self.counts["used, late or of another gateway"] += 1
            return None
        self.counts["taken"] += 1
        return token

    def give_back(self, token: Token) -> None:
        self.counts["given back"] += 1
        self.redeemed.give_back(token)


def rotated(old: Keys, new: Keys) -> Mapping[str, bool]:
    """What a reload tells of: whether the signing key is another, and whether tokens given by the old one are
    still taken."""
    return {"signs anew": old.first != new.first, "old ones hold": old.first in new.by}
