"""The clients of a simulation: they send requests to gateways, retry, and record the results of calls."""

from __future__ import annotations

import random

from apigateway import messages
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.demand import ClientCall, Customer, DemandGenerator
from apigateway.simulation.fleet import Fleet
from apigateway.simulation.gateway import SimulatedGateway
from apigateway.simulation.in_flight import Attempt
from apigateway.simulation.metrics import Metric, Metrics
from apigateway.simulation.results import ResponseOutcome
from apigateway.simulation.scenario import CustomerSettings

CONNECTION_LOST_DELAY_S = 0.001  # until a client notices that the gateway is dead
UNITS_PER_REQUEST = 1.0
MIN_RETRY_WAIT_FACTOR = 0.5  # the factor of `wait` is drawn between this and this plus 1


class ClientRequest:
    """One request of a call, at one gateway."""

    __slots__ = ("_is_answered", "_traffic", "call", "is_measured", "request_id")

    def __init__(self, traffic: ClientTraffic, call: ClientCall, is_measured: bool) -> None:
        self._traffic = traffic
        self._is_answered = False
        self.call = call
        self.is_measured = is_measured
        self.request_id = f"{call.number}.{call.request_count}"

    def on_attempt_received(self, attempt: Attempt) -> None:
        """Charge the customer for an attempt that reached a host, unless the request is answered already."""
        if not self._is_answered:
            self._traffic.charge(self.call, attempt)

    def on_response(self, outcome: ResponseOutcome, retry_after: float) -> None:
        """Handle the answer."""
        self._is_answered = True
        self._traffic.unanswered.pop(self.request_id)
        self._traffic.on_response(self.call, self.is_measured, outcome, retry_after)


