"""Wire adapter: reads batches on standard input, hands events to one Gateway per instance, writes actions.

It translates only. Run as `python -m apigateway.adapter`.
"""

from __future__ import annotations

import math
import sys
import traceback
from typing import Any, TextIO

from apigateway import messages
from apigateway.platform_settings import NS, flag, read_report, read_settings, seconds
from apigateway.policy import Gateway

STATE = {"U": "up", "L": "leaving", "D": "down"}
RESULT = {
    "GOOD": "ok",
    "BAD": "error",
    "FULL": "full",
    "LATE": "timeout",
    "NOCONN": "connect_failed",
    "RST": "reset",
    "CXL": "cancelled",
    "NOP": "moot",
}


class WireError(Exception):
    """A line that does not follow the wire; `inst` is the instance it named, if any."""

    def __init__(self, text: str, inst: int | None = None) -> None:
        super().__init__(text)
        self.inst = inst


def _tree(pairs: dict[str, str]) -> dict[str, Any]:
    root: dict[str, Any] = {}
    for path, value in pairs.items():
        node = root
        *parents, leaf = path.split(".")
        for part in parents:
            node = node.setdefault(part, {})
            if not isinstance(node, dict):
                raise WireError(f"setting {path} stands below a plain value")
        node[leaf] = value
    return root


def _stats(f: dict[str, str]) -> dict[str, float]:
    return read_report(pair.split(":", 1) for pair in f.get("server_stats", "").split(",") if ":" in pair)


def _host(f: dict[str, str]) -> messages.Endpoint:
    return messages.Endpoint(
        id=f["host"],
        zone=f.get("zone", ""),
        cell=int(f.get("unit_group", 0)),
        weight=float(f.get("heft", 1)),
        kind=f.get("flavor", ""),
        state=STATE[f["availability"]],
        started_at=seconds(f.get("ready_at", "0")),
    )


def _work_item(f: dict[str, str]) -> messages.Request:
    marks = int(f.get("marks", 0))
    return messages.Request(
        request_id=f["txn"],
        remaining=seconds(f["patience_left"]),
        customer=f["customer"],
        plan=f["tier"],
        service_class=f["type"],
        units=float(f["cost_units"]),
        first_gateway=int(float(f.get("first", 0))),
        gateway_spread=int(float(f["n_entries"])),
        is_retry=bool(marks & 2),
        is_write=bool(marks & 4),
    )


def _outcome(f: dict[str, str]) -> messages.AttemptOutcome:
    return messages.AttemptOutcome(
        request_id=f["txn"],
        attempt=int(f["attempt"]),
        endpoint_id=f["host"],
        result=RESULT[f["reason"]],
        elapsed=seconds(f.get("time_taken", "0")),
        is_final=flag(f, "terminal"),
        metered_use=int(float(f.get("fleet_use", 0))),
        actual_units=float(f.get("actual", 0)),
        load_report=_stats(f),
    )


def _memo(f: dict[str, str]) -> messages.PeerMessage:
    return messages.PeerMessage(sender=int(f["from"]), data=bytes.fromhex(f["octets"].strip("-")))


READERS = {
    "WORK_ITEM": _work_item,
    "REPORT_BACK": _outcome,
    "ADDED": lambda f: messages.CounterResult(
        counter_key=int(f["entry_name"]),
        result=RESULT[f["reason"]],
        total=float(f.get("now_at", 0)),
        elapsed=seconds(f.get("time_taken", "0")),
    ),
    "PING_RESULT": lambda f: messages.HealthCheckResult(
        endpoint_id=f["host"],
        result=RESULT[f["reason"]],
        elapsed=seconds(f.get("time_taken", "0")),
        load_report=_stats(f),
    ),
    "DUE": lambda f: messages.TimerExpired(label=int(f["label"])),
    "BEGUN": lambda f: messages.StreamStarted(
        request_id=f["txn"],
        attempt=int(f["attempt"]),
        endpoint_id=f["host"],
        elapsed=seconds(f.get("time_taken", "0")),
    ),
    "DROPPED": lambda f: messages.ClientDisconnected(request_id=f["txn"]),
    "MEMO": _memo,
}


def _ns(seconds: float) -> int:
    return math.ceil(seconds * NS)


