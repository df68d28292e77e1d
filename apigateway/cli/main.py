"""Entry point of `api-gateway` and `python -m apigateway`: parse the arguments and run the command.

Each command imports its modules when it is called, so that `serve` does not load the tools.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence

from apigateway import __version__
from apigateway.cli.arguments import build_parser
from apigateway.exit_codes import ExitCode

_EXTRA_BY_LIBRARY = {  # optional libraries and the extra that installs them
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


def main(command_line: Sequence[str] | None = None) -> int:
    """Run the command of `command_line`, by default that of the process; return its exit code."""
    arguments = _parse(command_line)
    try:
        return _COMMANDS[arguments.command](arguments)
    except ModuleNotFoundError as error:
        library = (error.name or "").partition(".")[0]
        extra = _EXTRA_BY_LIBRARY.get(library)
        if extra is None:
            raise
        print(
            f"api-gateway: {arguments.command} needs {error.name}: pip install 'apigateway[{extra}]'",
            file=sys.stderr,
        )
        return ExitCode.FAILED


def _parse(command_line: Sequence[str] | None) -> argparse.Namespace:
    """Parse the arguments; exit the process if they are invalid."""
    parser = build_parser()
    arguments, unparsed = parser.parse_known_args(command_line)
    takes_entries = getattr(arguments, "entries", None) is not None
    if unparsed and takes_entries and not any(text.startswith("-") for text in unparsed):
        arguments.entries += unparsed  # argparse does not assign KEY=VALUE arguments that follow an option
    elif unparsed:
        parser.error(f"unrecognized arguments: {' '.join(unparsed)}")
    return arguments


def _serve(arguments: argparse.Namespace) -> int:
    from apigateway.daemon import pending_signals

    pending_signals.install_handlers()  # before the slow imports
    from apigateway.daemon.serve import serve

    return serve(arguments.file, arguments.take_over, arguments.workers)


def _check(arguments: argparse.Namespace) -> int:
    from apigateway.cli.check import check

    return check(arguments.file)


def _hosts(arguments: argparse.Namespace) -> int:
    from apigateway.cli.hosts import hosts

    return hosts(arguments.file, arguments.registry, arguments.json)


def _demo(arguments: argparse.Namespace) -> int:
    from apigateway.tools.demo.main import DemoOptions, main

    return main(
        DemoOptions(
            seconds=arguments.seconds,
            seed=arguments.seed,
            keep=arguments.keep,
            source=arguments.registry,
            plugins=arguments.plugin,
            use_grpc=arguments.grpc,
        )
    )


def _plugin(arguments: argparse.Namespace) -> int:
    from apigateway.cli import plugin

    return plugin.run(arguments)


def _ratelimit(arguments: argparse.Namespace) -> int:
    if arguments.action == "status":
        from apigateway.cli.ratelimit_status import print_status

        return print_status(arguments.file, arguments.json)
    from apigateway.cli.ratelimit_ask import AskOptions, ask

    return ask(
        AskOptions(
            address=arguments.address,
            entries=arguments.entries,
            descriptors=arguments.descriptor,
            domain=arguments.domain,
            hits=arguments.hits,
            timeout=arguments.timeout,
            use_tls=arguments.tls,
            ca_file=arguments.ca,
            cert_file=arguments.cert,
            key_file=arguments.key,
            server_name=arguments.name,
            as_json=arguments.json,
        )
    )


def _load(arguments: argparse.Namespace) -> int:
    from apigateway.cli import load

    command = load.run if arguments.action == "run" else load.print_plan
    return command(arguments.file, arguments.json)


def _experiment(arguments: argparse.Namespace) -> int:
    from apigateway.cli import experiment

    return experiment.run(
        experiment.ExperimentOptions(
            path=arguments.file,
            seed_count=arguments.seeds,
            process_count=arguments.processes,
            json_path=arguments.json,
            compare_path=arguments.compare,
            plot_path=arguments.plot,
            plot_seconds_path=arguments.plot_seconds,
            print_seconds=arguments.seconds,
        )
    )


def _version(arguments: argparse.Namespace) -> int:
    print(f"api-gateway {__version__}")
    return ExitCode.OK


_COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "serve": _serve,
    "check": _check,
    "hosts": _hosts,
    "demo": _demo,
    "plugin": _plugin,
    "ratelimit": _ratelimit,
    "load": _load,
    "experiment": _experiment,
    "version": _version,
}
