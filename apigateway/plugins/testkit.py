"""For those who write plug-ins: what a gateway would make of one, without a gateway.

    kit = Kit.load("plugin.toml")
    result = kit.request(customer="00000000b4d65521", cls="read")
    assert result.tags == {"district": "ernakulam"} and result.refuse is None
    kit.close()

Plug-ins are loaded, validated and judged as a gateway does it, under their budgets. Time is the test's:
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
from apigateway.plugins.interfaces import Outcome, Phase, RequestView
from apigateway.plugins.loader import PluginEnvironment, load_chain
from apigateway.plugins.proposals import RequestEffects
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.settings import HooksSection, PluginSection

# The classes, by their effects, and the plans of a test's gateway that names none.
CLASSES = {"roster-read": "safe", "shift-update": "keyed", "staff-notice": "unsafe"}
PLANS = ("basic", "standard", "enterprise")

DEFAULT_NOW = 1_790_000_000.0  # Unix time that plug-ins see, in seconds
DEFAULT_ELAPSED = 0.05  # s that a request takes

_PLUGIN_FILE = "plugin.toml"
_DEDUPLICATION_WINDOW = 6.0  # s, of keyed classes
_OUTPUT_ADDRESS = 40_960  # of the text that `says` proposes, behind the room for input

# The keywords of `Kit.request`, which are the words of rules, where a view's attribute has another name.
_VIEW_ATTRIBUTES = {
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
    """Return a module's text: the ABI's imports, memory and globals, then `body`."""
    return PRELUDE + body + ")\n"


def says(text: str, phase: str = Phase.REQUEST) -> str:
    """Return a module's body that always proposes `text`."""
    data = text.encode()
    escaped = "".join(f"\\{byte:02x}" for byte in data)
    packed = (_OUTPUT_ADDRESS << 32) | len(data)
    return (
        f'(data (i32.const {_OUTPUT_ADDRESS}) "{escaped}")\n'
        f'(func (export "on_{phase}") (param i32) (result i64) (i64.const {packed}))\n'
    )


def settings(
    classes: Mapping[str, str] | None = None,
    plans: Sequence[str] = PLANS,
    routes: Mapping[str, Sequence[str]] | None = None,
    max_wait: float = 2.0,
) -> messages.Settings:
    """Return a gateway's settings.

    Args:
        classes: Names with their effects.
        routes: Names with the kinds of their hosts.
        max_wait: Longest wait that a rejection tells, in seconds.
    """
    return messages.Settings(
        gateway_index=0,
        gateway_count=1,
        zone="a",
        classes={name: _service_class(name, effect) for name, effect in (classes or CLASSES).items()},
        plans={name: _plan(name) for name in plans},
        limits=messages.Limits(
            can_cancel=True,
            can_hedge=False,
            can_check_health=False,
            can_message_peers=False,
            can_tell_retry_after=True,
            max_attempts=3,
            max_retry_after=max_wait,
        ),
        rules=messages.Rules(
            answer_slack=0.0,
            drain_grace=2.0,
            initial_capacity=0.15,
            slow_start_duration=17.0,
            overload_multiple=2.0,
            overload_duration=2.0,
            max_poll_interval=0.0,
        ),
        prices={},
        has_counter=False,
        counter_price=0.0,
        counter_timeout=0.08,
        meter_period=0.0,
        settles_units=False,
        max_units=1.0,
        discovery_mode="push",
        load_report_fields=(),
        weight_meaning="none",
        routes={name: messages.Route(name, tuple(kinds), True) for name, kinds in (routes or {}).items()},
    )


def _service_class(name: str, effect: str) -> messages.ServiceClass:
    return messages.ServiceClass(
        name,
        latency_objective=1.0,
        deadline=3.0,
        effect=effect,
        deduplication_scope="all",
        deduplication_window=_DEDUPLICATION_WINDOW if effect == "keyed" else 0.0,
        priority_weight=1.0,
        late_priority_weight=0.0,
        is_streaming=False,
        latency_objective_stretch=0.0,
    )


def _plan(name: str) -> messages.Plan:
    return messages.Plan(
        name,
        rate=10.0,
        burst=100.0,
        concurrency_limit=0,
        price_weight=1.0,
        over_quota_weight=0.0,
        over_quota_cost=0.5,
        ceiling_rate=0.0,
        ceiling_burst=0.0,
        ceiling_slack=0.0,
    )


class PluginFile(ConfigSection, frozen=True, kw_only=True):
    """A file of [[plugins]] alone, as one writes it beside a module."""

    plugins: list[PluginSection] = []
    hooks: HooksSection = HooksSection()


def find_plugin_file(path: str) -> str:
    """Return `path`, or plugin.toml in it if it is a folder."""
    return os.path.join(path, _PLUGIN_FILE) if os.path.isdir(path) else path


