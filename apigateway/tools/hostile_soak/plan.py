"""The plan of one run beside abusive clients, drawn from a seed."""

from __future__ import annotations

import json
import math
import random
from dataclasses import dataclass, fields, replace
from typing import Any

from apigateway.emulators import hostile_crowd
from apigateway.emulators.hostile_clients import AbuseKind
from apigateway.tools.shutdown_soak.plan import HOST_COUNT, Pause, Program, SoakPlan, draw_plan

FLOOD_CONNECTIONS = (1, 6, 20, 60)
CROWD_CONNECTIONS = (200, 450, 900)
STORM_CONNECTIONS = (5, 50)
# Kinds that a seed may draw. The others are played by themselves, so that each seed keeps its plan.
DRAWN_KINDS = [kind for kind in AbuseKind if kind != AbuseKind.REPEATED_ERRORS]
CROWDS = (AbuseKind.HALF_BODIES, AbuseKind.SLOW_BYTES, AbuseKind.IDLE_CROWD)
DEADLINES_S = (1.0, 2.0, 3.0, 6.0)
MAX_ABUSES = 3
REST_S = 10.0  # after the last abuse, when the memory is compared with that of before
CROWD_REST_S = 8.0  # the same after a crowd that plays scripts
WORK_S = 0.01
PAUSE_S = 0.14
PAUSE_SHARE = 0.25  # of the runs, as the next two
REST_SHARE = 0.3
REPEATING_CLIENTS_SHARE = 0.5
REPLACEMENTS_SHARE = 0.4
MAX_REPLACEMENTS = 4
DOWN_TIMES_S = (0.0, 0.05, 0.2)
TOLD_AFTER_S = (0.0, 0.1, 1.5)
NEW_ID_SHARE = 0.5
SCRIPTED_CROWDS = (60, 200, 450, 700, 950)
ONE_SCRIPT_SHARE = 0.5  # of the crowds, whose clients all do the same
CROWD_REST_SHARE = 0.6
REST_MARGIN_S = 0.3  # so that the memory is judged before the gateway is told to end
CROWD_WORK_S = (0.01, 0.05, 0.2)


@dataclass(frozen=True, slots=True)
class Abuse:
    """One kind of abuse, `at_s` seconds after the judged clients have started."""

    kind: AbuseKind
    connections: int
    at_s: float
    lasts_s: float


@dataclass(frozen=True, slots=True)
class Crowd:
    """Abusive clients that play scripts, `at_s` seconds after the judged clients have started.

    Attributes:
        script: The steps that all of them play, as JSON (`emulators/hostile_crowd.py`); empty: each client
            draws its own from the seed.
    """

    connections: int
    at_s: float
    lasts_s: float
    script: str = ""


@dataclass(frozen=True, slots=True)
class Replacement:
    """A host's process that is replaced at its address, `at_s` seconds after the judged clients have started.

    Attributes:
        down_s: How long nobody listens at the address.
        told_after_s: How long after the new process started discovery tells of it.
        has_new_id: Whether the new process has another id.
    """

    host: int
    at_s: float
    down_s: float
    told_after_s: float
    has_new_id: bool


@dataclass(frozen=True, slots=True)
class HostilePlan:
    """One run.

    Attributes:
        base: The judged clients, the faults of hosts, and how the gateway ends.
        abuses: What abusive clients do meanwhile.
        repeating_clients: Clients that leave and send the same request again on a new connection.
        departing_pipeliners: Clients that send many requests at once and leave.
        replacements: Hosts that are replaced meanwhile.
        crowds: Abusive clients that play scripts. With any, the memory is held to the crowds' limits.
        work_s: What a request takes at a host; hosts of any such time serve as many requests a second.
        has_rest: Whether the gateway gets REST_S before its end, after which its memory is judged.
    """

    base: SoakPlan
    abuses: tuple[Abuse, ...]
    repeating_clients: int = 0
    departing_pipeliners: int = 0
    replacements: tuple[Replacement, ...] = ()
    crowds: tuple[Crowd, ...] = ()
    work_s: float = WORK_S
    has_rest: bool = False

    @property
    def abused_until_s(self) -> float:
        """When the last abuse is over; infinite without any."""
        ends = [abuse.at_s + abuse.lasts_s for abuse in self.abuses]
        ends += [crowd.at_s + crowd.lasts_s for crowd in self.crowds]
        return max(ends, default=math.inf)

    @property
    def rest_s(self) -> float:
        """How long after the last abuse the memory is judged."""
        return CROWD_REST_S if self.crowds else REST_S

    def __str__(self) -> str:
        own = [f"  {field.name} = {getattr(self, field.name)}" for field in fields(self)[1:]]
        return "\n".join([str(self.base), *own])


