"""The entry point of the decision module, which does no I/O and reads no clock.

It passes each event to its handler and collects the actions. Both are defined in messages.py.
"""

import math
from dataclasses import replace

from apigateway import messages
from apigateway.messages import CounterCallResult, DiscoveryMode, ListMode, Request
from apigateway.policy import ceiling, concurrency_limit, customers, dispatch, quota_leasing, retries
from apigateway.policy.endpoint_pool import SMOOTHING_WEIGHT
from apigateway.policy.pending_queue import PendingRequest, Stage
from apigateway.policy.state import CHECK_MARGIN_S, GatewayState
from apigateway.routing import floor_units
from apigateway.routing.timer_heap import TIMER_TOLERANCE_S

# Share of the burst that the class of least priority weight may not use; it is kept for the class of greatest
# priority weight.
PRIORITY_HEADROOM_SHARE = 0.2
# Share of the counter's timeout. A call that ends earlier without an answer was lost with its connection.
LOST_CALL_TIMEOUT_SHARE = 0.9
WATCH_RETRY_DELAY_S = 1.0  # after a failed watch of the endpoint list
MAX_COUNTER_TIMEOUTS = 2.0  # timeouts of the counter for which a request may wait for its units
MIN_PAUSE_S = 0.25  # without an event, after which the process may have been paused
CUSTOMERS_FULL_RETRY_AFTER_S = 1.0  # for a new customer while all kept customers are in use


