"""The argument parser, with a function for each command that adds its arguments.

Imports no other module of the package, so that `serve` does not load the tools.
"""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from argparse import _SubParsersAction

    Commands = _SubParsersAction[argparse.ArgumentParser]

DEFAULT_DEMO_SECONDS = 20.0
DEFAULT_DEMO_SEED = 1
DEFAULT_BENCH_CALLS = 5000
DEFAULT_ASK_TIMEOUT_S = 2.0
DEFAULT_DOMAIN = "calicomast"  # the project's former name; the daemon has the same default


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="api-gateway",
        description="An API gateway that enforces quotas across a fleet by leases on a shared counter.",
        epilog="Exit codes: 0 success, 1 failure, 2 invalid settings or arguments, 75 temporary failure.",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_serve(commands)
    _add_check(commands)
    _add_hosts(commands)
    _add_demo(commands)
    _add_plugin(commands)
    _add_ratelimit(commands)
    _add_load(commands)
    _add_experiment(commands)
    commands.add_parser("version", help="print the version")
    return parser


def _add_serve(commands: Commands) -> None:
    serve = commands.add_parser(
        "serve",
        help="run one gateway until SIGTERM",
        description="Runs one gateway. On SIGTERM or SIGINT it completes the accepted requests and exits. On "
        "SIGHUP it reloads the file and applies it completely or not at all. If RELAY_CONFIG is set in the "
        "environment, the file only adds settings that the platform does not provide.",
    )
    serve.add_argument("file", metavar="FILE", help="settings file, such as deploy/gateway.toml")
    serve.add_argument(
        "--workers",
        type=int,
        default=0,
        metavar="N",
        help="run N gateways on one address, one on each core, under a supervisor",
    )
    serve.add_argument(
        "--take-over",
        action="store_true",
        help="take over the listening sockets of the gateway that runs with this state folder; that gateway "
        "completes its requests and exits, and no connection is refused",
    )


def _add_check(commands: Commands) -> None:
    check = commands.add_parser(
        "check",
        help="check a settings file",
        description="Prints all problems of a settings file, each with file, key, value, reason and remedy. "
        "Exit code 2 if there are any.",
    )
    check.add_argument("file", metavar="FILE")


def _add_hosts(commands: Commands) -> None:
    hosts = commands.add_parser(
        "hosts",
        help="show the hosts that a gateway has accepted",
        description="Prints the source and age of the list, and each host's state and whether it is in "
        "doubt: as accepted by the gateway that runs with this file's state folder, or as reported by the "
        "registry that the file names.",
    )
    hosts.add_argument("file", metavar="FILE")
    hosts.add_argument("--registry", action="store_true", help="query the registry instead of a gateway")
    hosts.add_argument("--json", action="store_true")


def _add_demo(commands: Commands) -> None:
    demo = commands.add_parser(
        "demo",
        help="run three gateways with emulated hosts and faults, on loopback",
        description="Starts three gateways, nine hosts in three zones, a counter and discovery on loopback. "
        "Sends customers' traffic below, at and above their quotas. Makes one host stop answering, drains "
        "another, and kills and restarts a gateway. Then prints the traffic that was served and whether the "
        "five rules were kept. Exit code 1 if one was broken.",
    )
    demo.add_argument(
        "--seconds", type=float, default=DEFAULT_DEMO_SECONDS, metavar="S", help="duration (default 20)"
    )
    demo.add_argument(
        "--seed", type=int, default=DEFAULT_DEMO_SEED, metavar="N", help="seed of the traffic (default 1)"
    )
    demo.add_argument(
        "--registry",
        choices=("discovery", "eureka"),
        default="discovery",
        help="source of the list of hosts (default discovery)",
    )
    demo.add_argument(
        "--plugin",
        action="append",
        default=[],
        metavar="PATH",
        help="folder or file of a plug-in, such as examples/plugins/districts; may be repeated",
    )
    demo.add_argument(
        "--grpc", action="store_true", help="send half of the requests as checks to the rate limit service"
    )
    demo.add_argument("--keep", action="store_true", help="keep the fleet running afterwards, until Ctrl-C")


def _add_plugin(commands: Commands) -> None:
    plugin = commands.add_parser(
        "plugin",
        help="create, check, replay and benchmark plug-ins",
        description="Tools for authors and operators of plug-ins: see docs/operate/plugin-abi.md and "
        "docs/operate/plugins.md.",
    )
    actions = plugin.add_subparsers(dest="action", required=True, metavar="COMMAND")
    path_help = "file with [[plugins]], folder with plugin.toml, or a gateway's settings file"

    new = actions.add_parser("new", help="create a skeleton: plug-in, settings, test")
    new.add_argument("name", metavar="NAME")
    new.add_argument("--kind", choices=("rules", "wat"), default="rules")
    new.add_argument(
        "--folder",
        default=".",
        metavar="DIR",
        help="parent of the new folder (default: the current directory)",
    )

    build = actions.add_parser(
        "build", help="assemble a module", description="Assembles FILE.wat to FILE.wasm."
    )
    build.add_argument("file", metavar="FILE.wat")

    check = actions.add_parser(
        "check", help="run a gateway's validation: imports, exports, test calls, budgets"
    )
    check.add_argument("path", metavar="PATH", help=path_help)

    run = actions.add_parser("run", help="replay recorded requests: proposals, allowed, denied")
    run.add_argument("path", metavar="PATH", help=path_help)
    run.add_argument(
        "records", metavar="RECORDS", help="file of requests recorded by a gateway (records.file)"
    )
    run.add_argument("--settings", metavar="FILE", help="settings of a gateway, for its routes and limits")
    run.add_argument("--each", action="store_true", help="print a line for each request")
    run.add_argument("--json", action="store_true")

    bench = actions.add_parser("bench", help="measure the cost of a call")
    bench.add_argument("path", metavar="PATH", help=path_help)
    bench.add_argument(
        "--calls",
        type=int,
        default=DEFAULT_BENCH_CALLS,
        metavar="N",
        help="calls of each phase (default 5000)",
    )
    bench.add_argument("--json", action="store_true")

    status = actions.add_parser("status", help="show the state and counts of a running gateway's plug-ins")
    status.add_argument("file", metavar="FILE", help="settings file that the gateway runs with")
    status.add_argument("--json", action="store_true")


