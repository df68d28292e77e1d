"""Adapter for the simulator's wire: batches of events on standard input, actions on standard output.

It only translates: each event goes to the Gateway of its instance, whose actions are written out.
Run it as `python -m apigateway.adapter`.
"""

from __future__ import annotations

import math
import sys
import traceback
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, TextIO

from apigateway import messages
from apigateway.platform_settings import (
    NANOSECONDS_PER_SECOND,
    nanoseconds_to_seconds,
    read_flag,
    read_load_report,
    read_settings,
)
from apigateway.policy import Gateway

LIST_MODES = {mode.value: mode for mode in messages.ListMode}
STATUSES = {
    "U": messages.EndpointStatus.UP,
    "L": messages.EndpointStatus.DRAINING,
    "D": messages.EndpointStatus.DOWN,
}
RESULTS = {
    "GOOD": messages.AttemptResult.OK,
    "BAD": messages.AttemptResult.ERROR,
    "FULL": messages.AttemptResult.REJECTED,
    "LATE": messages.AttemptResult.TIMEOUT,
    "NOCONN": messages.AttemptResult.CONNECT_FAILED,
    "RST": messages.AttemptResult.RESET,
    "CXL": messages.AttemptResult.CANCELLED,
    "NOP": messages.AttemptResult.ABANDONED,
}
COUNTER_RESULTS = {
    keyword: messages.CounterCallResult(result)
    for keyword, result in RESULTS.items()
    if result.value in messages.COUNTER_CALL_RESULTS
}
RETRY_FLAG = 2  # bit of a work item's `marks`: the client is retrying
WRITE_FLAG = 4  # bit of a work item's `marks`: the request is a write
INSTANCE_FIELDS = ("i", "nonce64")  # fields of a PROVISION line that are not settings
MAX_SHOWN_CHARACTERS = 200  # of an invalid line, in the error message

Fields = dict[str, str]


class WireError(Exception):
    """A line that violates the wire format; `instance` is the instance that it names, if any."""

    def __init__(self, message: str, instance: int | None = None) -> None:
        super().__init__(message)
        self.instance = instance


# Reading


def _read_fields(parts: list[str]) -> Fields:
    fields: Fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"{part!r} is not name=value")
        fields[name] = value
    return fields


def _read_tree(pairs: Fields) -> dict[str, Any]:
    """Return the nested objects that dotted names stand for."""
    root: dict[str, Any] = {}
    for path, value in pairs.items():
        node = root
        *parents, leaf = path.split(".")
        for part in parents:
            node = node.setdefault(part, {})
            if not isinstance(node, dict):
                raise WireError(f"setting {path} is nested in a plain value")
        node[leaf] = value
    return root


def _read_load_report(fields: Fields) -> dict[str, float]:
    pairs = fields.get("server_stats", "").split(",")
    return read_load_report(pair.split(":", 1) for pair in pairs if ":" in pair)


def _read_host(fields: Fields) -> messages.Endpoint:
    return messages.Endpoint(
        id=fields["host"],
        zone=fields.get("zone", ""),
        cell=int(fields.get("unit_group", 0)),
        weight=float(fields.get("heft", 1)),
        kind=fields.get("flavor", ""),
        state=STATUSES[fields["availability"]],
        started_at=nanoseconds_to_seconds(fields.get("ready_at", "0")),
    )


def _read_request(fields: Fields) -> messages.Request:
    flags = int(fields.get("marks", 0))
    return messages.Request(
        request_id=fields["txn"],
        remaining=nanoseconds_to_seconds(fields["patience_left"]),
        customer=fields["customer"],
        plan=fields["tier"],
        service_class=fields["type"],
        units=float(fields["cost_units"]),
        first_gateway=int(float(fields.get("first", 0))),
        gateway_spread=int(float(fields["n_entries"])),
        is_retry=bool(flags & RETRY_FLAG),
        is_write=bool(flags & WRITE_FLAG),
    )


def _read_outcome(fields: Fields) -> messages.AttemptOutcome:
    return messages.AttemptOutcome(
        request_id=fields["txn"],
        attempt=int(fields["attempt"]),
        endpoint_id=fields["host"],
        result=RESULTS[fields["reason"]],
        elapsed=nanoseconds_to_seconds(fields.get("time_taken", "0")),
        is_final=read_flag(fields, "terminal"),
        metered_use=int(float(fields.get("fleet_use", 0))),
        actual_units=float(fields.get("actual", 0)),
        load_report=_read_load_report(fields),
    )


