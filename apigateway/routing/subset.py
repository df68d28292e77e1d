"""Deterministic subsetting: selects the hosts that a gateway sends to, without coordination between gateways.

Hosts and gateways are placed evenly on one ring: hosts in the order of a hash of their names, which is the
same on all gateways, and gateways in an order in which consecutive indexes are far apart. The subset of a
gateway consists of the hosts around its position. So each host is in the subsets of about as many gateways as
any other, even if the endpoint lists of gateways differ slightly, and adding or removing a host changes a
subset by at most one host. This follows the deterministic aperture of Twitter's Finagle and the subsetting of
Google's SRE book (chapter 20), with a subset size that follows each gateway's own traffic.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import lru_cache
from typing import TypeVar

MIN_SUBSET_SIZE = 16  # hosts; enough for several in each zone, and for retries while several hosts fail
REQUEST_INTERVAL_S = 5.0  # intended time between requests to a host: connections and reports stay useful
MIN_GATEWAYS_PER_HOST = 12.0  # subsets that contain each host, so that uneven loads of gateways even out
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2  # its multiples are spread evenly over a ring
SHRINK_RATIO = 0.5  # the subset shrinks only to this share or less: new hosts have no connections yet

T = TypeVar("T")


def subset_size(host_count: int, gateway_count: int, rate: float, current_size: int) -> int:
    """Return the number of hosts in a gateway's subset.

    Args:
        host_count: number of all hosts.
        gateway_count: number of all gateways.
        rate: requests per second that this gateway sends.
        current_size: current size of its subset.
    """
    wanted_size = max(
        MIN_SUBSET_SIZE,
        math.ceil(REQUEST_INTERVAL_S * rate),
        math.ceil(MIN_GATEWAYS_PER_HOST * host_count / gateway_count),
    )
    if SHRINK_RATIO * current_size < wanted_size <= current_size:
        wanted_size = current_size
    return min(host_count, wanted_size)


@lru_cache(maxsize=64)
def ring_stride(gateway_count: int) -> int:
    """Return the distance on the ring between gateways with consecutive indexes.

    Gateways are often restarted, or lost with their machine or zone, as a range of indexes or every third
    index. Any such set is spread over the whole ring. Otherwise the hosts around its positions would be idle,
    and the other hosts would get their load.
    """
    for step in range(max(1, round(GOLDEN_RATIO * gateway_count)), gateway_count):
        if math.gcd(step, gateway_count) == 1:
            return step
    return 1


def deterministic_subset(ring: Sequence[T], index: int, gateway_count: int, size: int) -> list[T]:
    """Return the `size` hosts of the ring around the position of gateway `index`."""
    host_count = len(ring)
    if size >= host_count:
        return list(ring)
    position = index * ring_stride(gateway_count) % gateway_count
    first = math.floor((position + 0.5) / gateway_count * host_count - size / 2 + 0.5)
    return [ring[(first + offset) % host_count] for offset in range(size)]