def _add_ratelimit(commands: Commands) -> None:
    ratelimit = commands.add_parser(
        "ratelimit",
        help="query a rate limit service; show the status of a gateway's",
        description="Tools for clients of the gateway's rate limit service, and for gateways that use an "
        "external one: see docs/operate/ratelimit.md.",
    )
    actions = ratelimit.add_subparsers(dest="action", required=True, metavar="COMMAND")
    _add_ratelimit_ask(actions)
    status = actions.add_parser(
        "status", help="show the counts of a running gateway's service, tokens and external service"
    )
    status.add_argument("file", metavar="FILE", help="settings file that the gateway runs with")
    status.add_argument("--json", action="store_true")


def _add_ratelimit_ask(actions: Commands) -> None:
    ask = actions.add_parser(
        "ask",
        help="send one check",
        description="Calls ShouldRateLimit once; granted units are spent. Exit code 0 if the request is "
        "within the limit, 3 if it is over the limit, 1 if the call failed.",
    )
    ask.add_argument("address", metavar="HOST:PORT")
    ask.add_argument("entries", metavar="KEY=VALUE", nargs="*", help="entries of the first descriptor")
    ask.add_argument(
        "--descriptor",
        action="append",
        default=[],
        metavar="KEY=VALUE,...",
        help="another descriptor of the same request; may be repeated",
    )
    ask.add_argument("--domain", default=DEFAULT_DOMAIN, help="domain of the request (default calicomast)")
    ask.add_argument(
        "--hits", type=int, default=0, metavar="N", help="hits_addend (default: not set, which counts as one)"
    )
    ask.add_argument(
        "--timeout", type=float, default=DEFAULT_ASK_TIMEOUT_S, metavar="S", help="timeout (default 2)"
    )
    ask.add_argument("--tls", action="store_true", help="use TLS with the system's CA certificates")
    ask.add_argument("--ca", default="", metavar="FILE", help="use TLS with these CA certificates instead")
    ask.add_argument("--cert", default="", metavar="FILE", help="use TLS with this client certificate")
    ask.add_argument(
        "--key", default="", metavar="FILE", help="key of the client certificate, if it is in another file"
    )
    ask.add_argument("--name", default="", help="name that the server's certificate must have")
    ask.add_argument("--json", action="store_true")


def _add_load(commands: Commands) -> None:
    load = commands.add_parser(
        "load",
        help="plan and run load tests",
        description="Sends the requests of a scenario at their scheduled times, regardless of how fast the "
        "gateways answer, and measures latency from the scheduled time: see docs/operate/load.md.",
    )
    actions = load.add_subparsers(dest="action", required=True, metavar="COMMAND")

    plan = actions.add_parser("plan", help="print and plot the scheduled requests without sending them")
    plan.add_argument("file", metavar="FILE", help="scenario, such as examples/load/month-start.toml")
    plan.add_argument("--json", action="store_true")

    run = actions.add_parser(
        "run",
        help="run a scenario",
        description="Runs a scenario over RESP2 from one process. Exit code 1 if the generator itself sent "
        "requests too late, so that the results are not valid. Ctrl-C stops the run and prints its report.",
    )
    run.add_argument("file", metavar="FILE")
    run.add_argument("--json", action="store_true")


def _add_experiment(commands: Commands) -> None:
    experiment = commands.add_parser(
        "experiment",
        help="simulate a fleet",
        description="Runs hundreds of decision modules with simulated hosts, counter, discovery and clients "
        "on one simulated clock, for the cases, sweeps and seeds of a file, and prints the results: see "
        "docs/operate/experiment.md. Exit code 1 if a module broke one of the five rules.",
    )
    experiment.add_argument(
        "file", metavar="FILE", help="experiment, such as examples/experiments/spread.toml"
    )
    experiment.add_argument(
        "--seeds", type=int, default=0, metavar="N", help="use seeds 1 to N instead of those in the file"
    )
    experiment.add_argument(
        "--processes",
        type=int,
        default=0,
        metavar="N",
        help="parallel processes (default: all cores but one)",
    )
    experiment.add_argument("--json", metavar="FILE", help="write all figures to FILE")
    experiment.add_argument(
        "--compare", metavar="FILE", help="show the figures of an earlier run next to those that differ"
    )
    experiment.add_argument(
        "--plot", metavar="FILE", help="plot the figures as .svg or .png (needs the extra `experiment`)"
    )
    experiment.add_argument("--seconds", action="store_true", help="also print each case by second")
    experiment.add_argument("--plot-seconds", metavar="FILE", help="plot each case by second as .svg or .png")
