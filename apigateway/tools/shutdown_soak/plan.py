"""The plan of one run, drawn from a seed; it is data, so that it can be printed and replayed."""

from __future__ import annotations

import random
from dataclasses import dataclass, fields, replace
from enum import StrEnum

from apigateway.emulators.script import StepKind

MAX_KILL_DEADLINE_S = 3.0  # a longer deadline of a class does not delay the platform's SIGKILL
KILL_DELAY_S = 0.7  # earliest SIGKILL after SIGTERM, in addition to the longest deadline
HOST_COUNT = 3
DEFAULT_DESCRIPTORS = 1024
EARLY_STOP_SHARE = 0.15  # of the runs, as the next three
SILENT_COUNTER_SHARE = 0.3
SILENT_WATCHES_SHARE = 0.3
MAX_PAUSES = 3
PAUSE_LENGTHS_S = (0.14, 0.3, 0.6)  # just within what the platform's pages allow; and beyond it
SHUTDOWN_PAUSE_SHARE = 0.5  # of the runs with pauses
MAX_SHUTDOWN_PAUSE_DELAY_S = 0.5
MAX_BUSY_CONNECTIONS = 10
CROWD_SHARE = 0.25
CROWD_SIZE = 150  # more than CROWD_DESCRIPTORS
CROWD_DESCRIPTORS = 128  # of a gateway that a crowd fills


class Program(StrEnum):
    """How the gateway is started."""

    PLATFORM = "platform"  # python -m apigateway.daemon, with the platform's configuration
    SERVE = "serve"  # api-gateway serve


class SignalName(StrEnum):
    """Signals that are sent to the gateway."""

    RELOAD = "SIGHUP"
    TERMINATE = "SIGTERM"
    INTERRUPT = "SIGINT"


@dataclass(frozen=True, slots=True)
class PlannedSignal:
    """A signal, `after_s` seconds after the one before it."""

    name: SignalName
    after_s: float


class HostFaultKind(StrEnum):
    """What happens to a host; the first three are steps of its script."""

    HANG = StepKind.SILENT
    RESET = StepKind.RESET
    LATE = StepKind.STALL
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class HostFault:
    """A fault of one host, `at_s` seconds after the clients have started."""

    kind: HostFaultKind
    host: int
    at_s: float
    lasts_s: float
    delay_s: float = 0.0  # of a late answer


@dataclass(frozen=True, slots=True)
class Crowd:
    """Idle connections that fill the gateway's descriptors."""

    size: int
    at_s: float
    lasts_s: float


@dataclass(frozen=True, slots=True)
class Pause:
    """A pause of the gateway's process, which begins `at_s` seconds after the clients have started."""

    at_s: float
    lasts_s: float


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One run.

    Attributes:
        longest_deadline_s: The longest deadline of a class, from which the time of SIGKILL follows.
        early_stop: Signals sent while the gateway starts, before it listens; if any, there are no clients.
        load_s: How long clients send before the first of `signals`.
        signals: Signals in series; the last one or an earlier one ends the gateway.
        newcomers_s: How long new connections go on coming after the gateway was told to end.
        silent_counter_at_s: When the counter falls silent; None if it does not.
        silent_watches_at_s: When the open watches fall silent; None if they do not.
        pauses: Pauses of the gateway one after another. At most one begins after `load_s`.
        busy_connections: Connections that always have a request in flight, so that they are never idle.
    """

    seed: int
    program: Program
    longest_deadline_s: float
    early_stop: tuple[PlannedSignal, ...]
    load_s: float
    signals: tuple[PlannedSignal, ...]
    newcomers_s: float
    host_faults: tuple[HostFault, ...]
    silent_counter_at_s: float | None
    silent_watches_at_s: float | None
    crowd: Crowd | None
    steady_clients: int
    pipelining_clients: int
    resting_clients: int
    half_command_clients: int
    leaving_clients: int
    half_closing_clients: int
    pauses: tuple[Pause, ...] = ()
    busy_connections: int = 0

    @property
    def kill_after_s(self) -> float:
        """Return the earliest SIGKILL after the first signal that ends the gateway.

        A pause in the shutdown does not count, since the gateway cannot use that time.
        """
        paused_s = sum(pause.lasts_s for pause in self.pauses if pause.at_s >= self.load_s)
        return min(MAX_KILL_DEADLINE_S, self.longest_deadline_s) + KILL_DELAY_S + paused_s

    @property
    def descriptors(self) -> int:
        """Return the gateway's limit on descriptors."""
        return CROWD_DESCRIPTORS if self.crowd is not None else DEFAULT_DESCRIPTORS

    def __str__(self) -> str:
        return "\n".join(f"  {field.name} = {getattr(self, field.name)}" for field in fields(self))


