"""Classes of requests, and what repeating a request of a class does."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from apigateway.contract.validation import require


class Idempotency(StrEnum):
    """What happens when a request of a class is executed more than once."""

    SAFE = "safe"  # harmless
    KEYED = "keyed"  # harmless where hosts discard repeats: within a scope and for a limited time
    UNSAFE = "unsafe"  # harmful


class DeduplicationScope(StrEnum):
    """The hosts that discard a repeat of a request which one of them has executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


IDEMPOTENCIES = tuple(Idempotency)
DEDUPLICATION_SCOPES = tuple(DeduplicationScope)


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """The objectives of a class of requests, and its priority relative to other classes."""

    name: str
    latency_objective: float  # s; a response within this time earns the full priority weight
    deadline: float  # s
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope  # for KEYED only
    deduplication_window: float  # s for which hosts discard repeats; for KEYED only
    priority_weight: float
    late_priority_weight: float
    is_streaming: bool
    latency_objective_stretch: float

    @property
    def is_repeatable(self) -> bool:
        """Whether executing a request twice is harmless, whichever hosts execute it."""
        is_discarded_everywhere = (
            self.idempotency == Idempotency.KEYED and self.deduplication_scope == DeduplicationScope.ALL
        )
        return self.is_safe or is_discarded_everywhere

    @property
    def is_safe(self) -> bool:
        """Whether a request may be executed any number of times on any hosts."""
        return self.idempotency == Idempotency.SAFE

    @property
    def is_unsafe(self) -> bool:
        """Whether a request that may have been executed must not be sent again."""
        return self.idempotency == Idempotency.UNSAFE

    def __post_init__(self) -> None:
        require(self.idempotency in IDEMPOTENCIES, f"class {self.name}: unknown effect {self.idempotency!r}")
        require(
            self.deduplication_scope in DEDUPLICATION_SCOPES,
            f"class {self.name}: unknown scope {self.deduplication_scope!r}",
        )
        require(
            self.latency_objective > 0 and self.deadline > 0,
            f"class {self.name}: aim and deadline must be greater than 0",
        )
        require(
            self.deduplication_window >= 0 and self.priority_weight >= 0,
            f"class {self.name}: memory and worth must not be negative",
        )
