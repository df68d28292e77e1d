"""The simulated network."""

import random

from apigateway.simulation.clock import START_TIME, SimulatedClock
from apigateway.simulation.network import Distances, LinkFault, Location, Network


def test_messages_on_impaired_links_are_delayed_or_lost():
    clock = SimulatedClock()
    network = Network(clock, Distances(), random.Random(1))
    gateway, host, delivered = Location("g1", "a"), Location("h1", "b"), []
    network.faults = [LinkFault("a", "h1", delay=1.0, is_one_way=True), LinkFault("g1", "h2", loss=1.0)]
    network.send(gateway, host, lambda: delivered.append(("forward", clock.now - START_TIME)))
    network.send(host, gateway, lambda: delivered.append(("backward", clock.now - START_TIME)))
    assert not network.send(gateway, Location("h2", "c"), delivered.append, "lost")
    assert not network.send(Location("h2", "c"), gateway, delivered.append, "lost")
    clock.run_until(START_TIME + 2)
    assert [name for name, _ in delivered] == ["backward", "forward"] and 1.0 < delivered[1][1] < 1.01
