"""Which of the hosts a gateway of many sends to, without talking to the others.

Gateways and hosts stand on one ring: hosts evenly, in the order of a hash of their names, which is the same
at all gateways; gateways evenly, in an order in which neighbours by number stand far apart. A gateway takes
the hosts around its own place. So each host is in the subsets of about as many gateways as any other, also
where lists differ a little, and one host more or less moves a subset by one host at most. After the
deterministic aperture of Twitter's Finagle and the subsetting of Google's SRE book (chapter 20), with a width
that follows each gateway's own traffic.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import lru_cache
from typing import TypeVar

LEAST = 16  # hosts: enough for some in each zone and for repeats elsewhere while several fail
PAIR = 5.0  # s between a gateway's requests to a host of its subset: kept connections and reports stay of use
COVER = 12.0  # gateways at least that have a host in their subset: the load that each brings it evens out
GOLDEN = (math.sqrt(5) - 1) / 2  # the golden ratio: its multiples are spread evenly over a ring
SHRINK = 0.5  # part of the width below which a smaller one is taken: what is new has no connections

T = TypeVar("T")


def subset_size(hosts: int, gateways: int, rate: float, current: int) -> int:
    """Return how many hosts a gateway takes.

    Args:
        hosts: how many there are.
        gateways: likewise.
        rate: requests a second that this gateway sends.
        current: hosts that it takes now.
    """
    wanted = max(LEAST, math.ceil(PAIR * rate), math.ceil(COVER * hosts / gateways))
    if SHRINK * current < wanted <= current:
        wanted = current
    return min(hosts, wanted)


@lru_cache(maxsize=64)
def stride(gateways: int) -> int:
    """Return how far apart on the ring neighbours by number stand.

    Gateways are restarted, or lost with what they stand on, by ranges of numbers, or every third one: any
    such set is to be spread over the whole ring, or the hosts around its places would idle while the others
    have their load too.
    """
    for step in range(max(1, round(GOLDEN * gateways)), gateways):
        if math.gcd(step, gateways) == 1:
            return step
    return 1


def deterministic_subset(ring: Sequence[T], index: int, gateways: int, width: int) -> list[T]:
    """Return `width` hosts of the ring around the place of gateway `index`."""
    size = len(ring)
    if width >= size:
        return list(ring)
    place = index * stride(gateways) % gateways
    first = math.floor((place + 0.5) / gateways * size - width / 2 + 0.5)
    return [ring[(first + step) % size] for step in range(width)]
