"""What `api-gateway plugin` does: skeletons, checks, runs over recorded requests, the cost of a call."""

from __future__ import annotations

import os
import re
import statistics
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from apigateway import messages
from apigateway.config_validation import InvalidConfigFileError
from apigateway.plugins.interfaces import Phase, RequestView
from apigateway.plugins.loader import PluginEnvironment, load_plugins
from apigateway.plugins.records import parse_record, read_records
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.settings import HooksSection, PluginSection
from apigateway.plugins.testkit import Kit, RequestResult, read_plugins, settings
from apigateway.plugins.validation import sample_requests
from apigateway.tools.skeletons import skeleton

NAME = re.compile(r"[a-z][a-z0-9_-]{0,31}")


class Unusable(Exception):
    """Arguments that cannot be used."""


@dataclass(slots=True)
class Report:
    lines: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    good: bool = True


def new(name: str, kind: str, folder: str) -> list[str]:
    """The files that were written. Nothing that is there is written over."""
    if not NAME.fullmatch(name):
        raise Unusable(f"{name!r}: a plug-in's name is small letters, digits, _ and -, 32 at most")
    place = os.path.join(folder, name)
    os.makedirs(place, exist_ok=True)
    made = []
    for file, text in skeleton(name, kind).items():
        path = os.path.join(place, file)
        with open(path, "x", encoding="utf-8") as out:
            out.write(text)
        made.append(path)
    return made


def build(path: str) -> str:
    from apigateway.plugins.wasm import InvalidModuleError, assemble

    if not path.endswith(".wat"):
        raise Unusable(f"{path}: name a .wat file")
    with open(path, "rb") as file:
        raw = file.read()
    try:
        made = assemble(raw)
    except InvalidModuleError as err:
        raise Unusable(f"{path}: {err}") from err
    out = path.removesuffix(".wat") + ".wasm"
    with open(out, "wb") as target:
        target.write(made)
    return f"{out}: {len(made)} bytes"


def read(path: str) -> tuple[str, list[PluginSection], HooksSection, messages.Settings | None]:
    """The file, its plug-ins, and what its gateway tells the decision module where it is a gateway's."""
    if os.path.isdir(path):
        path = os.path.join(path, "plugin.toml")
    try:
        told = read_plugins(path)
        return path, told.plugins, told.hooks, None
    except InvalidConfigFileError as err:
        if not any(fault.key in ("listeners", "classes", "plans", "gateway") for fault in err.problems):
            raise
    from apigateway.daemon.settings import read_settings
    from apigateway.daemon.settings_runtime import build_module_settings

    whole = read_settings(path)
    return path, whole.plugins, whole.hooks, build_module_settings(whole)


def loaded(path: str, place: messages.Settings | None = None) -> Kit:
    file, plugins, hooks, own = read(path)
    if not plugins:
        raise Unusable(f"{file}: names no plug-in")
    return Kit(load_plugins(plugins, hooks, PluginEnvironment(file, place or own or settings())))


def check(path: str) -> Report:
    """Raises InvalidConfigFileError with all that is wrong."""
    kit, report = loaded(path), Report()
    try:
        for seat in kit.runners:
            most = most_fuel(seat, kit)
            used = f", {most} of {seat.budget.fuel} fuel at most in its proof" if most is not None else ""
            phases = ", ".join(phase for phase in Phase if phase in seat.plugin.phases)
            report.lines.append(f"{seat.name}: good; {seat.plugin.kind}, phases {phases}{used}")
    finally:
        kit.close()
    return report


def most_fuel(seat: PluginRunner, kit: Kit) -> int | None:
    plugin: Any = seat.plugin
    if not hasattr(plugin, "fuel_used"):
        return None
    most = 0
    for view in sample_requests(settings()):
        for phase in seat.plugin.phases:
            plugin.call(phase, RequestView(now=view.now) if phase == Phase.TICK else view)
            most = max(most, plugin.fuel_used())
    return most


def recorded(path: str) -> list[tuple[int, dict[str, Any], RequestView]]:
    try:
        return [(number, told, parse_record(told)) for number, told in read_records(path)]
    except (ValueError, UnicodeDecodeError) as err:
        raise Unusable(f"{path}: no records ({err})") from err


