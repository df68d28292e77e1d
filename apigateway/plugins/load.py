"""Files to plug-ins, each proved by calls before it serves. Takes its time, so it runs beside the loop."""

from __future__ import annotations

import hashlib
import importlib.util
import logging
import os
import stat
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from apigateway import messages
from apigateway.config_validation import ConfigProblem, ConfigReader, InvalidConfigFileError, read_toml
from apigateway.plugins.chain_version import ChainVersion
from apigateway.plugins.interfaces import (
    Budget,
    BudgetPolicy,
    Outcome,
    Phase,
    Plugin,
    PluginError,
    RequestView,
)
from apigateway.plugins.proposals import ProposalLimits
from apigateway.plugins.rules import RuleFault, RulesPlugin
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.settings import HooksPart, PluginPart, RuleFile, RulePart

MOST_PLUGINS = 64
MOST_PROOFS = 12  # requests that each plug-in is proved with
MB = 1024 * 1024

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Place:
    """Where plug-ins serve. `path`: the settings file, for faults; files are named beside it."""

    path: str
    settings: messages.Settings
    seed: int = 0

    def allowance(self, hooks: HooksPart) -> ProposalLimits:
        limits = self.settings.limits
        return ProposalLimits(
            frozenset(self.settings.routes),
            hooks.max_tags,
            hooks.max_tag_bytes,
            limits.max_retry_after if limits.can_tell_retry_after else 0.0,
        )


class Bad(Exception):
    """`key` under the plug-in's table; `file` where the fault is in another file than the settings."""

    def __init__(self, key: str, value: object, reason: str, remedy: str, file: str = "") -> None:
        self.key, self.value, self.reason, self.remedy, self.file = key, value, reason, remedy, file
        super().__init__(reason)


def budget_of(part: PluginPart) -> Budget:
    told = part.budget
    return Budget(
        told.fuel,
        told.time_ms / 1000,
        int(told.memory_mb * MB),
        told.share,
        told.span,
        told.key_bytes,
        told.log_lines,
        failure_threshold=told.failures,
        open_time=told.rest,
        max_open_time=max(told.rest, told.most_rest),
        when_exceeded=BudgetPolicy(part.past),
    )


def read_file(path: str, most: float) -> bytes:
    try:
        told = os.stat(path)
        if not stat.S_ISREG(told.st_mode):
            raise Bad("file", path, "is no regular file", "name a .wasm, .wat or .toml file")
        if told.st_size > most:
            raise Bad("file", path, f"holds {told.st_size} bytes", f"{int(most)} at most (hooks.max_file_mb)")
        with open(path, "rb") as file:
            return file.read(int(most) + 1)
    except OSError as err:
        raise Bad("file", path, f"cannot be read ({err.strerror})", "check the path and its rights") from err


def read_rules(path: str) -> list[RulePart]:
    try:
        tree = read_toml(path)
        reader = ConfigReader(path)
        told = reader.read(tree, RuleFile)
    except InvalidConfigFileError as err:
        raise Bad("file", path, str(err), "mend the rules") from err
    if reader.problems or told is None:
        raise InvalidConfigFileError(reader.problems)
    return told.rules


@dataclass(slots=True)
class Source:
    """A plug-in's parts as they were read, not yet a plug-in. `rules` or `raw`."""

    part: PluginPart
    budget: Budget
    raw: bytes
    rules: Sequence[RulePart]
    seed: int
    path: str

    @property
    def digest(self) -> str:
        told = repr((self.part.settings, self.budget, self.rules, self.seed)).encode()
        return hashlib.sha256(self.raw + b"\0" + told).hexdigest()

    def make(self) -> Plugin:
        """Raises Bad."""
        part = self.part
        if self.rules:
            try:
                return RulesPlugin(part.name, self.rules, part.settings, self.budget, self.seed)
            except RuleFault as err:
                raise Bad(
                    err.key, err.value, err.reason, "mend the rule", self.path if part.file else ""
                ) from err
        from apigateway.plugins.wasm import (  # the engine: only where a module is loaded
            InvalidModuleError,
            WasmPlugin,
        )

        try:
            return WasmPlugin(part.name, self.raw, part.settings, self.budget, self.seed)
        except InvalidModuleError as err:
            raise Bad("file", part.file, str(err), "`api-gateway plugin check` says more") from err
        except PluginError as err:
            raise Bad("file", part.file, f"its start failed ({err})", "mend the module") from err


def source(part: PluginPart, folder: str, most: float, seed: int = 0) -> Source:
    """Raises Bad or InvalidConfigFileError."""
    if bool(part.file) == bool(part.rules):
        raise Bad(
            "file",
            part.file or None,
            "both a file and rules" if part.file else "neither a file nor rules",
            "give one of them",
        )
    path, raw, rules = os.path.join(folder, part.file), b"", part.rules
    if part.file:
        raw = read_file(path, most)
        if part.file.endswith(".toml"):
            rules = read_rules(path)
            if not rules:
                raise Bad("file", part.file, "holds no rule", "write [[rules]] over each")
        elif not part.file.endswith((".wasm", ".wat")):
            raise Bad("file", part.file, "is neither .wasm, .wat nor .toml", "name what it is by its ending")
    return Source(part, budget_of(part), raw, rules, seed, path)


