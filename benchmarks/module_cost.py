"""Measures the decision module's CPU cost per request by the number of hosts, customers and held requests.

    python benchmarks/module_cost.py [--before REV] [--requests 3000] [--rounds 5] [--json FILE]

There are no sockets: the module gets its events directly. Each attempt is answered after a fixed number of
others, and each counter call immediately. Prints the CPU us per request as medians over rounds; with --before
also those of that commit, measured in alternation, and the ratio. `hosts`: 10, 100 and 1,000 hosts, one
gateway and a light load, with a third as many attempts in flight as hosts. `customers`: 1, 10,000 and 200,000
customers with 10 hosts. `held`: 0, 1,000 and 20,000 requests that wait, while a few hosts are free only at
times. `queued`: that many requests stay in the queue during the whole round, without the bound of the queue.
`refused`: a customer over its quota. Then prints the bytes that the module uses per customer account, host
and request in progress.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "benchmarks"))

from plots import Line, draw  # noqa: E402

CASES = {
    "10 hosts": "hosts=10",
    "100 hosts": "hosts=100",
    "1000 hosts": "hosts=1000",
    "1 customer": "customers=1",
    "10k customers": "customers=10000",
    "200k customers": "customers=200000",
    "0 queued": "queued=0",
    "1k queued": "queued=1000",
    "20k queued": "queued=20000",
    "0 held": "held=0",
    "1k held": "held=1000",
    "20k held": "held=20000",
    "half silent of 1000": "hosts=1000, silent=True",
    "refused": "refused=True",
}

CHILD_CODE = r"""
import collections, random, sys, time
from apigateway import messages
from apigateway.policy import dispatch
from apigateway.policy import Gateway

def settings_for(refused):
    classes = {
        "read": messages.ServiceClass("read", 1.0, 3.0, "safe", "all", 0.0, 1.0, 0.0, False, 0.0),
        "note": messages.ServiceClass("note", 1.0, 3.0, "unsafe", "all", 0.0, 3.0, 0.0, False, 0.0)}
    rate, burst = (0.001, 1.0) if refused else (1000.0, 100000.0)
    plans = {"p": messages.Plan("p", rate, burst, 0, 1.0, 0.0, 0.5, 0.0, 0.0, 0.0)}
    limits = messages.Limits(True, False, False, False, True, 3, 2.0)
    return messages.Settings(0, 1, "a", classes, plans, limits,
                        messages.Rules(0.0, 2.0, 0.15, 17.0, 2.0, 2.0, 0.0), {"cross_zone": 0.02}, True, 0.01,
                        0.08, 0.0,
                        False, 1.0, "push", ("inflight", "queue"), "none")