def replay(path: str, records: str, gateway: str | None = None, each: bool = False) -> Report:
    """Each recorded request through the plug-ins as if it came now; attempts and answer as they were."""
    told = recorded(records)
    place = settings(
        {view.service_class: "unsafe" if view.is_write else "safe" for _, _, view in told} or None,
        sorted({view.plan for _, _, view in told}) or ("basic",),
    )
    if gateway is not None:
        from apigateway.daemon.settings import read_settings
        from apigateway.daemon.settings_runtime import build_module_settings

        place = build_module_settings(read_settings(gateway))
    kit, report = loaded(path, place), Report()
    tags: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    routes: Counter[str] = Counter()
    denied: Counter[str] = Counter()
    failed: Counter[str] = Counter()
    changed = 0
    try:
        for number, record, view in told:
            result = play(kit, record, view)
            tags.update(f"{key}={value}" for key, value in result.tags.items())
            refused.update([view.service_class] if result.refuse is not None else [])
            routes.update([result.route] if result.route else [])
            denied.update(f"{name}: {what}" for name, what in result.denied)
            failed.update(f"{name}: {what}" for name, what in result.failed)
            changed += result.tags != record.get("tags", {})
            if each:
                report.lines.append(f"{number} {view.request_id}: {spoken(result)}")
        report.figures = {
            "requests": len(told),
            "tags": dict(tags),
            "refused": dict(refused),
            "routes": dict(routes),
            "denied": dict(denied),
            "failed": dict(failed),
            "other tags than recorded": changed,
            "counters": {seat.name: dict(seat.plugin.counters()) for seat in kit.runners},
        }
    finally:
        kit.close()
    report.lines.append(f"{len(told)} requests, {changed} with other tags than recorded")
    for word, counts in (
        ("tags", tags),
        ("refused", refused),
        ("routes", routes),
        ("denied", denied),
        ("failed", failed),
    ):
        if counts:
            report.lines.append(f"{word}: " + ", ".join(f"{k} {v}" for k, v in counts.most_common()))
    report.good = not failed
    return report


def play(kit: Kit, record: dict[str, Any], view: RequestView) -> RequestResult:
    result = kit.request(
        id=view.request_id,
        customer=view.customer,
        plan=view.plan,
        cls=view.service_class,
        units=view.units,
        left=view.remaining,
        write=view.is_write,
        repeat=view.is_retry,
        now=view.now,
    )
    if result.refuse is not None:
        kit.answer(result, "refused", 0.0)
        return result
    for attempt in record.get("attempts", ()):
        kit.attempt(result, str(attempt.get("host", "")))
    kit.answer(result, str(record.get("outcome", "served")), float(record.get("elapsed", 0.0)))
    return result


def spoken(told: RequestResult) -> str:
    parts = [f"{key}={value}" for key, value in told.tags.items()]
    parts += [f"route {told.route}"] if told.route else []
    parts += [f"refused, back in {told.refuse:g} s"] if told.refuse is not None else []
    parts += [f"denied {name} {what}" for name, what in told.denied]
    parts += [f"failed {name} {what}" for name, what in told.failed]
    return ", ".join(parts) or "nothing"


def bench(path: str, calls: int) -> Report:
    """CPU of a call in microseconds, each plug-in and phase by itself; budgets do not stop it here."""
    kit, report = loaded(path), Report()
    try:
        for seat in kit.runners:
            for phase in Phase:
                if phase in seat.plugin.phases:
                    report.figures[f"{seat.name} {phase}"] = figures = cost(seat, phase, max(1, calls))
                    report.lines.append(
                        f"{seat.name}, {phase}: median {figures['median']:.1f} us, 99th "
                        f"percentile {figures['p99']:.1f} us"
                        + (f", fuel {figures['fuel']:.0f}" if "fuel" in figures else "")
                    )
    finally:
        kit.close()
    return report


def cost(seat: PluginRunner, phase: Phase, calls: int) -> dict[str, float]:
    views = [RequestView(now=time.time())] if phase == Phase.TICK else sample_requests(settings())
    for view in views:
        if phase in (Phase.ATTEMPT, Phase.ANSWER):
            view.endpoint_id = "bench-host"
        if phase == Phase.ANSWER:
            view.outcome = "served"
    plugin, clock, spent = seat.plugin, time.perf_counter, []
    for number in range(calls):
        view = views[number % len(views)]
        began = clock()
        plugin.call(phase, view)
        spent.append((clock() - began) * 1e6)
    spent.sort()
    figures = {"median": statistics.median(spent), "p99": spent[min(len(spent) - 1, len(spent) * 99 // 100)]}
    used = getattr(plugin, "fuel_used", None)
    if used is not None:
        figures["fuel"] = float(used())
    return figures
