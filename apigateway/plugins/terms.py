"""What plug-ins are shown and what they may say, whatever they are written in. The same for every way to
write one."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

REQUEST, ATTEMPT, ANSWER, TICK = "request", "attempt", "answer", "tick"
PHASES = (REQUEST, ATTEMPT, ANSWER, TICK)
OUTCOMES = ("served", "refused", "failed", "gone")


class Proposal(NamedTuple):
    """What a plug-in would have: ("tag", key, value), ("refuse", seconds, ""), ("route", name, "")."""

    verb: str
    one: str = ""
    two: str = ""


class PluginFailed(Exception):
    """A call that gave nothing that can be used. `reason`: fuel, time, memory, stack, trap, nonsense or
    error; the
    text says more, for the log."""

    def __init__(self, reason: str, text: str = "") -> None:
        self.reason = reason
        super().__init__(f"{reason}: {text}" if text else reason)


@dataclass(slots=True)
class View:
    """One request as plug-ins see it. Times in seconds: `now` Unix time of this call, `left` until its client
    gives up, `elapsed` since it was taken. In the phase tick only `now` tells anything."""

    id: str = ""
    customer: str = ""
    plan: str = ""
    cls: str = ""
    units: float = 0.0
    left: float = 0.0
    now: float = 0.0
    write: bool = False
    repeat: bool = False
    tags: dict[str, str] = field(default_factory=dict)
    route: str = ""
    host: str = ""  # of the attempt to be sent
    attempt: int = 0  # its number, from 0; in the phase answer how many there were
    outcome: str = ""  # of OUTCOMES
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class Budget:
    """What one plug-in may use. `past`: what becomes of a request that it could not be asked about, skip (it
    goes
    on without) or refuse."""

    fuel: int = 200_000  # instructions a call
    time: float = 0.01  # s a call
    memory: int = 4 * 1024 * 1024  # bytes
    share: float = 0.1  # of a core
    span: float = 10.0  # s over which the share is counted
    keys: int = 64 * 1024  # bytes of its key-value memory
    log_lines: float = 1.0  # a second
    max_tags: int = 8  # a request
    max_tag_bytes: int = 512
    failures: int = 5  # in a row, and it is taken out
    rest: float = 5.0  # s until it is tried again; doubles with each failed trial
    most_rest: float = 300.0
    past: str = "skip"


class Plugin(Protocol):
    """One loaded plug-in. `call` raises PluginFailed and nothing else."""

    kind: str
    phases: frozenset[str]

    def call(self, phase: str, view: View) -> list[Proposal]: ...

    def prove(self) -> None:
        """Its own self-test, if it brings one. Raises PluginFailed."""

    def reset(self) -> None:
        """Forgets all that it did so far."""

    def save(self) -> bytes | None:
        """What it would carry over to its successor; None: nothing."""

    def load(self, state: bytes) -> bool:
        """Takes its predecessor's state; False if it takes none."""

    def counters(self) -> dict[str, float]: ...

    def figures(self) -> dict[str, Any]:
        """For operators: what it holds."""

    def close(self) -> None: ...