def measure(requests, hosts=10, customers=97, held=0, silent=False, refused=False,
            queued=0):
    rng, now = random.Random(1), 1000.0
    gateway = Gateway(settings_for(refused), 1, now)
    endpoints = tuple(messages.Endpoint(f"h{n}", "ab"[n % 2], n % 4, 1.0, "k", "up", 0.0)
                      for n in range(hosts))
    silent_ids = {f"h{n}" for n in range(0, hosts, 2)} if silent else set()
    in_flight, totals = collections.deque(), collections.Counter()
    max_in_flight = max(2, hosts // 3)

    def deliver(event):
        events = [event]
        while events:
            for action in gateway.handle(now, events.pop(0)):
                if type(action) is messages.ForwardRequest:
                    in_flight.append(action)
                elif type(action) is messages.AddToCounter:
                    totals[action.counter_key] += action.amount
                    total = totals[action.counter_key]
                    events.append(messages.CounterResult(action.counter_key, "ok", total, 0.001))
                elif type(action) is messages.CancelAttempt:
                    cancelled = messages.AttemptOutcome(action.request_id, action.attempt, "h0", "moot",
                                                        0.1, False)
                    events.append(cancelled)

    def answer_oldest():
        action = in_flight.popleft()
        is_silent = action.endpoint_id in silent_ids
        result = "reset" if is_silent else "ok"
        deliver(messages.AttemptOutcome(action.request_id, 0, action.endpoint_id, result, 0.05, not is_silent,
                         load_report={"inflight": 1.0 + rng.random()}))

    deliver(messages.EndpointList("full", 1, endpoints))
    number = 0

    def send_request():
        nonlocal number
        number += 1
        service_class = "note" if number % 10 == 0 else "read"
        deliver(messages.Request(f"r{number}", 3.0, f"{number % customers:016x}", "p", service_class, 1.0,
                                 0, 1))

    if queued:
        dispatch.MIN_QUEUE_LENGTH = 10 ** 6
    for _ in range(queued + 40 if queued else 0):  # fills all hosts and then the queue
        now += 0.00001
        send_request()
    max_in_flight = 39 if queued else max_in_flight
    for _ in range(held):  # these requests wait, since nothing is answered
        gateway.pool.reported_mean_load, gateway.pool.congestion.value = 1.0, 0.0
        send_request()
    if customers > 1000:
        for _ in range(customers):
            now += 0.00001
            send_request()
            while in_flight:
                answer_oldest()
    for _ in range(500):
        now += 0.0003
        send_request()
        while len(in_flight) > max_in_flight:
            answer_oldest()
            if queued:  # one answer per new request keeps the queue's length
                break
    started_at = time.process_time()
    for _ in range(requests):
        now += 0.0003
        send_request()
        while len(in_flight) > max_in_flight:
            answer_oldest()
            if queued:
                break
    return (time.process_time() - started_at) / requests * 1e6

def bytes_each(kind, count=50000):
    # Returns the bytes that one account, host or request in progress uses, as tracemalloc reports them.
    import tracemalloc
    gateway, now = Gateway(settings_for(False), 1, 1000.0), 1000.0
    host_count = count if kind == "host" else 10
    hosts = tuple(messages.Endpoint(f"h{n}", "a", 0, 1.0, "k", "up", 0.0) for n in range(host_count))
    if kind != "host":
        gateway.handle(now, messages.EndpointList("full", 1, hosts))
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    if kind == "host":
        gateway.handle(now, messages.EndpointList("full", 1, hosts))
    for n in range(count if kind != "host" else 0):
        now += 0.00001
        customer = f"{n if kind == 'account' else 1:016x}"
        for action in gateway.handle(now, messages.Request(f"r{n}", 3.0, customer, "p", "read", 1.0, 0, 1)):
            if type(action) is messages.ForwardRequest and kind == "account":
                outcome = messages.AttemptOutcome(action.request_id, 0, action.endpoint_id, "ok", 0.01, True)
                gateway.handle(now, outcome)
    object_count = len(gateway.pending) if kind == "request" else count
    return (tracemalloc.get_traced_memory()[0] - bytes_before) / max(1, object_count)

if sys.argv[2].startswith("held:"):
    print(bytes_each(sys.argv[2][5:], int(sys.argv[1])))
else:
    print(measure(int(sys.argv[1]), **eval(f"dict({sys.argv[2]})")))
"""


def child_code_of(tree: Path) -> str:
    """Return the child process's code for a tree: the messages of older trees have other names."""
    if (tree / "apigateway").is_dir():
        return CHILD_CODE
    text = (tree / "benchmarks" / "module_cost.py").read_text()
    return text.split('CHILD = r"""')[1].split('"""')[0]


def run_case(tree: Path, requests: int, case: str) -> float:
    """Run a case in a child process; return the figure that it prints."""
    child = subprocess.run(
        [sys.executable, "-c", child_code_of(tree), str(requests), case],
        cwd=tree,
        capture_output=True,
        text=True,
        timeout=600,
    )
    if child.returncode:
        raise RuntimeError(child.stderr[-2000:])
    return float(child.stdout)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--before", metavar="REV")
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument(
        "--case", action="append", choices=list(CASES), help="measure only this case; may be repeated"
    )
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--plot", metavar="FOLDER", help="write one SVG each for hosts, customers and queue")
    args = parser.parse_args()
    figures: dict[str, dict[str, float]] = {}
    with tempfile.TemporaryDirectory(prefix="module-cost-") as folder:
        trees = {"now": ROOT}
        if args.before:
            archive = subprocess.run(
                ["git", "archive", args.before], cwd=ROOT, check=True, capture_output=True
            ).stdout
            subprocess.run(["tar", "-x"], cwd=folder, input=archive, check=True)
            trees["before"] = Path(folder)
        print(f"{'':22}" + "".join(f"{name:>10}" for name in trees) + ("   now/it" if args.before else ""))
        for name in args.case or CASES:
            cpu_us: dict[str, list[float]] = {tree: [] for tree in trees}
            for _ in range(args.rounds):
                for tree, path in trees.items():
                    cpu_us[tree].append(run_case(path, args.requests, CASES[name]))
            row = {tree: statistics.median(values) for tree, values in cpu_us.items()}
            if args.before:
                row["ratio"] = statistics.median(
                    now / before for now, before in zip(cpu_us["now"], cpu_us["before"], strict=True)
                )
            figures[name] = row
            print(
                f"{name:22}"
                + "".join(f"{row[tree]:10.1f}" for tree in trees)
                + (f"{row['ratio']:9.3f}" if args.before else ""),
                flush=True,
            )
    for kind in ("account", "host", "request") if not args.case else ():
        figures[f"bytes a {kind}"] = {"now": run_case(ROOT, 20_000, f"held:{kind}")}
        print(f"{'bytes a ' + kind:22}{figures[f'bytes a {kind}']['now']:10.0f}")
    if args.json:
        Path(args.json).write_text(json.dumps(figures, indent=1))
    if args.plot:
        plot_figures(figures, Path(args.plot))


def plot_figures(figures: dict[str, dict[str, float]], folder: Path) -> None:
    """Write a plot for each group of cases that was measured in full."""
    for group, x_label, cases in (
        ("hosts", "hosts", {"10 hosts": 10, "100 hosts": 100, "1000 hosts": 1000}),
        ("customers", "customers", {"1 customer": 1, "10k customers": 10_000, "200k customers": 200_000}),
        (
            "queue",
            "queued requests (0 is shown at 1)",
            {"0 queued": 1, "1k queued": 1000, "20k queued": 20_000},
        ),
    ):
        if not set(cases) <= set(figures):
            continue
        trees = [tree for tree in ("now", "before") if tree in figures[next(iter(cases))]]
        lines = [
            Line(tree, [(count, figures[name][tree]) for name, count in cases.items()], tree == "before")
            for tree in trees
        ]
        text = draw(f"The module's cost a request, by {group}", x_label, "us of CPU", lines, True, True)
        (folder / f"module-{group}.svg").write_text(text)


if __name__ == "__main__":
    main()