class ClientTraffic:
    """Sends the calls that the demand generator produces.

    Attributes:
        demand: Generates the customers and their calls.
        load_factor: The current load as a multiple of the scenario's load.
        unanswered: Requests without an answer, by id.
    """

    def __init__(
        self, settings: CustomerSettings, fleet: Fleet, demand: DemandGenerator, rng: random.Random
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._rng = rng
        self._clock: SimulatedClock = fleet.environment.clock
        self._metrics: Metrics = fleet.environment.metrics
        self._rule_checker = fleet.environment.rule_checker
        self._has_ended = False
        self.demand = demand
        self.load_factor = 1.0
        self.unanswered: dict[str, ClientRequest] = {}

    def start(self) -> None:
        """Start sending calls."""
        if self._settings.shift:
            self._clock.call_later(self._settings.shift, self._shift_customer)
        self._schedule_next_call()

    def end(self) -> None:
        """Stop sending new calls; retries continue."""
        self._has_ended = True

    def _schedule_next_call(self) -> None:
        call = self.demand.next_call(self._clock.now, self.load_factor)
        self._clock.call_at(call.created_at, self._begin_call, call)

    def _begin_call(self, call: ClientCall) -> None:
        if self._has_ended:
            return
        self._schedule_next_call()
        has_quota = call.customer.take_from_quota(call.created_at)
        is_measured = self._metrics.is_on
        if is_measured:
            self._metrics.count(Metric.FIRST_REQUESTS)
            if has_quota:
                weight = call.workload.cls.priority_weight * call.customer.plan.price_weight
                self._metrics.count(Metric.FIRST_REQUESTS_IN_QUOTA)
                self._metrics.requested_weight += weight
                self._metrics.second(call.created_at).in_quota += 1
        self._send_request(call, is_measured)

    def _send_request(self, call: ClientCall, is_measured: bool) -> None:
        """Send the first request of a call or a retry through one of the customer's gateways."""
        call.request_count += 1
        gateway = self._draw_gateway(call.customer)
        if is_measured:
            self._metrics.counts[Metric.REQUESTS] += 1
        if not gateway.is_alive:
            outcome = ResponseOutcome.CONNECTION_LOST
            self._clock.call_later(CONNECTION_LOST_DELAY_S, self.on_response, call, is_measured, outcome, 0.0)
            return
        client_request = ClientRequest(self, call, is_measured)
        self.unanswered[client_request.request_id] = client_request
        customer = call.customer
        service_class = call.workload.cls
        request = messages.Request(
            request_id=client_request.request_id,
            remaining=self._settings.patience * service_class.deadline,
            customer=customer.name,
            plan=customer.plan.name,
            service_class=service_class.name,
            units=UNITS_PER_REQUEST,
            first_gateway=customer.first_gateway,
            gateway_spread=customer.gateway_spread,
            is_retry=call.request_count > 1,
            is_write=service_class.idempotency != messages.Idempotency.SAFE,
        )
        gateway.accept(request, call.work, client_request)

    def _draw_gateway(self, customer: Customer) -> SimulatedGateway:
        gateways = self._fleet.gateways
        gateway = gateways[self.demand.draw_gateway(customer)]
        if gateway.is_alive or self._clock.now - gateway.crashed_at < self._settings.notice:
            return gateway
        # The load balancer in front of the gateways has noticed that this one is dead.
        first = customer.first_gateway
        customer_gateways = [gateways[(first + n) % len(gateways)] for n in range(customer.gateway_spread)]
        return self._rng.choice(
            [candidate for candidate in customer_gateways if candidate.is_alive] or [gateway]
        )

    def charge(self, call: ClientCall, attempt: Attempt) -> None:
        """Charge the customer of a call for an attempt that reached a host."""
        customer = call.customer
        is_within_quota = self._rule_checker.on_attempt_received(attempt, customer, call.workload.cls)
        if is_within_quota is not None:
            call.is_within_quota = is_within_quota

    def on_response(
        self, call: ClientCall, is_measured: bool, outcome: ResponseOutcome, retry_after: float
    ) -> None:
        """Handle the answer to a request: retry, or end the call."""
        if is_measured and outcome is ResponseOutcome.REJECTED:
            self._count_rejection(call)
        if self._may_retry(call, outcome):
            wait = self._draw_retry_wait(retry_after)
            self._clock.call_later(wait, self._send_request, call, is_measured)
        elif is_measured:
            self._count_end(call, outcome)

    def _may_retry(self, call: ClientCall, outcome: ResponseOutcome) -> bool:
        match outcome:
            case ResponseOutcome.REJECTED | ResponseOutcome.CONNECTION_LOST:
                is_retryable = True
            case ResponseOutcome.FAILED:
                is_retryable = call.workload.cls.idempotency == messages.Idempotency.SAFE
            case ResponseOutcome.SERVED:
                is_retryable = False
        if not is_retryable or call.request_count > self._settings.retries:
            return False
        return self._clock.now - call.created_at < call.workload.cls.deadline

    def _draw_retry_wait(self, retry_after: float) -> float:
        if retry_after and self._rng.random() < self._settings.honour:
            return retry_after
        return self._settings.wait * (MIN_RETRY_WAIT_FACTOR + self._rng.random())

    def _count_rejection(self, call: ClientCall) -> None:
        customer = call.customer
        self._metrics.counts[Metric.REJECTED_REQUESTS] += 1
        if self._rule_checker.has_quota(customer.name, customer.plan.name, 0.0):
            self._metrics.counts[Metric.REJECTED_WITH_QUOTA] += 1
        self._metrics.second(self._clock.now).rejected += 1

    def _count_end(self, call: ClientCall, outcome: ResponseOutcome) -> None:
        counts = self._metrics.counts
        if outcome is ResponseOutcome.REJECTED:
            counts[Metric.REJECTED_CALLS] += 1
        elif outcome is not ResponseOutcome.SERVED:
            counts[Metric.FAILED_CALLS] += 1
        elif call.is_within_quota:
            latency = self._clock.now - call.created_at
            counts[Metric.SERVED_CALLS] += 1
            self._metrics.latencies.append(latency)
            if latency <= call.workload.cls.latency_objective:
                counts[Metric.CALLS_WITHIN_OBJECTIVE] += 1
                self._metrics.second(call.created_at).within_objective += 1

    def _shift_customer(self) -> None:
        """Redraw the gateway preference of a random customer; each is due about once in `shift` seconds."""
        customers = self.demand.customers
        self.demand.draw_gateway_preference(customers[self._rng.randrange(len(customers))])
        self._clock.call_later(self._settings.shift / len(customers), self._shift_customer)