def proofs(settings: messages.Settings) -> list[RequestView]:
    """Requests of each class and plan that the gateway has."""
    made: list[RequestView] = []
    for cls in settings.classes.values():
        for plan in settings.plans.values():
            number = len(made) + 1
            made.append(
                RequestView(
                    f"proof-{number}",
                    f"{number:016x}",
                    plan.name,
                    cls.name,
                    1.0,
                    cls.deadline,
                    time.time(),
                    cls.effect != "safe",
                )
            )
    return made[:MOST_PROOFS]


def prove(plugin: Plugin, settings: messages.Settings) -> None:
    """Its own self-test, then a call of each phase for each kind of request. Raises PluginError."""
    plugin.self_test()
    for number, view in enumerate(proofs(settings)):
        for phase in (Phase.REQUEST, Phase.ATTEMPT, Phase.ANSWER):
            if phase in plugin.phases:
                if phase == Phase.ATTEMPT:
                    view.endpoint_id = "proof-host"
                if phase == Phase.ANSWER:
                    view.outcome, view.elapsed, view.endpoint_id = (
                        list(Outcome)[number % len(Outcome)],
                        0.01,
                        "",
                    )
                plugin.call(phase, view)
    if "tick" in plugin.phases:
        plugin.call(Phase.TICK, RequestView(now=time.time()))
    plugin.reset()


def apart(sources: Mapping[int, Source], place: Place) -> dict[int, str]:
    """Modules that failed in a process of their own, and why."""
    modules = {number: one for number, one in sources.items() if not one.rules}
    if not modules:
        return {}
    if importlib.util.find_spec("wasmtime") is None:  # told plainly, not as a module that ended its process
        return dict.fromkeys(
            modules, "needs wasmtime, which is not installed: pip install 'apigateway[plugins]'"
        )
    from apigateway.plugins.apart import Trial, tried

    told = tried(
        [
            Trial(one.part.name, one.raw, one.part.settings, one.budget, one.seed, place.settings)
            for one in modules.values()
        ]
    )
    return {number: why for number, why in zip(modules, told, strict=True) if why}


def seated(one: Source, place: Place) -> PluginRunner:
    """Raises Bad."""
    plugin = one.make()
    try:
        prove(plugin, place.settings)
    except PluginError as err:
        plugin.close()
        raise Bad(
            "file" if one.part.file else "rules",
            one.part.file or None,
            f"failed its proof ({err})",
            "mend it, or widen its budget",
        ) from err
    return PluginRunner(one.part.name, plugin, one.budget, one.digest, time.monotonic())


def load(
    parts: Sequence[PluginPart], hooks: HooksPart, place: Place, old: ChainVersion | None = None
) -> ChainVersion:
    """All plug-ins, proved. One whose file and settings are what they were goes on as it is, with its state
    and
    its figures. Raises InvalidConfigFileError with all that is wrong; then nothing of the new is left."""
    folder = os.path.dirname(os.path.abspath(place.path))
    before = {seat.name: seat for seat in old.runners} if old is not None else {}
    faults: list[ConfigProblem] = []
    seats: list[PluginRunner] = []
    names: set[str] = set()

    def fault(number: int, err: Bad) -> None:
        key = err.key if err.file else f"plugins[{number}].{err.key}"
        value = "" if err.value is None else repr(err.value)[:60]
        faults.append(ConfigProblem(err.file or place.path, key, value, err.reason, err.remedy))

    def attempted(number: int, act: Callable[[], Any]) -> Any:
        try:
            return act()
        except Bad as err:
            fault(number, err)
        except InvalidConfigFileError as err:
            faults.extend(err.problems)
        return None

    read: dict[int, Source] = {}
    for number, part in enumerate(parts):
        if part.name in names:
            fault(number, Bad("name", part.name, "is another plug-in's too", "give each its own"))
        elif number >= MOST_PLUGINS:
            fault(number, Bad("name", part.name, f"more than {MOST_PLUGINS} plug-ins", "use fewer"))
        elif (
            found := attempted(
                number,
                lambda part=part: source(  # type: ignore[misc]
                    part, folder, hooks.max_file_mb * MB, place.seed
                ),
            )
        ) is not None:
            read[number] = found
        names.add(part.name)
    kept = {
        number: before[one.part.name]
        for number, one in read.items()
        if one.part.name in before and before[one.part.name].digest == one.digest
    }
    for number, why in apart({n: one for n, one in read.items() if n not in kept}, place).items():
        fault(
            number, Bad("file", read.pop(number).part.file, why, "`api-gateway plugin check` says the same")
        )
    for number, one in read.items():
        seat = kept.get(number) or attempted(number, lambda one=one: seated(one, place))  # type: ignore[misc]
        seats += [seat] if seat is not None else []
    if faults:
        for seat in seats:
            if seat not in before.values():
                seat.plugin.close()
        raise InvalidConfigFileError(faults)
    return ChainVersion(seats, place.allowance(hooks), hooks.time_ms / 1000)