def _read_list_mode(keyword: str) -> messages.ListMode:
    if keyword not in LIST_MODES:
        raise ValueError(f"unknown list mode {keyword!r}")
    return LIST_MODES[keyword]


def _read_counter_result(fields: Fields) -> messages.CounterResult:
    return messages.CounterResult(
        counter_key=int(fields["entry_name"]),
        result=_read_counter_call_result(fields["reason"]),
        total=float(fields.get("now_at", 0)),
        elapsed=nanoseconds_to_seconds(fields.get("time_taken", "0")),
    )


def _read_counter_call_result(keyword: str) -> messages.CounterCallResult:
    if keyword not in COUNTER_RESULTS:
        raise ValueError(f"unknown counter result {str(RESULTS[keyword])!r}")
    return COUNTER_RESULTS[keyword]


def _read_health_check(fields: Fields) -> messages.HealthCheckResult:
    return messages.HealthCheckResult(
        endpoint_id=fields["host"],
        result=RESULTS[fields["reason"]],
        elapsed=nanoseconds_to_seconds(fields.get("time_taken", "0")),
        load_report=_read_load_report(fields),
    )


def _read_timer(fields: Fields) -> messages.TimerExpired:
    return messages.TimerExpired(label=int(fields["label"]))


def _read_stream_start(fields: Fields) -> messages.StreamStarted:
    return messages.StreamStarted(
        request_id=fields["txn"],
        attempt=int(fields["attempt"]),
        endpoint_id=fields["host"],
        elapsed=nanoseconds_to_seconds(fields.get("time_taken", "0")),
    )


def _read_disconnect(fields: Fields) -> messages.ClientDisconnected:
    return messages.ClientDisconnected(request_id=fields["txn"])


def _read_peer_message(fields: Fields) -> messages.PeerMessage:
    return messages.PeerMessage(sender=int(fields["from"]), data=bytes.fromhex(fields["octets"].strip("-")))


READERS: dict[str, Callable[[Fields], messages.Event]] = {
    "WORK_ITEM": _read_request,
    "REPORT_BACK": _read_outcome,
    "ADDED": _read_counter_result,
    "PING_RESULT": _read_health_check,
    "DUE": _read_timer,
    "BEGUN": _read_stream_start,
    "DROPPED": _read_disconnect,
    "MEMO": _read_peer_message,
}


# Writing


def _nanoseconds(duration: float) -> int:
    return math.ceil(duration * NANOSECONDS_PER_SECOND)


def _write_forward(instance: int, action: messages.ForwardRequest) -> str:
    timeout = _nanoseconds(action.timeout)
    return f"ASSIGN i={instance} txn={action.request_id} timeout={timeout} host={action.endpoint_id}"


def _write_add(instance: int, action: messages.AddToCounter) -> str:
    lifetime = _nanoseconds(action.lifetime)
    entry = f"entry_name={action.counter_key} by={action.amount:.7g}"
    return f"CHARGE_COUNTER i={instance} {entry} forget_after={lifetime}"


WRITERS: dict[type, Callable[[int, Any], str]] = {
    messages.ForwardRequest: _write_forward,
    messages.Reject: lambda i, a: f"DECLINE i={i} txn={a.request_id} hold_off={_nanoseconds(a.retry_after)}",
    messages.Fail: lambda i, a: f"DROP_REQUEST i={i} txn={a.request_id}",
    messages.CancelAttempt: lambda i, a: f"REVOKE i={i} txn={a.request_id} attempt={a.attempt}",
    messages.AddToCounter: _write_add,
    messages.SetTimer: lambda i, a: f"AFTER i={i} sleep_for={_nanoseconds(a.delay)} label={a.label}",
    messages.CheckHealth: lambda i, a: f"TOUCH i={i} host={a.endpoint_id}",
    messages.CloseIdleConnections: lambda i, a: f"RELEASE i={i} host={a.endpoint_id}",
    messages.FetchEndpoints: lambda i, a: f"PULL i={i}",
    messages.WatchEndpoints: lambda i, a: f"WATCH i={i} active={int(a.is_on)}",
    messages.LogMessage: lambda i, a: f"REMARK i={i} words={a.text}",
}