class Gateway(GatewayState):
    """Makes the decisions of one gateway."""

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]:
        """Handle one event, and return the actions to carry out."""
        if now - self.now > MIN_PAUSE_S:
            self.pool.resumed_at = now
        self.now = now
        self.actions = []
        self._handle_event(event)
        dispatch.drain_queue(self)
        self._set_timer()
        return self.actions

    def _handle_event(self, event: messages.Event) -> None:
        match event:
            case messages.Request():
                self._on_request(event)
            case messages.AttemptOutcome():
                retries.on_outcome(self, event)
            case messages.CounterResult():
                self._on_counter_result(event)
            case messages.TimerExpired():
                self._on_timer()
            case messages.EndpointList():
                self._on_endpoint_list(event)
            case messages.StreamStarted() if event.request_id in self.pending:
                self.pending[event.request_id].is_streaming = True
            case messages.ClientDisconnected() if event.request_id in self.pending:
                self.finish(self.pending[event.request_id])
            case messages.RejectedByPlugin():
                retry_after = self.settings.limits.retry_after(event.retry_after)
                self.actions.append(messages.Reject(event.request_id, retry_after))
            case messages.ReturnUnits():
                quota_leasing.return_units(self, event)
            case messages.EvacuateZones():
                self.pool.health.zone_health.evacuated = frozenset(event.zones)
                self.pool.update_available(self.now)
            case messages.DrainGateway():
                self.draining_since = self.now if event.is_draining else math.inf

    def _set_timer(self) -> None:
        due_at = min(self.check_timers.next_due(self.pending), self.watch_at)
        if self.queue.waiting_count and self.pool.next_backoff_end > self.now:
            due_at = min(due_at, self.pool.next_backoff_end)
        if self.pending_timer.schedule(due_at):
            self.actions.append(messages.SetTimer(max(0.0, due_at - self.now), 0))

    def _on_endpoint_list(self, event: messages.EndpointList) -> None:
        self.pool.update_endpoints(self.now, event)
        if event.mode == ListMode.FAILED:
            self.watch_at = self.now + WATCH_RETRY_DELAY_S
        elif event.mode == ListMode.CACHED and self.settings.discovery_mode == DiscoveryMode.POLL:
            self.actions.append(messages.WatchEndpoints(True))

    def _on_request(self, request: Request) -> None:
        units = floor_units(request.units)
        if units != request.units:
            request = replace(request, units=units)
        pending = self._new_pending(request)
        if pending is None:
            wait = self.settings.limits.retry_after(CUSTOMERS_FULL_RETRY_AFTER_S)
            denied = messages.QuotaDenied(request.request_id, False, wait, 0.0, 0.0)
            self.actions.append(denied if request.is_check else messages.Reject(request.request_id, wait))
            return
        self.pending[request.request_id] = pending
        is_late = request.remaining < CHECK_MARGIN_S  # no check could run before its deadline
        is_congested = self.pool.is_congested(self.now)
        if is_late or self.load_shedder.should_shed(self.now, pending, is_congested, self.rng.random()):
            self.reject(pending)
            return
        wait = ceiling.wait_time(self, pending)
        if wait > ceiling.max_wait(self, pending):
            self.reject(pending, wait, is_over_limit=True)
        elif pending.plan.rate and not request.is_prepaid:
            quota_leasing.acquire_units(self, pending)
        else:
            concurrency_limit.acquire_slot(self, pending)

    def _new_pending(self, request: Request) -> PendingRequest | None:
        service_class = self.settings.classes[request.service_class]
        plan = self.settings.plan_of(request)
        quota = customers.acquire_quota(self, request, plan)
        if quota is None:
            return None
        units = min(request.units, self.settings.max_units)  # a check may ask for any number of units
        priority = service_class.priority_weight * plan.price_weight * units
        self.mean_priority += (SMOOTHING_WEIGHT if self.mean_priority else 1.0) * (
            priority - self.mean_priority
        )
        priority_density = priority / max(self.pool.response_times[service_class.name].mean, 1e-6)
        relative_weight = (
            service_class.priority_weight / self.max_priority_weight if self.max_priority_weight else 1.0
        )
        headroom_units = floor_units(PRIORITY_HEADROOM_SHARE * plan.burst * (1 - relative_weight))
        route = self.settings.routes.get(request.route) if request.route else None
        kinds = route.allowed_kinds(endpoint.host for endpoint in self.pool.available) if route else ()
        scope = self.fault_scopes.get(request.service_class, request.plan, plan.name)
        deadline = self.now + request.remaining
        return PendingRequest(
            request,
            service_class,
            plan,
            quota,
            self.now,
            deadline,
            priority,
            priority_density,
            scope,
            headroom_units,
            kinds,
        )

    def _on_counter_result(self, event: messages.CounterResult) -> None:
        on_result = self.counter_calls.pop(event.counter_key)
        if on_result is None:
            return
        # A malformed reply, or a connection lost before the timeout, does not predict the next call's result.
        is_early = event.elapsed < LOST_CALL_TIMEOUT_SHARE * self.counter.timeout
        is_lost = is_early and event.result == CounterCallResult.TIMEOUT
        if event.result != CounterCallResult.MALFORMED_REPLY and not is_lost:
            self.counter.observe(self.now, event.result == CounterCallResult.OK, event.elapsed)
        on_result(event)

    def _on_timer(self) -> None:
        self.pending_timer.expire(self.now)
        if self.now >= self.watch_at:
            self.watch_at = math.inf
            self.actions.append(messages.WatchEndpoints(True))
        while (request_id := self.check_timers.pop_due(self.now)) is not None:
            if request_id in self.pending:
                self._check_pending(self.pending[request_id])

    def _check_pending(self, pending: PendingRequest) -> None:
        is_last = self.now >= pending.deadline - CHECK_MARGIN_S - TIMER_TOLERANCE_S
        max_time = MAX_COUNTER_TIMEOUTS * self.counter.timeout if pending.stage == Stage.UNITS else math.inf
        if pending.stage == Stage.QUEUE:
            max_time = dispatch.max_queue_time(pending)
        if pending.stage == Stage.SENT:
            if not is_last and not pending.is_streaming:
                retries.on_attempt_timeout(self, pending)
        elif pending.stage == Stage.CEILING and not is_last:
            pending.quota.ceiling.waiting_units -= pending.request.units
            pending.stage = Stage.SLOT
            dispatch.dispatch(self, pending)
        elif is_last or self.now - pending.arrived_at >= max_time - TIMER_TOLERANCE_S:
            self.reject(pending)
