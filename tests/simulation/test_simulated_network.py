"""The simulated network."""

import random

from apigateway.simulation.clock import START_TIME, SimulatedClock
from apigateway.simulation.network import Distances, LinkFault, Location, Network


def test_messages_when_links_are_impaired_are_delayed_or_lost():
    clock = SimulatedClock()
    network = Network(clock, Distances(), random.Random(1))
    here, there, got = Location("g1", "a"), Location("h1", "b"), []
    network.faults = [LinkFault("a", "h1", delay=1.0, is_one_way=True), LinkFault("g1", "h2", loss=1.0)]
    network.send(here, there, lambda: got.append(("there", clock.now - START_TIME)))
    network.send(there, here, lambda: got.append(("back", clock.now - START_TIME)))
    assert not network.send(here, Location("h2", "c"), got.append, "lost")
    assert not network.send(Location("h2", "c"), here, got.append, "lost")
    clock.run_until(START_TIME + 2)
    assert [name for name, _ in got] == ["back", "there"] and 1.0 < got[1][1] < 1.01