def draw_hostile_plan(seed: int) -> HostilePlan:
    """Draw the plan of a seed."""
    rng = random.Random(f"hostile soak/{seed}")
    abuses = tuple(_draw_abuse(rng) for _ in range(rng.randint(1, MAX_ABUSES)))
    ends_at_s = max(abuse.at_s + abuse.lasts_s for abuse in abuses)
    has_rest = rng.random() < REST_SHARE
    load_s = ends_at_s + REST_S if has_rest else rng.uniform(max(1.0, ends_at_s - 2.0), ends_at_s)
    has_pause = rng.random() < PAUSE_SHARE
    pauses = (Pause(round(abuses[0].at_s - PAUSE_S / 2, 3), PAUSE_S),) if has_pause else ()
    has_repeats = rng.random() < REPEATING_CLIENTS_SHARE
    return HostilePlan(
        base=_base_plan(seed, rng, round(load_s, 3), pauses),
        abuses=abuses,
        repeating_clients=rng.randint(1, 4) if has_repeats else 0,
        departing_pipeliners=rng.randint(0, 2),
        replacements=_draw_replacements(random.Random(f"hostile soak/replacements/{seed}"), load_s),
        has_rest=has_rest,
    )


def draw_crowd_plan(seed: int) -> HostilePlan:
    """Draw the plan of a seed with crowds that play scripts: one script for all, or one for each client."""
    rng = random.Random(f"hostile soak/crowds/{seed}")
    crowds = tuple(_draw_crowd(rng) for _ in range(rng.choice((1, 1, 2))))
    ends_at_s = max(crowd.at_s + crowd.lasts_s for crowd in crowds)
    has_rest = rng.random() < CROWD_REST_SHARE
    load_s = ends_at_s + CROWD_REST_S + REST_MARGIN_S if has_rest else rng.uniform(2.0, ends_at_s)
    has_pause = rng.random() < PAUSE_SHARE
    pauses = (Pause(round(crowds[0].at_s + 1.0, 3), PAUSE_S),) if has_pause else ()
    return HostilePlan(
        base=_base_plan(seed, rng, round(load_s, 3), pauses),
        abuses=(),
        crowds=crowds,
        work_s=rng.choice(CROWD_WORK_S),
        has_rest=has_rest,
    )


def _draw_crowd(rng: random.Random) -> Crowd:
    script = json.dumps(hostile_crowd.draw_script(rng)) if rng.random() < ONE_SCRIPT_SHARE else ""
    at_s = round(rng.uniform(0.5, 1.5), 3)
    return Crowd(rng.choice(SCRIPTED_CROWDS), at_s, round(rng.uniform(3.0, 8.0), 3), script)


def _draw_replacements(rng: random.Random, load_s: float) -> tuple[Replacement, ...]:
    if rng.random() >= REPLACEMENTS_SHARE:
        return ()
    return tuple(
        Replacement(
            host=rng.randrange(HOST_COUNT),
            at_s=round(rng.uniform(0.2, load_s), 3),
            down_s=rng.choice(DOWN_TIMES_S),
            told_after_s=rng.choice(TOLD_AFTER_S),
            has_new_id=rng.random() < NEW_ID_SHARE,
        )
        for _ in range(rng.randint(1, MAX_REPLACEMENTS))
    )


def plan_of(seed: int, *abuses: Abuse, load_s: float, **changes: Any) -> HostilePlan:
    """Return a plan with given abuses on the platform's program, and quiet hosts."""
    rng = random.Random(f"hostile soak/base/{seed}")
    base = _base_plan(seed, rng, load_s, ())
    quiet = replace(base, program=Program.PLATFORM, host_faults=(), longest_deadline_s=2.0)
    plan = HostilePlan(replace(quiet, silent_counter_at_s=None, silent_watches_at_s=None), abuses)
    return replace(plan, **changes)


def _base_plan(seed: int, rng: random.Random, load_s: float, pauses: tuple[Pause, ...]) -> SoakPlan:
    """Return a plan of the soak of shutdowns without early stops and without its small crowd."""
    return replace(
        draw_plan(seed),
        early_stop=(),
        crowd=None,
        load_s=load_s,
        longest_deadline_s=rng.choice(DEADLINES_S),
        pauses=pauses,
    )


def _draw_abuse(rng: random.Random) -> Abuse:
    kind = rng.choice(DRAWN_KINDS)
    counts: tuple[int, ...]
    if kind in CROWDS:
        counts = CROWD_CONNECTIONS
    elif kind == AbuseKind.CONNECT_STORM:
        counts = STORM_CONNECTIONS
    else:
        counts = FLOOD_CONNECTIONS
    at_s = round(rng.uniform(0.5, 2.0), 3)
    return Abuse(kind, rng.choice(counts), at_s, round(rng.uniform(1.5, 4.0), 3))