WRITERS = {
    messages.ForwardRequest: lambda i, a: (
        f"ASSIGN i={i} txn={a.request_id} timeout={_ns(a.timeout)} host={a.endpoint_id}"
    ),
    messages.Reject: lambda i, a: f"DECLINE i={i} txn={a.request_id} hold_off={_ns(a.retry_after)}",
    messages.Fail: lambda i, a: f"DROP_REQUEST i={i} txn={a.request_id}",
    messages.CancelAttempt: lambda i, a: f"REVOKE i={i} txn={a.request_id} attempt={a.attempt}",
    messages.AddToCounter: lambda i, a: (
        f"CHARGE_COUNTER i={i} entry_name={a.counter_key} by={a.amount:.7g} forget_after={_ns(a.lifetime)}"
    ),
    messages.SetTimer: lambda i, a: f"AFTER i={i} sleep_for={_ns(a.delay)} label={a.label}",
    messages.CheckHealth: lambda i, a: f"TOUCH i={i} host={a.endpoint_id}",
    messages.CloseIdleConnections: lambda i, a: f"RELEASE i={i} host={a.endpoint_id}",
    messages.FetchEndpoints: lambda i, a: f"PULL i={i}",
    messages.WatchEndpoints: lambda i, a: f"WATCH i={i} active={int(a.is_on)}",
    messages.LogMessage: lambda i, a: f"REMARK i={i} words={a.text}",
}


def _fields(parts: list[str]) -> dict[str, str]:
    out: dict[str, str] = {}
    for part in parts:
        name, eq, value = part.partition("=")
        if not eq:
            raise WireError(f"{part!r} is not name=value")
        out[name] = value
    return out


class Adapter:
    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink, self.line_no, self.line = source, sink, 0, ""
        self.gateways: dict[int, Gateway] = {}

    def _next(self) -> str | None:
        line = self.source.readline()
        if not line:
            return None
        self.line_no += 1
        self.line = line.rstrip("\r\n")
        return self.line

    def _hosts(self, count: int) -> tuple[messages.Endpoint, ...]:
        hosts = []
        for _ in range(count):
            line = self._next() or ""
            word, *parts = line.split(" ")
            if word != "HOST":
                raise WireError(f"expected HOST, found {word!r}")
            hosts.append(_host(_fields(parts)))
        return tuple(hosts)

    def _event(self, now: float, out: list[str]) -> None:
        word, *parts = self.line.split(" ")
        inst: int | None = None
        try:
            f = _fields(parts)
            inst = int(f["i"])
            if word == "PROVISION":
                seed = int(f["nonce64"])
                options = {k: v for k, v in f.items() if k not in ("i", "nonce64")}
                settings = read_settings(_tree(options))
                event: messages.Event | None = None
            elif word == "DETACH":
                self.gateways.pop(inst, None)
                return
            elif word == "TARGETS":
                event = messages.EndpointList(
                    mode=f["mode"],
                    version=int(f.get("index", 0)),
                    endpoints=self._hosts(int(f.get("rows_in", 0))),
                )
            elif word in READERS:
                event = READERS[word](f)
            else:
                raise WireError(f"unknown event {word!r}")
            if word != "PROVISION" and inst not in self.gateways:
                raise WireError(f"instance {inst} has not been set up")
        except WireError as err:
            raise WireError(str(err), inst) from err
        except KeyError as err:
            raise WireError(f"missing or unknown {err}", inst) from err
        except ValueError as err:
            raise WireError(str(err), inst) from err
        try:
            if event is None:
                self.gateways[inst] = Gateway(settings, seed, now)
                return
            actions = self.gateways[inst].handle(now, event)
            out.extend(WRITERS[type(a)](inst, a) for a in actions)
        except Exception as err:  # the wire's own way to say that the decision code failed
            traceback.print_exc(file=sys.stderr)
            words = " ".join(f"{type(err).__name__}: {err}".split())
            out.append(f"INTERNAL_ERROR i={inst} words={words}")

    def _batch(self) -> bool:
        line = self._next()
        while line == "":
            line = self._next()
        if line is None:
            return False
        out: list[str] = []
        try:
            word, *parts = line.split(" ")
            if word != "ROUND":
                raise WireError(f"expected ROUND, found {word!r}")
            try:
                now = seconds(_fields(parts)["at_time"])
            except (KeyError, ValueError) as err:
                raise WireError(f"bad clock: {err}") from err
            while (line := self._next()) != "GO":
                if line is None:
                    raise WireError("input ended inside a batch")
                if line:
                    self._event(now, out)
        except WireError as err:
            if err.inst is not None:
                out.append(f"INTERNAL_ERROR i={err.inst} words=line {self.line_no}: {err}")
                self._reply(out)
            raise
        self._reply(out)
        return True

    def _reply(self, out: list[str]) -> None:
        out.append("ACK\n")
        self.sink.write("\n".join(out))
        self.sink.flush()

    def run(self) -> int:
        try:
            while self._batch():
                pass
        except WireError as err:
            print(f"api-gateway: line {self.line_no}: {err}: {self.line[:200]}", file=sys.stderr)
            return 1
        return 0


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return Adapter(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
