"""The command line's arguments: one parser, and a function for each command that adds its own.

Imports no other part of the program: a start of `serve` loads none of the tools.
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
DEFAULT_DOMAIN = "calicomast"  # of the project's former name; the daemon's default is the same


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="api-gateway",
        description="An api gateway whose quotas hold over all gateways by leases on a counter.",
        epilog="Exit codes: 0 done, 1 failed, 2 settings or arguments that cannot be used, 75 try again.",
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
        description="Runs one gateway. SIGTERM or SIGINT: it finishes what it has taken and ends. SIGHUP: it "
        "reads the file again and takes it up whole or not at all. With RELAY_CONFIG in the environment the "
        "file only adds what the platform does not tell.",
    )
    serve.add_argument("file", metavar="FILE", help="settings, as deploy/gateway.toml")
    serve.add_argument(
        "--workers",
        type=int,
        default=0,
        metavar="N",
        help="so many gateways on one address, each on a core, under a supervisor",
    )
    serve.add_argument(
        "--take-over",
        action="store_true",
        help="take the listening sockets from the gateway that runs with this state folder, which then "
        "finishes what it has taken and ends; no connection is refused meanwhile",
    )


def _add_check(commands: Commands) -> None:
    check = commands.add_parser(
        "check",
        help="look through a settings file",
        description="Lists all that is wrong in a settings file, each with file, key, value, reason and "
        "remedy. Exit code 2 if anything is.",
    )
    check.add_argument("file", metavar="FILE")


def _add_hosts(commands: Commands) -> None:
    hosts = commands.add_parser(
        "hosts",
        help="what a gateway believes of its hosts",
        description="Prints source, age, and each host's state with the doubts there are: as the gateway "
        "that runs with this file's state folder believes it, or straight from the registry that the file "
        "names.",
    )
    hosts.add_argument("file", metavar="FILE")
    hosts.add_argument("--registry", action="store_true", help="ask the registry, not a gateway")
    hosts.add_argument("--json", action="store_true")


def _add_demo(commands: Commands) -> None:
    demo = commands.add_parser(
        "demo",
        help="a fleet of stand-ins, three gateways and some trouble, on loopback",
        description="Starts three gateways, nine hosts in three zones, a counter and discovery on loopback, "
        "sends customers' traffic under, at and over their quotas, and lets a host fall silent, one drain "
        "and a gateway die and come back. Then it tells what was served, and whether the five rules were "
        "kept. Exit code 1 if one broke.",
    )
    demo.add_argument(
        "--seconds", type=float, default=DEFAULT_DEMO_SECONDS, metavar="S", help="how long (default 20)"
    )
    demo.add_argument(
        "--seed", type=int, default=DEFAULT_DEMO_SEED, metavar="N", help="of the traffic (default 1)"
    )
    demo.add_argument(
        "--registry",
        choices=("discovery", "eureka"),
        default="discovery",
        help="where the list of hosts comes from (default discovery)",
    )
    demo.add_argument(
        "--plugin",
        action="append",
        default=[],
        metavar="PATH",
        help="a plug-in's folder or file, as examples/plugins/districts; may be given again",
    )
    demo.add_argument(
        "--grpc", action="store_true", help="half of the requests come by the rate limit service, as checks"
    )
    demo.add_argument(
        "--keep", action="store_true", help="leave it up afterwards, to try by hand, until Ctrl-C"
    )


def _add_plugin(commands: Commands) -> None:
    plugin = commands.add_parser(
        "plugin",
        help="write, check, try and measure plug-ins",
        description="For those who write and run plug-ins: docs/operate/plugin-abi.md, "
        "docs/operate/plugins.md.",
    )
    actions = plugin.add_subparsers(dest="action", required=True, metavar="COMMAND")
    path_help = "a file of [[plugins]], a folder with plugin.toml, or a gateway's settings"

    new = actions.add_parser("new", help="a skeleton: plug-in, settings, test")
    new.add_argument("name", metavar="NAME")
    new.add_argument("--kind", choices=("rules", "wat"), default="rules")
    new.add_argument("--folder", default=".", metavar="DIR", help="where its folder is made (default here)")

    build = actions.add_parser("build", help="assemble a module's text", description="FILE.wat to FILE.wasm.")
    build.add_argument("file", metavar="FILE.wat")

    check = actions.add_parser("check", help="imports, exports, proof and budgets, as a gateway checks them")
    check.add_argument("path", metavar="PATH", help=path_help)

    run = actions.add_parser("run", help="recorded requests through it: proposed, allowed, denied")
    run.add_argument("path", metavar="PATH", help=path_help)
    run.add_argument("records", metavar="RECORDS", help="a file that a gateway wrote (records.file)")
    run.add_argument("--settings", metavar="FILE", help="a gateway's settings, for its routes and limits")
    run.add_argument("--each", action="store_true", help="a line for each request")
    run.add_argument("--json", action="store_true")

    bench = actions.add_parser("bench", help="the cost of a call")
    bench.add_argument("path", metavar="PATH", help=path_help)
    bench.add_argument(
        "--calls", type=int, default=DEFAULT_BENCH_CALLS, metavar="N", help="of each phase (default 5000)"
    )
    bench.add_argument("--json", action="store_true")

    status = actions.add_parser("status", help="what a running gateway's plug-ins did")
    status.add_argument("file", metavar="FILE", help="the settings that it runs with")
    status.add_argument("--json", action="store_true")


def _add_ratelimit(commands: Commands) -> None:
    ratelimit = commands.add_parser(
        "ratelimit",
        help="ask a rate limit service; what a gateway's did",
        description="For those who ask the gateway's rate limit service, or whose gateway asks another: "
        "docs/operate/ratelimit.md.",
    )
    actions = ratelimit.add_subparsers(dest="action", required=True, metavar="COMMAND")
    _add_ratelimit_ask(actions)
    status = actions.add_parser(
        "status", help="what a running gateway's service, tokens and outer service did"
    )
    status.add_argument("file", metavar="FILE", help="the settings that it runs with")
    status.add_argument("--json", action="store_true")


def _add_ratelimit_ask(actions: Commands) -> None:
    ask = actions.add_parser(
        "ask",
        help="one check",
        description="Asks ShouldRateLimit once, and spends what it is granted. Exit code 0 if it is within "
        "the limit, 3 if it is over, 1 if nobody could say.",
    )
    ask.add_argument("address", metavar="HOST:PORT")
    ask.add_argument("entries", metavar="KEY=VALUE", nargs="*", help="a descriptor")
    ask.add_argument(
        "--descriptor",
        action="append",
        default=[],
        metavar="KEY=VALUE,...",
        help="one more descriptor of the same question; may be given again",
    )
    ask.add_argument("--domain", default=DEFAULT_DOMAIN, help="(default calicomast)")
    ask.add_argument("--hits", type=int, default=0, metavar="N", help="hits_addend (default: none, so one)")
    ask.add_argument("--timeout", type=float, default=DEFAULT_ASK_TIMEOUT_S, metavar="S", help="(default 2)")
    ask.add_argument("--tls", action="store_true", help="with the system's certificates")
    ask.add_argument("--ca", default="", metavar="FILE", help="TLS, with these certificates in their place")
    ask.add_argument("--cert", default="", metavar="FILE", help="TLS, and a certificate of one's own to show")
    ask.add_argument("--key", default="", metavar="FILE", help="its key, where it is not in the same file")
    ask.add_argument("--name", default="", help="that the server's certificate has to have")
    ask.add_argument("--json", action="store_true")


def _add_load(commands: Commands) -> None:
    load = commands.add_parser(
        "load",
        help="rehearse traffic",
        description="Sends what a scenario says when it says so, whatever the gateways do, and counts "
        "latency from when each request was due: docs/operate/load.md.",
    )
    actions = load.add_subparsers(dest="action", required=True, metavar="COMMAND")

    plan = actions.add_parser("plan", help="print and plot what will be due, before anything is sent")
    plan.add_argument("file", metavar="FILE", help="a scenario, as examples/load/month-start.toml")
    plan.add_argument("--json", action="store_true")

    run = actions.add_parser(
        "run",
        help="play it",
        description="Plays it over RESP2 from one process. Exit code 1 if the generator itself was too late, "
        "so that the run says nothing. Ctrl-C ends it with a report of what was.",
    )
    run.add_argument("file", metavar="FILE")
    run.add_argument("--json", action="store_true")


def _add_experiment(commands: Commands) -> None:
    experiment = commands.add_parser(
        "experiment",
        help="play the model of a fleet",
        description="Plays hundreds of decision modules with modelled hosts, counter, list and clients on "
        "one simulated clock, as a file of cases, sweeps and seeds says, and prints what came of "
        "it: docs/operate/experiment.md. Exit code 1 if a module broke one of the five rules.",
    )
    experiment.add_argument("file", metavar="FILE", help="as examples/experiments/spread.toml")
    experiment.add_argument(
        "--seeds", type=int, default=0, metavar="N", help="1 to N, in place of the file's"
    )
    experiment.add_argument(
        "--processes", type=int, default=0, metavar="N", help="side by side (default: one core is left)"
    )
    experiment.add_argument("--json", metavar="FILE", help="write all figures there")
    experiment.add_argument(
        "--compare", metavar="FILE", help="figures of an earlier play, beside those that differ"
    )
    experiment.add_argument("--plot", metavar="FILE", help="draw them, as .svg or .png (extra `experiment`)")
    experiment.add_argument("--seconds", action="store_true", help="print each case second by second as well")
    experiment.add_argument("--plot-seconds", metavar="FILE", help="draw that, as .svg or .png")