def draw_plan(seed: int, has_pauses: bool = False, has_busy_connections: bool = False) -> SoakPlan:
    """Draw the plan of a seed; with pauses, it is the same plan with a longer load."""
    plan = _draw_plan_without_pauses(seed)
    if has_busy_connections:
        rng = random.Random(f"shutdown soak/busy connections/{seed}")
        plan = replace(plan, busy_connections=rng.randint(1, MAX_BUSY_CONNECTIONS))
    if not has_pauses:
        return plan
    pauses = _draw_pauses(random.Random(f"shutdown soak/pauses/{seed}"), plan.load_s)
    load_s = round(plan.load_s + sum(pause.lasts_s for pause in pauses), 3)
    shutdown_pauses = _draw_shutdown_pauses(random.Random(f"shutdown soak/shutdown pauses/{seed}"), load_s)
    return replace(plan, pauses=pauses + shutdown_pauses, load_s=load_s)


def _draw_pauses(rng: random.Random, load_s: float) -> tuple[Pause, ...]:
    """Draw pauses that follow each other, with `load_s` of load between them in all."""
    times = sorted(rng.uniform(0.0, load_s) for _ in range(rng.randint(1, MAX_PAUSES)))
    pauses = []
    paused_s = 0.0
    for time in times:
        length_s = rng.choice(PAUSE_LENGTHS_S)
        pauses.append(Pause(round(time + paused_s, 3), length_s))
        paused_s += length_s
    return tuple(pauses)


def _draw_shutdown_pauses(rng: random.Random, load_s: float) -> tuple[Pause, ...]:
    """Draw a pause that begins while the gateway is told to end, or ends, in a share of the runs."""
    if rng.random() >= SHUTDOWN_PAUSE_SHARE:
        return ()
    at_s = load_s + rng.uniform(0.0, MAX_SHUTDOWN_PAUSE_DELAY_S)
    return (Pause(round(at_s, 3), rng.choice(PAUSE_LENGTHS_S)),)


def _draw_plan_without_pauses(seed: int) -> SoakPlan:
    rng = random.Random(f"shutdown soak/{seed}")
    load_s = round(rng.uniform(0.6, 2.0), 3)
    is_early = rng.random() < EARLY_STOP_SHARE
    crowd = Crowd(CROWD_SIZE, round(rng.uniform(0.0, load_s), 3), round(rng.uniform(0.3, 1.5), 3))
    return SoakPlan(
        seed=seed,
        program=rng.choice(list(Program)),
        longest_deadline_s=round(rng.uniform(0.4, 3.0), 2),
        early_stop=_draw_signals(rng, 0.4) if is_early else (),
        load_s=load_s,
        signals=_draw_signals(rng, 0.3),
        newcomers_s=round(rng.uniform(0.2, 0.4), 3),
        host_faults=tuple(_draw_host_fault(rng, load_s) for _ in range(rng.randint(0, 3))),
        silent_counter_at_s=_draw_time(rng, load_s, SILENT_COUNTER_SHARE),
        silent_watches_at_s=_draw_time(rng, load_s, SILENT_WATCHES_SHARE),
        crowd=crowd if rng.random() < CROWD_SHARE else None,
        steady_clients=rng.randint(3, 8),
        pipelining_clients=rng.randint(0, 3),
        resting_clients=rng.randint(1, 4),
        half_command_clients=rng.randint(0, 2),
        leaving_clients=rng.randint(0, 2),
        half_closing_clients=rng.randint(0, 1),
    )


def _draw_time(rng: random.Random, end_s: float, share: float) -> float | None:
    """Draw a time before `end_s`, in a share of the runs."""
    at_s = round(rng.uniform(0.0, end_s), 3)
    return at_s if rng.random() < share else None


def _draw_signals(rng: random.Random, max_first_s: float) -> tuple[PlannedSignal, ...]:
    """Draw a series of signals of which at least one ends the gateway."""
    stop = rng.choice([SignalName.TERMINATE, SignalName.TERMINATE, SignalName.INTERRUPT])
    before = [SignalName.RELOAD] * rng.choice([0, 0, 1, 2])
    after = rng.choices(list(SignalName), k=rng.choice([0, 0, 1, 2]))
    signals = []
    for number, name in enumerate([*before, stop, *after]):
        pause = rng.uniform(0.0, max_first_s) if number == 0 else rng.choice([0.001, 0.001, 0.02, 0.15])
        signals.append(PlannedSignal(name, round(pause, 4)))
    return tuple(signals)


def _draw_host_fault(rng: random.Random, load_s: float) -> HostFault:
    return HostFault(
        kind=rng.choice(list(HostFaultKind)),
        host=rng.randrange(HOST_COUNT),
        at_s=round(rng.uniform(0.0, load_s + 0.5), 3),
        lasts_s=round(rng.uniform(0.2, 4.0), 3),
        delay_s=round(rng.uniform(0.05, 1.0), 3),
    )
