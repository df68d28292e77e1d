"""Ways to decide that the module is measured against. All but `quota` let all in and keep no quota.

`random`, `robin`, `two` (the emptier of two drawn hosts), `best` (the emptiest of all); `two` and `best` by
the true state, or with a number behind (`two:0.5`) by that of so many seconds ago. A host's load is what it
holds for each core. `quota:0.5` chooses as `two:0.5` and refuses what customers' quotas have no room for, by
their true state so many seconds ago: what no counter and no gateway tells."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from apigateway import messages

if TYPE_CHECKING:
    from apigateway.simulation.world import World

NAMES = ("random", "robin", "two", "best", "quota")
AGAIN = ("connect_failed", "full", "error", "reset")


def known(policy: str) -> bool:
    """Whether there is a baseline of this name."""
    name, _, age = policy.partition(":")
    try:
        return name in NAMES and (not age or float(age) >= 0)
    except ValueError:
        return False


class Simple:
    """Stands in for the decision module of one gateway."""

    def __init__(self, world: World, policy: str, rng: random.Random) -> None:
        self.world, self.rng = world, rng
        self.way, _, age = policy.partition(":")
        self.age = float(age or 0)
        self.up: dict[str, messages.Endpoint] = {}
        self.turn = rng.randrange(1 << 20)
        self.effects: dict[str, tuple[str, set[str]]] = {}

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]:
        match event:
            case messages.EndpointList():
                for host in event.endpoints:
                    if host.state == "up":
                        self.up[host.id] = host
                    else:
                        self.up.pop(host.id, None)
            case messages.Request():
                if self.way == "quota" and not self.world.judge.room(event.customer, event.plan, self.age):
                    return [messages.Reject(event.request_id, 0.0)]
                self.effects[event.request_id] = event.service_class, set()
                return self.send(event.request_id)
            case messages.AttemptOutcome(is_final=False) if event.request_id in self.effects:
                if event.result not in AGAIN:
                    return self.end(event.request_id)
                cls = self.world.classes[self.effects[event.request_id][0]]
                ran = event.result in ("error", "reset") and cls.effect != "safe"
                return self.end(event.request_id) if ran else self.send(event.request_id)
            case messages.AttemptOutcome() | messages.ClientDisconnected():
                self.effects.pop(event.request_id, None)
        return []

    def end(self, request: str) -> list[messages.Action]:
        del self.effects[request]
        return [messages.Fail(request)]

    def send(self, request: str) -> list[messages.Action]:
        tried = self.effects[request][1]
        if len(tried) >= self.world.scenario.max_attempts or len(tried) >= len(self.up):
            return self.end(request)
        host = self.choose(tried)
        tried.add(host)
        return [messages.ForwardRequest(request, host)]

    def choose(self, tried: set[str]) -> str:
        names = [name for name in self.up if name not in tried]
        if self.way == "robin":
            self.turn += 1
            return names[self.turn % len(names)]
        if self.way == "random":
            return names[int(self.rng.random() * len(names))]
        drawn = names if self.way == "best" else self.rng.sample(names, min(2, len(names)))
        if self.way == "best":
            self.rng.shuffle(drawn)
        return min(drawn, key=lambda name: self.world.held(name, self.age))
