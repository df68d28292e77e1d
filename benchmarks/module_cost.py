"""What does the decision module cost a request, as hosts, customers and requests held grow?

    python benchmarks/module_cost.py [--before REV] [--requests 3000] [--rounds 5] [--json FILE]

No sockets: events go in, each attempt is answered after so many others, each counter call at once. Prints us
of CPU a request, medians over rounds, and with --before the same for that commit, in turn, with the ratio.
`hosts`: at 10, 100 and 1,000, one gateway and a light load, as many attempts out as a third of the hosts.
`customers`: of 1, 10,000 and 200,000, at 10 hosts. `held`: 0, 1,000 and 20,000 requests that wait, while a
few hosts are free only now and then; `queued`: so many that stay in the queue all the while, its bound taken
off. `refused`: a customer beyond its quota. Then the bytes that an account, a host and a request in work take
in the module."""

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

CHILD = r"""
import collections, random, sys, time
from apigateway import messages
from apigateway.policy import dispatch
from apigateway.policy import Gateway

def settings(refused):
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
    gateway = Gateway(settings(refused), 1, now)
    listed = tuple(messages.Endpoint(f"h{n}", "ab"[n % 2], n % 4, 1.0, "k", "up", 0.0) for n in range(hosts))
    dead = {f"h{n}" for n in range(0, hosts, 2)} if silent else set()
    out, totals = collections.deque(), collections.Counter()
    most = max(2, hosts // 3)

    def feed(event):
        queue = [event]
        while queue:
            for act in gateway.handle(now, queue.pop(0)):
                if type(act) is messages.ForwardRequest:
                    out.append(act)
                elif type(act) is messages.AddToCounter:
                    totals[act.counter_key] += act.amount
                    total = totals[act.counter_key]
                    queue.append(messages.CounterResult(act.counter_key, "ok", total, 0.001))
                elif type(act) is messages.CancelAttempt:
                    moot = messages.AttemptOutcome(act.request_id, act.attempt, "h0", "moot", 0.1, False)
                    queue.append(moot)

    def answer():
        act = out.popleft()
        bad = act.endpoint_id in dead
        result = "reset" if bad else "ok"
        feed(messages.AttemptOutcome(act.request_id, 0, act.endpoint_id, result, 0.05, not bad,
                         load_report={"inflight": 1.0 + rng.random()}))

    feed(messages.EndpointList("full", 1, listed))
    number = 0

    def ask():
        nonlocal number
        number += 1
        cls = "note" if number % 10 == 0 else "read"
        feed(messages.Request(f"r{number}", 3.0, f"{number % customers:016x}", "p", cls, 1.0, 0, 1))

    if queued:
        dispatch.MIN_QUEUE_LENGTH = 10 ** 6
    for _ in range(queued + 40 if queued else 0):  # all hosts are full
        now += 0.00001
        ask()
    most = 39 if queued else most
    for _ in range(held):  # they wait: nothing is answered
        gateway.pool.reported_mean_load, gateway.pool.congestion.value = 1.0, 0.0
        ask()
    if customers > 1000:
        for _ in range(customers):
            now += 0.00001
            ask()
            while out:
                answer()
    for _ in range(500):
        now += 0.0003
        ask()
        while len(out) > most:
            answer()
            if queued:  # one comes, one goes
                break
    began = time.process_time()
    for _ in range(requests):
        now += 0.0003
        ask()
        while len(out) > most:
            answer()
            if queued:
                break
    return (time.process_time() - began) / requests * 1e6

def held(what, count=50000):
    # Bytes that one account, host or request in work takes, by the allocator.
    import tracemalloc
    gateway, now = Gateway(settings(False), 1, 1000.0), 1000.0
    size = count if what == "host" else 10
    hosts = tuple(messages.Endpoint(f"h{n}", "a", 0, 1.0, "k", "up", 0.0) for n in range(size))
    if what != "host":
        gateway.handle(now, messages.EndpointList("full", 1, hosts))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    if what == "host":
        gateway.handle(now, messages.EndpointList("full", 1, hosts))
    for n in range(count if what != "host" else 0):
        now += 0.00001
        customer = f"{n if what == 'account' else 1:016x}"
        for act in gateway.handle(now, messages.Request(f"r{n}", 3.0, customer, "p", "read", 1.0, 0, 1)):
            if type(act) is messages.ForwardRequest and what == "account":
                ended = messages.AttemptOutcome(act.request_id, 0, act.endpoint_id, "ok", 0.01, True)
                gateway.handle(now, ended)
    most = len(gateway.pending) if what == "request" else count
    return (tracemalloc.get_traced_memory()[0] - before) / max(1, most)

if sys.argv[2].startswith("held:"):
    print(held(sys.argv[2][5:], int(sys.argv[1])))
else:
    print(measure(int(sys.argv[1]), **eval(f"dict({sys.argv[2]})")))
"""


