"""For those who write plug-ins: what a gateway would make of one, without a gateway.

    kit = Kit.load("plugin.toml")
    told = kit.request(customer="00000000b4d65521", cls="read")
    assert told.tags == {"district": "ernakulam"} and told.refuse is None
    kit.close()

Plug-ins are loaded, proved and judged as a gateway does it, under their budgets. Time is the test's:
`kit.now`.
"""

from __future__ import annotations

import os
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from apigateway import messages
from apigateway.config_validation import ConfigReader, ConfigSection, InvalidConfigFileError, read_toml
from apigateway.plugins.chain_version import ChainVersion
from apigateway.plugins.interfaces import Phase, RequestView
from apigateway.plugins.load import Place, load
from apigateway.plugins.proposals import RequestEffects
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.settings import HooksPart, PluginPart

CLASSES = {"roster-read": "safe", "shift-update": "keyed", "staff-notice": "unsafe"}
PLANS = ("basic", "standard", "enterprise")

# The keywords of `Kit.request`, which are the rules' words, where a view's field has another name.
_VIEW_FIELDS = {
    "id": "request_id",
    "cls": "service_class",
    "left": "remaining",
    "write": "is_write",
    "repeat": "is_retry",
    "host": "endpoint_id",
}

PRELUDE = """(module
  (import "calicomast" "setting" (func $setting (param i32 i32 i32 i32) (result i32)))
  (import "calicomast" "setting_number" (func $setting_number (param i32 i32) (result f64)))
  (import "calicomast" "get" (func $get (param i32 i32 i32 i32) (result i32)))
  (import "calicomast" "put" (func $put (param i32 i32 i32 i32) (result i32)))
  (import "calicomast" "log" (func $log (param i32 i32)))
  (import "calicomast" "count" (func $count (param i32 i32 f64)))
  (import "calicomast" "random" (func $random (result f64)))
  (memory (export "memory") 1)
  (global (export "calicomast_abi") i32 (i32.const 1))
  (global (export "calicomast_input") i32 (i32.const 4096))
  (global (export "calicomast_input_size") i32 (i32.const 32768))
"""


def module(body: str) -> str:
    """A module's text: the ABI's imports, memory and globals, then `body`."""
    return PRELUDE + body + ")\n"


def says(text: str, phase: str = "request") -> str:
    """A body that always proposes `text`."""
    escaped = "".join(f"\\{byte:02x}" for byte in text.encode())
    size = len(text.encode())
    return (
        f'(data (i32.const 40960) "{escaped}")\n'
        f'(func (export "on_{phase}") (param i32) (result i64) (i64.const {(40960 << 32) | size}))\n'
    )


def settings(
    classes: Mapping[str, str] | None = None,
    plans: Sequence[str] = PLANS,
    routes: Mapping[str, Sequence[str]] | None = None,
    max_wait: float = 2.0,
) -> messages.Settings:
    """A gateway's: classes with their effects, plans, routes with their kinds of hosts."""
    return messages.Settings(
        0,
        1,
        "a",
        {
            name: messages.ServiceClass(
                name, 1.0, 3.0, effect, "all", 6.0 * (effect == "keyed"), 1.0, 0.0, False, 0.0
            )
            for name, effect in (classes or CLASSES).items()
        },
        {name: messages.Plan(name, 10.0, 100.0, 0, 1.0, 0.0, 0.5, 0.0, 0.0, 0.0) for name in plans},
        messages.Limits(True, False, False, False, True, 3, max_wait),
        messages.Rules(0.0, 2.0, 0.15, 17.0, 2.0, 2.0, 0.0),
        {},
        False,
        0.0,
        0.08,
        0.0,
        False,
        1.0,
        "push",
        (),
        "none",
        {name: messages.Route(name, tuple(kinds), True) for name, kinds in (routes or {}).items()},
    )


class PluginFile(ConfigSection, frozen=True, kw_only=True):
    """A file of [[plugins]] alone, as one writes it beside a module."""

    plugins: list[PluginPart] = []
    hooks: HooksPart = HooksPart()


