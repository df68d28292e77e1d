"""Which of the hosts a gateway of many sends to, without talking to the others.

Gateways and hosts stand on one ring: hosts evenly, in the order of a hash of their names, which is the same
at all gateways; gateways evenly, in an order in which neighbours by number stand far apart. A gateway takes
the hosts around its own place. So each
host is in the subsets of about as many gateways as any other, also where lists differ a little, and one host
more or less moves a subset by one host at most. After the deterministic aperture of Twitter's Finagle and the
subsetting of Google's SRE book (chapter 20), with a width that follows each gateway's own traffic.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import lru_cache
from typing import TypeVar

LEAST = 16  # hosts: enough for some in each zone and for repeats elsewhere while several fail
PAIR = 5.0  # s between a gateway's requests to a host of its subset: kept connections and reports stay of use
COVER = 12.0  # gateways at least that have a host in their subset: the load that each brings it evens out
GOLDEN = (math.sqrt(5) - 1) / 2
SHRINK = 0.5  # part of the width below which a smaller one is taken: what is new has no connections

T = TypeVar("T")


def subset_size(hosts: int, gateways: int, rate: float, now: int) -> int:
    """How many of `hosts` a gateway takes that sends `rate` requests a second, and takes `now` of them."""
    want = max(LEAST, math.ceil(PAIR * rate), math.ceil(COVER * hosts / gateways))
    if SHRINK * now < want <= now:
        want = now
    return min(hosts, want)


@lru_cache(maxsize=64)
def stride(gateways: int) -> int:
    """How far apart on the ring neighbours by number stand. Gateways are restarted, or lost with what they
    stand on, by ranges of numbers, or every third one: any such set is to be spread over the whole ring, or
    the hosts around its places would idle while the others have their load too."""
    for step in range(max(1, round(GOLDEN * gateways)), gateways):
        if math.gcd(step, gateways) == 1:
            return step
    return 1


def deterministic_subset(ring: Sequence[T], index: int, gateways: int, wide: int) -> list[T]:
    """`wide` hosts of the ring around the place of gateway `index`."""
    size = len(ring)
    if wide >= size:
        return list(ring)
    place = index * stride(gateways) % gateways
    first = math.floor((place + 0.5) / gateways * size - wide / 2 + 0.5)
    return [ring[(first + n) % size] for n in range(wide)]
