"""The limits of a customer."""

from __future__ import annotations

from dataclasses import dataclass

from apigateway.contract.validation import require


@dataclass(frozen=True, slots=True)
class Plan:
    """The quotas and the ceiling of a customer, over all gateways together."""

    name: str
    rate: float  # units per second; 0: no quota of units
    burst: float  # units
    concurrency_limit: int  # attempts in flight over all gateways; 0: no limit
    price_weight: float
    over_quota_weight: float
    over_quota_cost: float
    ceiling_rate: float  # units per second; 0: no ceiling
    ceiling_burst: float  # units
    ceiling_slack: float

    def __post_init__(self) -> None:
        minimum = min(
            self.rate,
            self.burst,
            self.concurrency_limit,
            self.price_weight,
            self.over_quota_weight,
            self.over_quota_cost,
            self.ceiling_rate,
            self.ceiling_burst,
            self.ceiling_slack,
        )
        require(minimum >= 0, f"plan {self.name}: values must not be negative")
        require(self.rate == 0 or self.burst > 0, f"plan {self.name}: a rate requires a burst")
        require(
            self.ceiling_rate == 0 or self.ceiling_burst > 0, f"plan {self.name}: a ceiling requires a burst"
        )
