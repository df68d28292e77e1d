"""The rule that customers keep to their ceilings."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from apigateway.emulators.ledger_findings import Findings
from apigateway.emulators.ledger_records import AttemptsById, Records, RuleLimits

CEILING_MARGIN_S = 0.15  # seconds of a ceiling's rate, added to its slack on sockets
ROUNDING = 1e-9  # tolerance for sums of units


class CeilingUse(NamedTuple):
    """How far a customer used its ceiling.

    Attributes:
        least: The lowest level of the customer's bucket, in units; below 0 if the ceiling was exceeded.
        slack: The number of units by which the ceiling may be exceeded.
    """

    least: float
    slack: float


class Spending(NamedTuple):
    """Units that a customer took from its ceiling; sorts by time."""

    at: float
    units: float
    plan: str


def find_exceeded_ceilings(records: Records, limits: RuleLimits, by_id: AttemptsById) -> Findings:
    """Find customers that exceeded their ceiling by more than its slack."""
    uses = ceiling_uses(records, limits, by_id)
    breaches = [
        f"{customer}: {-use.least:.1f} units above its ceiling, {use.slack:.1f} allowed"
        for customer, use in uses.items()
        if use.least < -use.slack - ROUNDING
    ]
    return Findings(len(uses), breaches)


def ceiling_uses(records: Records, limits: RuleLimits, by_id: AttemptsById) -> dict[str, CeilingUse]:
    """Return the ceiling use of each customer that has a ceiling.

    Each bucket starts full. A request takes its units with its first attempt, a check when it is granted.
    """
    spendings: dict[str, list[Spending]] = defaultdict(list)
    for request_id, attempts in by_id.items():
        request = records.requests.get(request_id)
        if (
            request is not None
            and request.plan in limits.ceilings
            and request_id not in records.prepaid_requests
        ):
            spending = Spending(attempts[0].last_byte_at, request.units, request.plan)
            spendings[request.customer].append(spending)
    for grant in records.grants:
        if grant.plan in limits.ceilings:
            spendings[grant.customer].append(Spending(grant.at, grant.units, grant.plan))
    return {customer: _ceiling_use(limits, sorted(own)) for customer, own in spendings.items()}


def _ceiling_use(limits: RuleLimits, spendings: Sequence[Spending]) -> CeilingUse:
    """Return a customer's ceiling use, from its spendings in the order of time."""
    ceiling = limits.ceilings[spendings[0].plan]
    largest = max(spending.units for spending in spendings)
    slack = max(ceiling.slack * ceiling.burst, largest) + CEILING_MARGIN_S * ceiling.rate
    level = ceiling.burst
    least = ceiling.burst
    updated_at = spendings[0].at
    for spending in spendings:
        refilled = min(ceiling.burst, level + (spending.at - updated_at) * ceiling.rate)
        level = refilled - spending.units
        least = min(least, level)
        updated_at = spending.at
    return CeilingUse(least, slack)