class Adapter:
    """A session on the wire: reads batches of events and writes their actions."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.line = ""
        self.gateways: dict[int, Gateway] = {}  # by instance number

    def run(self) -> int:
        """Answer batches until the input ends, and return the exit code."""
        try:
            while self._answer_batch():
                pass
        except WireError as error:
            shown = self.line[:MAX_SHOWN_CHARACTERS]
            print(f"api-gateway: line {self.line_number}: {error}: {shown}", file=sys.stderr)
            return 1
        return 0

    def _answer_batch(self) -> bool:
        """Answer the next batch, and return whether there was one."""
        line = self._next_line()
        while line == "":
            line = self._next_line()
        if line is None:
            return False
        replies: list[str] = []
        try:
            self._handle_batch(line, replies)
        except WireError as error:
            if error.instance is not None:
                error_message = f"line {self.line_number}: {error}"
                replies.append(f"INTERNAL_ERROR i={error.instance} words={error_message}")
                self._write_replies(replies)
            raise
        self._write_replies(replies)
        return True

    def _handle_batch(self, line: str, replies: list[str]) -> None:
        keyword, *parts = line.split(" ")
        if keyword != "ROUND":
            raise WireError(f"expected ROUND, found {keyword!r}")
        try:
            now = nanoseconds_to_seconds(_read_fields(parts)["at_time"])
        except (KeyError, ValueError) as error:
            raise WireError(f"invalid at_time: {error}") from error
        while (event_line := self._next_line()) != "GO":
            if event_line is None:
                raise WireError("input ended inside a batch")
            if event_line:
                self._handle_line(now, replies)

    def _handle_line(self, now: float, replies: list[str]) -> None:
        """Parse the current line and handle its event."""
        instance: int | None = None
        try:
            keyword, *parts = self.line.split(" ")
            fields = _read_fields(parts)
            instance = int(fields["i"])
            if keyword == "DETACH":
                self.gateways.pop(instance, None)
                return
            if keyword == "PROVISION":
                seed = int(fields["nonce64"])
                options = {name: value for name, value in fields.items() if name not in INSTANCE_FIELDS}
                settings = read_settings(_read_tree(options))
                handle: Callable[[], Iterable[str]] = partial(
                    self._create_gateway, instance, settings, seed, now
                )
            else:
                event = self._read_event(keyword, fields)
                if instance not in self.gateways:
                    raise WireError(f"instance {instance} has not been set up")
                handle = partial(self._handle_event, instance, event, now)
        except WireError as error:
            raise WireError(str(error), instance) from error
        except KeyError as error:
            raise WireError(f"missing or unknown {error}", instance) from error
        except ValueError as error:
            raise WireError(str(error), instance) from error
        try:
            replies.extend(handle())
        except Exception as error:  # a failure of the decision module is reported as an action
            traceback.print_exc(file=sys.stderr)
            error_message = " ".join(f"{type(error).__name__}: {error}".split())
            replies.append(f"INTERNAL_ERROR i={instance} words={error_message}")

    def _read_event(self, keyword: str, fields: Fields) -> messages.Event:
        if keyword == "TARGETS":
            mode = fields["mode"]
            version = int(fields.get("index", 0))
            hosts = self._read_hosts(int(fields.get("rows_in", 0)))
            return messages.EndpointList(_read_list_mode(mode), version, hosts)
        if keyword not in READERS:
            raise WireError(f"unknown event {keyword!r}")
        return READERS[keyword](fields)

    def _read_hosts(self, count: int) -> tuple[messages.Endpoint, ...]:
        hosts = []
        for _ in range(count):
            line = self._next_line() or ""
            keyword, *parts = line.split(" ")
            if keyword != "HOST":
                raise WireError(f"expected HOST, found {keyword!r}")
            hosts.append(_read_host(_read_fields(parts)))
        return tuple(hosts)

    def _create_gateway(
        self, instance: int, settings: messages.Settings, seed: int, now: float
    ) -> Iterable[str]:
        self.gateways[instance] = Gateway(settings, seed, now)
        return ()

    def _handle_event(self, instance: int, event: messages.Event, now: float) -> Iterable[str]:
        actions = self.gateways[instance].handle(now, event)
        return (WRITERS[type(action)](instance, action) for action in actions)

    def _next_line(self) -> str | None:
        """Read the next line; None at the end of the input."""
        line = self.source.readline()
        if not line:
            return None
        self.line_number += 1
        self.line = line.rstrip("\r\n")
        return self.line

    def _write_replies(self, replies: list[str]) -> None:
        replies.append("ACK\n")
        self.sink.write("\n".join(replies))
        self.sink.flush()


def main() -> int:
    """Run the adapter on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return Adapter(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
