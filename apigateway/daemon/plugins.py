"""Plug-ins as the daemon has them: built from settings beside the loop, swapped on a reload. Imported only
where
settings name some, or records.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from apigateway import messages
from apigateway.config_validation import ConfigProblem, InvalidConfigFileError
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.daemon.settings import Settings
from apigateway.plugins.live import Hooks, SwapRefused
from apigateway.plugins.load import Place, load
from apigateway.plugins.records import Recorder
from apigateway.plugins.settings import RecordsPart
from apigateway.plugins.version import Version


@dataclass(slots=True)
class Built:
    """What a reload is to go over to. `recorder` is None where the one that there is stays."""

    version: Version
    recorder: Recorder | None
    keeps_recorder: bool
    status: str = ""  # what is other than before, for the log; empty: nothing


def wanted(settings: Settings) -> bool:
    return bool(settings.plugins or settings.records.file)


def build(
    path: str,
    settings: Settings,
    module: messages.Settings,
    old: Hooks | None = None,
    records: RecordsPart | None = None,
) -> Built:
    """`records`: as they were, with `old`. Raises InvalidConfigFileError; nothing of the new is left then."""
    place = Place(path, module, settings.gateway.seed)
    version = load(settings.plugins, settings.hooks, place, old.version if old is not None else None)
    part, status = settings.records, compared(old.version if old is not None else None, version)
    if old is not None and part == records:
        return Built(version, None, True, status)
    recorder = None
    if part.file:
        file = os.path.join(os.path.dirname(os.path.abspath(path)), part.file)
        try:
            recorder = Recorder(file, part.only, part.max_mb * 1024 * 1024, part.waiting)
        except OSError as err:
            drop(version, old)
            raise InvalidConfigFileError(
                [
                    ConfigProblem(
                        path,
                        "records.file",
                        repr(part.file),
                        f"cannot be written ({err.strerror})",
                        "check the path and its rights",
                    )
                ]
            ) from err
    return Built(version, recorder, False, status)


def compared(old: Version | None, new: Version | None) -> str:
    before, after = (one.seats if one is not None else [] for one in (old, new))
    fresh = [f"{seat.name} {seat.digest[:12]}" for seat in after if seat not in before]
    gone = sorted({seat.name for seat in before} - {seat.name for seat in after})
    parts = [f"plug-ins loaded: {', '.join(fresh)}"] if fresh else []
    parts += [f"plug-ins gone: {', '.join(gone)}"] if gone else []
    return "; ".join(parts)


def check(path: str, settings: Settings, module: messages.Settings) -> None:
    """Loads and proves all, and lets it go again. Raises InvalidConfigFileError."""
    load(settings.plugins, settings.hooks, Place(path, module, settings.gateway.seed)).close()


def drop(version: Version, old: Hooks | None) -> None:
    """A version that will not serve; what it has from the one in force stays."""
    kept = old.version.seats if old is not None else []
    for seat in version.seats:
        if seat not in kept:
            seat.plugin.close()


def start(node: GatewayServer, built: Built, tick: float) -> None:
    hooks = Hooks(built.version, node.clock, node.loop, tick, built.recorder)
    hooks.start()
    node.plug_in(hooks)


def swap(path: str, node: GatewayServer, built: Built, tick: float) -> None:
    """Raises InvalidConfigFileError; the old is then as it was."""
    hooks = node.plugins
    if hooks is None:
        start(node, built, tick)
        return
    try:
        hooks.swap(built.version, tick)
    except SwapRefused as err:
        drop(built.version, hooks)
        if built.recorder is not None:
            built.recorder.finish()
        raise InvalidConfigFileError(
            [ConfigProblem(path, f"plugins.{err.name}", "", err.reason, "mend its on_load")]
        ) from err
    if not built.keeps_recorder:
        replaced, hooks.recorder = hooks.recorder, built.recorder
        if replaced is not None:
            replaced.finish()