def read_plugins(path: str) -> PluginFile:
    """`path`: such a file, or a folder with plugin.toml in it. Raises InvalidConfigFileError."""
    if os.path.isdir(path):
        path = os.path.join(path, "plugin.toml")
    tree, reader = read_toml(path), ConfigReader(path)
    told = reader.read(tree, PluginFile)
    if reader.problems or told is None:
        raise InvalidConfigFileError(reader.problems)
    return told


@dataclass(slots=True)
class Told:
    """What came of one request. `refuse` in seconds; `denied` by plug-in, as `verb: reason`; `failed`
    likewise."""

    view: RequestView
    effects: RequestEffects
    refuse: float | None = None
    denied: list[tuple[str, str]] = field(default_factory=list)
    failed: list[tuple[str, str]] = field(default_factory=list)

    @property
    def tags(self) -> dict[str, str]:
        return self.effects.tags

    @property
    def route(self) -> str:
        return self.effects.route


class Kit:
    def __init__(self, version: ChainVersion, now: float = 1_790_000_000.0) -> None:
        """`now`: Unix time that plug-ins are told."""
        self.version, self.now, self.requests = version, now, 0

    @classmethod
    def load(cls, path: str, place: messages.Settings | None = None) -> Kit:
        """From a file or folder as of `read_plugins`. Raises InvalidConfigFileError."""
        if os.path.isdir(path):
            path = os.path.join(path, "plugin.toml")
        told = read_plugins(path)
        return cls(load(told.plugins, told.hooks, Place(path, place or settings())))

    @property
    def runners(self) -> list[PluginRunner]:
        return self.version.runners

    def runner(self, name: str) -> PluginRunner:
        return next(runner for runner in self.runners if runner.name == name)

    def request(self, *, now: float | None = None, **fields: Any) -> Told:
        """`fields`: id, customer, plan, cls, units, left, write, repeat."""
        self.requests += 1
        effects = RequestEffects()
        given: dict[str, Any] = {
            "request_id": f"request-{self.requests}",
            "customer": f"{self.requests:016x}",
            "plan": PLANS[0],
            "service_class": "roster-read",
            "units": 1.0,
            "remaining": 3.0,
            "now": now if now is not None else self.now,
        }
        given |= {_VIEW_FIELDS.get(name, name): value for name, value in fields.items()}
        view = RequestView(**given, tags=effects.tags)
        told = Told(view, effects)
        told.refuse = self.ask(Phase.REQUEST, told)
        return told

    def attempt(self, told: Told, host: str = "h1") -> dict[str, str]:
        """An attempt of it is about to be sent; the attempt's tags."""
        told.effects.attempt_tags.append({})
        told.view.endpoint_id, told.view.attempt = host, len(told.effects.attempt_tags) - 1
        self.ask(Phase.ATTEMPT, told)
        return told.effects.attempt_tags[-1]

    def answer(self, told: Told, outcome: str = "served", elapsed: float = 0.05) -> None:
        told.effects.is_over = True
        told.view.outcome, told.view.elapsed, told.view.endpoint_id = outcome, elapsed, ""
        told.view.attempt = len(told.effects.attempt_tags)
        self.ask(Phase.ANSWER, told)

    def tick(self) -> None:
        self.version.tick(self.now, time.monotonic())

    def ask(self, phase: Phase, told: Told) -> float | None:
        before = [(runner.denied.copy(), runner.failures.copy()) for runner in self.runners]
        refuse = self.version.run_phase(phase, told.view, told.effects, time.monotonic())
        for runner, (denied, failed) in zip(self.runners, before, strict=True):
            told.denied += [(runner.name, what) for what in (runner.denied - denied).elements()]
            told.failed += [(runner.name, what) for what in (runner.failures - failed).elements()]
        return refuse

    def counters(self, name: str) -> dict[str, float]:
        return self.runner(name).plugin.counters()

    def close(self) -> None:
        self.version.close()
