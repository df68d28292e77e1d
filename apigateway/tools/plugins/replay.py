"""Replays recorded requests through plug-ins, with their recorded times, attempts and outcomes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from apigateway import messages
from apigateway.plugins.interfaces import RequestView
from apigateway.plugins.records import parse_record, read_records
from apigateway.plugins.testkit import Kit, RequestResult, settings
from apigateway.tools.plugins.loading import load_plugins, read_module_settings
from apigateway.tools.plugins.report import InvalidArgumentError, Report

_DEFAULT_PLANS = ("basic",)  # if there are no records


class _RecordedRequest(NamedTuple):
    """A line of a records file: its number, the record, and the request as plug-ins see it."""

    line_number: int
    record: dict[str, Any]
    view: RequestView


@dataclass(slots=True)
class _Counts:
    """Counts of the plug-ins' effects and failures over all requests, as in the report.

    Attributes:
        changed_tags: Number of requests whose tags differ from the recorded ones.
    """

    tags: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    routes: Counter[str] = field(default_factory=Counter)
    denied: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    changed_tags: int = 0

    def add(self, request: _RecordedRequest, result: RequestResult) -> None:
        """Count the result of one request."""
        self.tags.update(f"{key}={value}" for key, value in result.tags.items())
        if result.refuse is not None:
            self.refused[request.view.service_class] += 1
        if result.route:
            self.routes[result.route] += 1
        self.denied.update(f"{name}: {denial}" for name, denial in result.denied)
        self.failed.update(f"{name}: {reason}" for name, reason in result.failed)
        self.changed_tags += result.tags != request.record.get("tags", {})

    def by_name(self) -> dict[str, Counter[str]]:
        """Return the counters by their names in the report."""
        return {
            "tags": self.tags,
            "refused": self.refused,
            "routes": self.routes,
            "denied": self.denied,
            "failed": self.failed,
        }


def replay(
    path: str, records_path: str, settings_path: str | None = None, print_each: bool = False
) -> Report:
    """Run the requests of a records file through plug-ins.

    Args:
        path: Path of the plug-ins; see `load_plugins`.
        records_path: Path of a records file that a gateway wrote.
        settings_path: Path of a gateway's settings, for its routes and limits; None to derive the classes and
            plans from the records.
        print_each: Whether the report has a line for each request.

    Raises:
        InvalidArgumentError: The records cannot be read, or there is no plug-in.
        InvalidConfigFileError: The plug-ins or the settings cannot be used.
    """
    requests = _read_requests(records_path)
    module_settings = (
        _settings_from_records(requests) if settings_path is None else read_module_settings(settings_path)
    )
    kit = load_plugins(path, module_settings)
    report = Report()
    counts = _Counts()
    try:
        for request in requests:
            result = _replay_request(kit, request)
            counts.add(request, result)
            if print_each:
                report.lines.append(
                    f"{request.line_number} {request.view.request_id}: {_format_result(result)}"
                )
        report.data = {
            "requests": len(requests),
            **{name: dict(counter) for name, counter in counts.by_name().items()},
            "other tags than recorded": counts.changed_tags,
            "counters": {runner.name: dict(runner.plugin.counters()) for runner in kit.runners},
        }
    finally:
        kit.close()
    report.lines.append(f"{len(requests)} requests, {counts.changed_tags} with other tags than recorded")
    for name, counter in counts.by_name().items():
        if counter:
            report.lines.append(f"{name}: " + ", ".join(f"{key} {n}" for key, n in counter.most_common()))
    report.succeeded = not counts.failed
    return report


def _read_requests(path: str) -> list[_RecordedRequest]:
    try:
        return [
            _RecordedRequest(line_number, record, parse_record(record))
            for line_number, record in read_records(path)
        ]
    except (ValueError, UnicodeDecodeError) as error:
        raise InvalidArgumentError(f"{path}: cannot read records ({error})") from error


def _settings_from_records(requests: list[_RecordedRequest]) -> messages.Settings:
    """Return settings with the classes and plans that occur in the records."""
    effects = {
        request.view.service_class: "unsafe" if request.view.is_write else "safe" for request in requests
    }
    plans = sorted({request.view.plan for request in requests})
    return settings(effects or None, plans or _DEFAULT_PLANS)


def _replay_request(kit: Kit, request: _RecordedRequest) -> RequestResult:
    """Run one request through all its phases."""
    view = request.view
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
    record = request.record
    for attempt in record.get("attempts", ()):
        kit.attempt(result, str(attempt.get("host", "")))
    kit.answer(result, str(record.get("outcome", "served")), float(record.get("elapsed", 0.0)))
    return result


def _format_result(result: RequestResult) -> str:
    parts = [f"{key}={value}" for key, value in result.tags.items()]
    if result.route:
        parts.append(f"route {result.route}")
    if result.refuse is not None:
        parts.append(f"refused, back in {result.refuse:g} s")
    parts += [f"denied {name} {denial}" for name, denial in result.denied]
    parts += [f"failed {name} {reason}" for name, reason in result.failed]
    return ", ".join(parts) or "nothing"
