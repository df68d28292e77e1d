"""`python -m apigateway`, or `api-gateway`: parses, calls, prints."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence

from apigateway import __version__

# libraries that only some installations have, and their extra
NEEDS = {
    "msgspec": "daemon",
    "rich": "tools",
    "hdrh": "load",
    "wasmtime": "plugins",
    "h2": "grpc",
    "envoy": "grpc",
    "google": "grpc",
    "hyperframe": "grpc",
    "grpc_health": "grpc",
    "grpc_reflection": "grpc",
    "grpc": "grpc",
    "matplotlib": "experiment",
}


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="api-gateway",
        description="An api gateway whose quotas hold over all gateways by leases on a counter.",
        epilog="Exit codes: 0 done, 1 failed, 2 settings or arguments that cannot be used, 75 try again.",
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    one = commands.add_parser(
        "serve",
        help="run one gateway until SIGTERM",
        description="Runs one gateway. SIGTERM or SIGINT: it finishes what it has taken and ends. SIGHUP: it "
        "reads "
        "the file again and takes it up whole or not at all. With RELAY_CONFIG in the "
        "environment the "
        "file only adds what the platform does not tell.",
    )
    one.add_argument("file", metavar="FILE", help="settings, as deploy/gateway.toml")
    one.add_argument(
        "--workers",
        type=int,
        default=0,
        metavar="N",
        help="so many gateways on one address, each on a core, under a supervisor",
    )
    one.add_argument(
        "--take-over",
        action="store_true",
        help="take the listening sockets from the gateway that runs with this state folder, "
        "which then "
        "finishes what it has taken and ends; no connection is refused meanwhile",
    )

    one = commands.add_parser(
        "check",
        help="look through a settings file",
        description="Lists all that is wrong in a settings "
        "file, each "
        "with file, key, value, reason and remedy. Exit code 2 if anything is.",
    )
    one.add_argument("file", metavar="FILE")

    one = commands.add_parser(
        "hosts",
        help="what a gateway believes of its hosts",
        description="Prints source, age, and each host's state with the doubts there are: as the gateway "
        "that runs "
        "with this file's state folder believes it, or straight from the registry that the file "
        "names.",
    )
    one.add_argument("file", metavar="FILE")
    one.add_argument("--registry", action="store_true", help="ask the registry, not a gateway")
    one.add_argument("--json", action="store_true")

    one = commands.add_parser(
        "demo",
        help="a fleet of stand-ins, three gateways and some trouble, on loopback",
        description="Starts three gateways, nine hosts in three zones, a counter and discovery on loopback, "
        "sends "
        "customers' traffic under, at and over their quotas, and lets a host fall silent, one "
        "drain and a "
        "gateway die and come back. Then it tells what was served, and whether the five rules "
        "were kept. "
        "Exit code 1 if one broke.",
    )
    one.add_argument("--seconds", type=float, default=20.0, metavar="S", help="how long (default 20)")
    one.add_argument("--seed", type=int, default=1, metavar="N", help="of the traffic (default 1)")
    one.add_argument(
        "--registry",
        choices=("discovery", "eureka"),
        default="discovery",
        help="where the list of hosts comes from (default discovery)",
    )
    one.add_argument(
        "--plugin",
        action="append",
        default=[],
        metavar="PATH",
        help="a plug-in's folder or file, as examples/plugins/districts; may be given again",
    )
    one.add_argument(
        "--grpc", action="store_true", help="half of the requests come by the rate limit service, as checks"
    )
    one.add_argument(
        "--keep", action="store_true", help="leave it up afterwards, to try by hand, until Ctrl-C"
    )

    plugin(
        commands.add_parser(
            "plugin",
            help="write, check, try and measure plug-ins",
            description="For those who write and run plug-ins: docs/operate/plugin-abi.md, "
            "docs/operate/plugins.md.",
        )
    )

    ratelimit(
        commands.add_parser(
            "ratelimit",
            help="ask a rate limit service; what a gateway's did",
            description="For those who ask the gateway's rate limit service, or whose gateway asks another: "
            "docs/operate/ratelimit.md.",
        )
    )

    load = commands.add_parser(
        "load",
        help="rehearse traffic",
        description="Sends what a scenario says when it says so, whatever the gateways do, and counts "
        "latency from when each request was due: docs/operate/load.md.",
    )
    acts = load.add_subparsers(dest="act", required=True, metavar="COMMAND")
    one = acts.add_parser("plan", help="print and plot what will be due, before anything is sent")
    one.add_argument("file", metavar="FILE", help="a scenario, as examples/load/month-start.toml")
    one.add_argument("--json", action="store_true")

    one = acts.add_parser(
        "run",
        help="play it",
        description="Plays it over RESP2 from one process. Exit code 1 if the generator itself was too late, "
        "so that the run says nothing. Ctrl-C ends it with a report of what was.",
    )
    one.add_argument("file", metavar="FILE")
    one.add_argument("--json", action="store_true")

    one = commands.add_parser(
        "experiment",
        help="play the model of a fleet",
        description="Plays hundreds of decision modules with modelled hosts, counter, list and clients on "
        "one simulated clock, as a file of cases, sweeps and seeds says, and prints what came of "
        "it: docs/operate/experiment.md. Exit code 1 if a module broke one of the five rules.",
    )
    one.add_argument("file", metavar="FILE", help="as examples/experiments/spread.toml")
    one.add_argument("--seeds", type=int, default=0, metavar="N", help="1 to N, in place of the file's")
    one.add_argument(
        "--processes", type=int, default=0, metavar="N", help="side by side (default: one core is left)"
    )
    one.add_argument("--json", metavar="FILE", help="write all figures there")
    one.add_argument("--compare", metavar="FILE", help="figures of an earlier play, beside those that differ")
    one.add_argument("--plot", metavar="FILE", help="draw them, as .svg or .png (extra `experiment`)")
    one.add_argument("--seconds", action="store_true", help="print each case second by second as well")
    one.add_argument("--plot-seconds", metavar="FILE", help="draw that, as .svg or .png")

    commands.add_parser("version", help="print the version")
    return top


def ratelimit(top: argparse.ArgumentParser) -> None:
    commands = top.add_subparsers(dest="act", required=True, metavar="COMMAND")
    one = commands.add_parser(
        "ask",
        help="one check",
        description="Asks ShouldRateLimit once, and spends what it is granted. Exit code 0 if it is within "
        "the limit, 3 if it is over, 1 if nobody could say.",
    )
    one.add_argument("address", metavar="HOST:PORT")
    one.add_argument("entries", metavar="KEY=VALUE", nargs="*", help="a descriptor")
    one.add_argument(
        "--descriptor",
        action="append",
        default=[],
        metavar="KEY=VALUE,...",
        help="one more descriptor of the same question; may be given again",
    )
    one.add_argument("--domain", default="calicomast", help="(default calicomast)")
    one.add_argument("--hits", type=int, default=0, metavar="N", help="hits_addend (default: none, so one)")
    one.add_argument("--timeout", type=float, default=2.0, metavar="S", help="(default 2)")
    one.add_argument("--tls", action="store_true", help="with the system's certificates")
    one.add_argument("--ca", default="", metavar="FILE", help="TLS, with these certificates in their place")
    one.add_argument("--cert", default="", metavar="FILE", help="TLS, and a certificate of one's own to show")
    one.add_argument("--key", default="", metavar="FILE", help="its key, where it is not in the same file")
    one.add_argument("--name", default="", help="that the server's certificate has to have")
    one.add_argument("--json", action="store_true")
    one = commands.add_parser("status", help="what a running gateway's service, tokens and outer service did")
    one.add_argument("file", metavar="FILE", help="the settings that it runs with")
    one.add_argument("--json", action="store_true")


def plugin(top: argparse.ArgumentParser) -> None:
    commands = top.add_subparsers(dest="act", required=True, metavar="COMMAND")
    where = "a file of [[plugins]], a folder with plugin.toml, or a gateway's settings"
    one = commands.add_parser("new", help="a skeleton: plug-in, settings, test")
    one.add_argument("name", metavar="NAME")
    one.add_argument("--kind", choices=("rules", "wat"), default="rules")
    one.add_argument("--folder", default=".", metavar="DIR", help="where its folder is made (default here)")
    one = commands.add_parser("build", help="assemble a module's text", description="FILE.wat to FILE.wasm.")
    one.add_argument("file", metavar="FILE.wat")
    one = commands.add_parser("check", help="imports, exports, proof and budgets, as a gateway checks them")
    one.add_argument("path", metavar="PATH", help=where)
    one = commands.add_parser("run", help="recorded requests through it: proposed, allowed, denied")
    one.add_argument("path", metavar="PATH", help=where)
    one.add_argument("records", metavar="RECORDS", help="a file that a gateway wrote (records.file)")
    one.add_argument("--settings", metavar="FILE", help="a gateway's settings, for its routes and limits")
    one.add_argument("--each", action="store_true", help="a line for each request")
    one.add_argument("--json", action="store_true")
    one = commands.add_parser("bench", help="the cost of a call")
    one.add_argument("path", metavar="PATH", help=where)
    one.add_argument("--calls", type=int, default=5000, metavar="N", help="of each phase (default 5000)")
    one.add_argument("--json", action="store_true")
    one = commands.add_parser("status", help="what a running gateway's plug-ins did")
    one.add_argument("file", metavar="FILE", help="the settings that it runs with")
    one.add_argument("--json", action="store_true")


def main(arguments: Sequence[str] | None = None) -> int:
    top = parser()
    told, rest = top.parse_known_args(arguments)
    if rest and getattr(told, "entries", None) is not None and not any(one.startswith("-") for one in rest):
        told.entries += rest  # KEY=VALUE behind an option, which argparse leaves over
    elif rest:
        top.error(f"unrecognized arguments: {' '.join(rest)}")
    try:
        return run(told)
    except ModuleNotFoundError as err:
        extra = NEEDS.get((err.name or "").partition(".")[0])
        if extra is None:
            raise
        print(
            f"api-gateway: {told.command} needs {err.name}: pip install 'apigateway[{extra}]'",
            file=sys.stderr,
        )
        return 1


def run(told: argparse.Namespace) -> int:
    # Each command imports what it needs and no more: a start loads none of the tools.
    if told.command == "serve":
        from apigateway.daemon import pending_signals

        pending_signals.install_handlers()  # before what takes long to load
        from apigateway.daemon.serve import serve

        return serve(told.file, told.take_over, told.workers)
    if told.command == "check":
        from apigateway.cli.check import check

        return check(told.file)
    if told.command == "hosts":
        from apigateway.cli.hosts import hosts

        return hosts(told.file, told.registry, told.json)
    if told.command == "plugin":
        from apigateway.cli import plugin as plugins

        return plugins.run(told)
    if told.command == "ratelimit":
        from apigateway.cli import ratelimit as limits

        return limits.run(told)
    if told.command == "load":
        from apigateway.cli import load

        return load.run(told)
    if told.command == "experiment":
        from apigateway.cli import experiment

        return experiment.run(told)
    if told.command == "demo":
        demo = importlib.import_module("apigateway.tools.demo")
        return int(demo.main(told.seconds, told.seed, told.keep, told.registry, told.plugin, told.grpc))
    print(f"api-gateway {__version__}")
    return 0
