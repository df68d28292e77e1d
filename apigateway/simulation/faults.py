"""Carries out a timeline's faults on a world."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeVar

from apigateway.simulation.host import HostMode, SimulatedHost
from apigateway.simulation.network import LinkFault
from apigateway.simulation.node import Node
from apigateway.simulation.scenario import FaultKind, FaultSettings

if TYPE_CHECKING:
    from apigateway.simulation.world import World

T = TypeVar("T")
MODES = (FaultKind.HANG, FaultKind.ERROR, FaultKind.FULL)  # the host mode of the same name


def part_of(world: World, things: list[T], part: float) -> list[T]:
    return world.rng.sample(things, min(len(things), max(1, round(part * len(things))))) if things else []


def begin(world: World, fault: FaultSettings) -> None:
    kind, after = fault.what, world.clock.call_later
    hosts = list(world.machines.values())
    if kind == "kill":
        for node in part_of(world, [n for n in world.nodes if n.alive], fault.part):
            kill(world, node, fault.back)
    elif kind == "replace":
        for machine in part_of(world, hosts, fault.part):
            after(world.rng.random() * fault.over, replace, world, machine)
    elif kind in MODES:
        for machine in part_of(world, hosts, fault.part):
            machine.set_mode(HostMode(kind))
            after(fault.lasts, machine.set_mode, HostMode.UP)
    elif kind in ("refuse", "refuse_some"):
        gateways = set(range(len(world.nodes)))
        for machine in part_of(world, hosts, fault.part):
            half = world.rng.sample(sorted(gateways), len(gateways) // 2)
            machine.refused_gateways = gateways if kind == "refuse" else set(half)
            after(fault.lasts, machine.refused_gateways.clear)
    elif kind == "lie":
        for machine in part_of(world, hosts, fault.part):
            machine.reporter.is_lying = True
            after(fault.lasts, set_lies, machine)
    elif kind == "slow":
        for machine in part_of(world, hosts, fault.part):
            machine.set_speed_factor(fault.size)
            after(fault.lasts, machine.set_speed_factor, 1.0)
    elif kind == "dark":
        dark(world, fault)
    elif kind in ("cut", "link"):
        delay, lose = (0.0, 1.0) if kind == "cut" else (fault.size, fault.lose)
        add_link(
            world,
            LinkFault(
                fault.there if kind == "link" else fault.zone,
                fault.zone if kind == "link" else "*",
                delay,
                lose,
                kind == "link",
            ),
            fault.lasts,
            fault.zone if kind == "cut" else "",
        )
    elif kind == "counter":
        world.quota_counter.is_silent = True
        after(fault.lasts, setattr, world.quota_counter, "is_silent", False)
    elif kind == "shift":
        for customer in part_of(world, world.demand.customers, fault.part):
            world.demand.draw_gateway_preference(customer)
    elif kind == "surge":
        world.times = fault.size
        after(fault.lasts, setattr, world, "times", 1.0)
    elif kind == "stale":
        for machine in hosts:
            if machine.endpoint.zone == fault.zone:
                machine.reporter.extra_delay = fault.size
                after(fault.lasts, setattr, machine.reporter, "extra_delay", 0.0)
    elif kind == "list":
        world.late = fault.size
        after(fault.lasts, setattr, world, "late", 0.0)


def kill(world: World, node: Node, back: float) -> None:
    """What it held is lost; it comes back with the list as it last had it."""
    node.die()
    world.clock.call_later(back * (0.75 + 0.5 * world.rng.random()), revive, node)


def revive(node: Node) -> None:
    if not node.alive:
        node.start(tuple(node.told.values()))


def replace(world: World, machine: SimulatedHost) -> None:
    """It drains, and a cold one takes its place."""
    if machine.endpoint.id not in world.machines:
        return
    world.tell(dataclasses.replace(machine.endpoint, state="leaving"), True)
    new = world.add_machine(machine.endpoint.zone, machine.endpoint.cell, world.clock.now)
    world.tell(new.endpoint, True)
    grace = world.scenario.rules.drain_grace + world.scenario.listing.late + world.scenario.listing.spread
    world.clock.call_later(grace + 6.0, remove, world, machine)


def remove(world: World, machine: SimulatedHost) -> None:
    machine.stop()
    world.machines.pop(machine.endpoint.id, None)
    world.tell(dataclasses.replace(machine.endpoint, state="down"), True)


def set_lies(machine: SimulatedHost) -> None:
    machine.reporter.is_lying = False


def add_link(world: World, fault: LinkFault, lasts: float, but: str = "") -> None:
    """`but`: a zone that is cut off from all others, and not from itself."""
    added = [fault]
    if but:
        others = {*world.scenario.zones, world.counter_place.zone} - {but}
        added = [LinkFault(but, other, loss=1.0) for other in sorted(others)]
    world.network.faults += added

    def heal() -> None:
        for each in added:
            world.network.faults.remove(each)

    world.clock.call_later(lasts, heal)


def dark(world: World, fault: FaultSettings) -> None:
    """A site is lost: its hosts and gateways say nothing, and come back, cold where `cold`."""
    gone = [m for m in world.machines.values() if m.endpoint.zone == fault.zone]
    for machine in gone:
        machine.stop()
        machine.is_silent = True
        world.clock.call_later(fault.lasts, come_back, world, machine, fault.cold)
    for node in world.nodes:
        if node.place.zone == fault.zone and node.alive:
            kill(world, node, fault.lasts)


def come_back(world: World, machine: SimulatedHost, cold: bool) -> None:
    if world.machines.get(machine.endpoint.id) is not machine:
        return
    started = world.clock.now if cold else machine.endpoint.started_at
    machine.restart(dataclasses.replace(machine.endpoint, started_at=started))
    world.tell(machine.endpoint, True)
