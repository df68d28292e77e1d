"""One resolution for the units of quotas, at which sums and differences of them are exact.

Sums of binary floating-point numbers such as 0.3 are rounded, so that a comparison of two sums may be decided
by their rounding errors. Multiples of `UNIT_RESOLUTION` are added and subtracted without rounding, up to
half a billion units.
"""

from __future__ import annotations

UNIT_RESOLUTION = 2.0**-24  # a power of two, so that its multiples are exact


def floor_units(units: float) -> float:
    """Round units down to the resolution; whole units stay as they are."""
    return units - units % UNIT_RESOLUTION


def round_units(units: float) -> float:
    """Round units to the nearest multiple of the resolution; whole units stay as they are."""
    return round(units / UNIT_RESOLUTION) * UNIT_RESOLUTION