def load_of(tree: Path) -> str:
    """Return the load for this tree: one whose messages have other names has a load of its own."""
    if (tree / "apigateway").is_dir():
        return CHILD
    text = (tree / "benchmarks" / "module_cost.py").read_text()
    return text.split('CHILD = r"""')[1].split('"""')[0]


def one(tree: Path, requests: int, case: str) -> float:
    ended = subprocess.run(
        [sys.executable, "-c", load_of(tree), str(requests), case],
        cwd=tree,
        capture_output=True,
        text=True,
        timeout=600,
    )
    if ended.returncode:
        raise RuntimeError(ended.stderr[-2000:])
    return float(ended.stdout)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--before", metavar="REV")
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--case", action="append", choices=list(CASES), help="only these")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--plot", metavar="FOLDER", help="one SVG for each of hosts, customers, queue")
    told = parser.parse_args()
    figures: dict[str, dict[str, float]] = {}
    with tempfile.TemporaryDirectory(prefix="module-cost-") as folder:
        trees = {"now": ROOT}
        if told.before:
            archive = subprocess.run(
                ["git", "archive", told.before], cwd=ROOT, check=True, capture_output=True
            ).stdout
            subprocess.run(["tar", "-x"], cwd=folder, input=archive, check=True)
            trees["before"] = Path(folder)
        print(f"{'':22}" + "".join(f"{name:>10}" for name in trees) + ("   now/it" if told.before else ""))
        for name in told.case or CASES:
            taken: dict[str, list[float]] = {tree: [] for tree in trees}
            for _ in range(told.rounds):
                for tree, place in trees.items():
                    taken[tree].append(one(place, told.requests, CASES[name]))
            row = {tree: statistics.median(values) for tree, values in taken.items()}
            if told.before:
                row["ratio"] = statistics.median(
                    a / b for a, b in zip(taken["now"], taken["before"], strict=True)
                )
            figures[name] = row
            print(
                f"{name:22}"
                + "".join(f"{row[tree]:10.1f}" for tree in trees)
                + (f"{row['ratio']:9.3f}" if told.before else ""),
                flush=True,
            )
    for what in ("account", "host", "request") if not told.case else ():
        figures[f"bytes a {what}"] = {"now": one(ROOT, 20_000, f"held:{what}")}
        print(f"{'bytes a ' + what:22}{figures[f'bytes a {what}']['now']:10.0f}")
    if told.json:
        Path(told.json).write_text(json.dumps(figures, indent=1))
    if told.plot:
        plot(figures, Path(told.plot))


def plot(figures: dict[str, dict[str, float]], folder: Path) -> None:
    for what, across, cases in (
        ("hosts", "hosts", {"10 hosts": 10, "100 hosts": 100, "1000 hosts": 1000}),
        ("customers", "customers", {"1 customer": 1, "10k customers": 10_000, "200k customers": 200_000}),
        (
            "queue",
            "requests that wait (none: at 1)",
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
        text = draw(f"The module's cost a request, by {what}", across, "us of CPU", lines, True, True)
        (folder / f"module-{what}.svg").write_text(text)


if __name__ == "__main__":
    main()
