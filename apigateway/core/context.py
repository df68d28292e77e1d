"""The collaborators of the core, and the state that its parts share."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.core.clock import MonotonicUnixClock
from apigateway.core.input_scheduler import InputScheduler
from apigateway.core.interfaces import (
    DecisionModule,
    EndpointSource,
    ExternalRateLimiter,
    InFlightRegistry,
    PluginChain,
    QuotaCounter,
    Scheduler,
    UpstreamPool,
)
from apigateway.core.loop_lag import LoopLag

if TYPE_CHECKING:  # imported at run time only if load shedding is enabled
    from apigateway.core.admission import AdmissionController


class CoreContext:
    """The collaborators and the state that every part of the core uses.

    A reload or a hand-over may replace a collaborator. Each part therefore reads it from here at each use
    and keeps no reference of its own.
    """

    def __init__(
        self,
        settings: messages.Settings,
        module: DecisionModule,
        upstream: UpstreamPool,
        counter: QuotaCounter | None,
        loop: Scheduler,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.settings = settings
        self.module = module
        self.upstream = upstream
        self.counter = counter
        self.loop = loop
        self.clock = clock or MonotonicUnixClock()
        self.input_scheduler = InputScheduler(loop)
        self.loop_lag = LoopLag(loop)

        # Set by the daemon if the settings enable them.
        self.endpoint_source: EndpointSource | None = None
        self.plugins: PluginChain | None = None
        self.in_flight_registry: InFlightRegistry | None = None
        self.admission: AdmissionController | None = None
        self.external_ratelimit: ExternalRateLimiter | None = None

        self.is_ready = False  # whether any endpoint has been available since the start
        self.is_draining = False  # set by the daemon when a graceful shutdown begins
        self.accepts_requests = True  # False while the last requests are drained: new ones are rejected
        self.is_drained = False  # whether the drain is over, and no attempt may begin any more