def read_plugins(path: str) -> PluginFile:
    """Return what is in a file of [[plugins]], or in a folder's. Raises InvalidConfigFileError."""
    file = find_plugin_file(path)
    tree = read_toml(file)
    reader = ConfigReader(file)
    plugin_file = reader.read(tree, PluginFile)
    if reader.problems or plugin_file is None:
        raise InvalidConfigFileError(reader.problems)
    return plugin_file


@dataclass(slots=True)
class RequestResult:
    """What came of one request.

    Attributes:
        refuse: Seconds until the client of a rejected request may come back; None: it was not rejected.
        denied: Proposals without effect: plug-in, and `verb: reason`.
        failed: Failed calls: plug-in, and reason.
    """

    view: RequestView
    effects: RequestEffects
    refuse: float | None = None
    denied: list[tuple[str, str]] = field(default_factory=list)
    failed: list[tuple[str, str]] = field(default_factory=list)

    @property
    def tags(self) -> dict[str, str]:
        """The request's tags, without those of its attempts."""
        return self.effects.tags

    @property
    def route(self) -> str:
        """The route that was chosen; empty: none."""
        return self.effects.route


class Kit:
    """Plug-ins without a gateway, called by a test.

    Attributes:
        now: Unix time that plug-ins see, in seconds.
    """

    def __init__(self, version: ChainVersion, now: float = DEFAULT_NOW) -> None:
        self.version = version
        self.now = now
        self._request_count = 0

    @classmethod
    def load(cls, path: str, gateway_settings: messages.Settings | None = None) -> Kit:
        """Load the plug-ins of a file, or of a folder's plugin.toml. Raises InvalidConfigFileError."""
        file = find_plugin_file(path)
        plugin_file = read_plugins(file)
        environment = PluginEnvironment(file, gateway_settings or settings())
        return cls(load_chain(plugin_file.plugins, plugin_file.hooks, environment))

    @property
    def runners(self) -> list[PluginRunner]:
        """The plug-ins in service."""
        return self.version.runners

    def runner(self, name: str) -> PluginRunner:
        """Return the plug-in of a name."""
        return next(runner for runner in self.runners if runner.name == name)

    def request(self, *, now: float | None = None, **fields: Any) -> RequestResult:
        """Take a request; return what came of it.

        Args:
            now: Unix time that plug-ins see, if it is not that of the kit.
            fields: What differs from a plain request, by the words of rules: id, customer, plan, cls (its
                class), units, left, write, repeat.
        """
        self._request_count += 1
        effects = RequestEffects()
        attributes: dict[str, Any] = {
            "request_id": f"request-{self._request_count}",
            "customer": f"{self._request_count:016x}",
            "plan": PLANS[0],
            "service_class": "roster-read",
            "units": 1.0,
            "remaining": 3.0,
            "now": now if now is not None else self.now,
        }
        attributes |= {_VIEW_ATTRIBUTES.get(name, name): value for name, value in fields.items()}
        result = RequestResult(RequestView(**attributes, tags=effects.tags), effects)
        result.refuse = self._run_phase(Phase.REQUEST, result)
        return result

    def attempt(self, result: RequestResult, host: str = "h1") -> dict[str, str]:
        """Send an attempt of a request to a host; return the attempt's tags."""
        attempt_tags = result.effects.attempt_tags
        attempt_tags.append({})
        result.view.endpoint_id = host
        result.view.attempt = len(attempt_tags) - 1
        self._run_phase(Phase.ATTEMPT, result)
        return attempt_tags[-1]

    def answer(
        self, result: RequestResult, outcome: str = Outcome.COMPLETED, elapsed: float = DEFAULT_ELAPSED
    ) -> None:
        """End a request; `elapsed` is in seconds."""
        result.effects.is_over = True
        result.view.outcome = outcome
        result.view.elapsed = elapsed
        result.view.endpoint_id = ""
        result.view.attempt = len(result.effects.attempt_tags)
        self._run_phase(Phase.ANSWER, result)

    def tick(self) -> None:
        """Call the phase TICK."""
        self.version.tick(self.now, time.monotonic())

    def _run_phase(self, phase: Phase, result: RequestResult) -> float | None:
        before = [(runner.denied.copy(), runner.failures.copy()) for runner in self.runners]
        retry_after = self.version.run_phase(phase, result.view, result.effects, time.monotonic())
        for runner, (denied, failures) in zip(self.runners, before, strict=True):
            result.denied += [(runner.name, what) for what in (runner.denied - denied).elements()]
            result.failed += [(runner.name, what) for what in (runner.failures - failures).elements()]
        return retry_after

    def counters(self, name: str) -> dict[str, float]:
        """Return the counters of a plug-in."""
        return self.runner(name).plugin.counters()

    def close(self) -> None:
        """Close the plug-ins."""
        self.version.close()
