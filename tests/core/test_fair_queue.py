"""The fair queue of flows, without a scheduler."""

import pytest

from apigateway.core.fair_queue import (
    CREDIT_RATE,
    MAX_CREDIT_S,
    MIN_HEAP_SIZE,
    PRIORITY_BURST_S,
    FairQueue,
    Flow,
)

QUANTUM_S = 0.0005


class FlowQueue:
    """A fair queue with a clock that advances with each service."""

    def __init__(self):
        self.now = 0.0
        self.queue = FairQueue()
        self.busy = set()  # flows that always have more

    def push(self, flow, is_returning=True):
        self.queue.push(flow, self.now, QUANTUM_S, is_returning)

    def serve(self, service_s=QUANTUM_S):
        """Serve the flow that is next, and return it."""
        flow = self.queue.pop(self.now)
        self.now += service_s
        self.queue.charge(flow, service_s)
        if flow in self.busy:
            self.push(flow, is_returning=False)
        else:
            self.queue.on_idle(flow, self.now)
        return flow

    def add_busy(self, count):
        """Have new flows wait that always have more, and return them."""
        flows = [Flow() for _ in range(count)]
        self.busy.update(flows)
        for flow in flows:
            self.push(flow)
        return flows

    def add_established(self):
        """Return an idle flow that has all credit."""
        flow = Flow()
        self.push(flow)
        while self.serve() is not flow:
            pass
        return flow


def test_queue_when_no_flow_waits_then_pop_fails():
    queue = FlowQueue()
    with pytest.raises(IndexError):
        queue.queue.pop(0.0)
    queue.add_established()
    with pytest.raises(IndexError):
        queue.queue.pop(0.0)


def test_flow_when_it_was_idle_then_it_is_taken_before_those_that_wait():
    queue = FlowQueue()
    established = queue.add_established()
    queue.add_busy(50)
    queue.push(established)
    assert queue.serve() is established


# Guards against priority that is bounded for each flow alone: a hundred of them would last for a second.
def test_flow_when_many_with_credit_wait_then_it_is_taken_once_their_burst_is_over():
    queue = FlowQueue()
    established = [queue.add_established() for _ in range(100)]
    new = Flow()
    for flow in [new, *established]:
        queue.push(flow)
    taken = []
    while new not in taken:
        taken.append(queue.serve())
    assert len(taken) <= PRIORITY_BURST_S / QUANTUM_S + 2


# Guards against credit that is earned faster than it is paid: a flow with idle moments would always be next.
def test_flow_when_it_returns_after_each_service_then_it_does_not_keep_its_priority():
    queue = FlowQueue()
    returning = queue.add_established()
    returning.cost_factor = 8.0
    queue.add_busy(50)
    taken = []
    for _ in range(1000):
        if not returning.is_queued:
            queue.push(returning)
        taken.append(queue.serve())
    services_by_credit = MAX_CREDIT_S / (QUANTUM_S * returning.cost_factor)
    assert taken.count(returning) <= services_by_credit + len(taken) / 50


# Guards against entries of flows that were taken by the other heap, which stay in a heap for long.
def test_heaps_when_flows_come_back_without_end_then_they_stay_small():
    queue = FlowQueue()
    returning = [queue.add_established() for _ in range(10)]
    queue.add_busy(20)
    for _ in range(5000):
        for flow in returning:
            if not flow.is_queued:
                queue.push(flow)
        queue.serve(MAX_CREDIT_S / 100_000)  # so that credit lasts
    for heap in (queue.queue._by_tag, queue.queue._by_credit):
        assert len(heap._entries) <= MIN_HEAP_SIZE + 2 * 30


# Guards against credit by the queue's share alone, which beside hundreds is not a command in a second.
def test_flow_when_it_was_idle_for_a_while_beside_hundreds_then_it_has_priority_again():
    queue = FlowQueue()
    flow = queue.add_established()
    flow.credit_s = 0.0
    queue.add_busy(400)
    for _ in range(410):  # so that virtual time stands still for most of a round
        queue.serve()
    queue.queue.on_idle(flow, queue.now)
    idle_until = queue.now + 2 * QUANTUM_S / CREDIT_RATE
    while queue.now < idle_until:
        queue.serve()
    queue.push(flow)
    assert queue.serve() is flow


# Guards against priority for new connections that send what asks for no work, and come again.
def test_flow_when_its_first_service_is_charged_more_than_once_then_it_has_no_credit():
    queue = FlowQueue()
    flow = Flow()
    flow.cost_factor = 8.0
    queue.push(flow)
    queue.serve()
    queue.push(flow)
    assert not flow.credit_s
