"""The command line: arguments, commands and exit codes."""

import pytest

from apigateway import __version__
from apigateway.cli.arguments import build_parser
from apigateway.cli.main import _COMMANDS, main
from apigateway.exit_codes import ExitCode


def test_each_command_of_the_parser_has_a_function():
    (commands,) = [action for action in build_parser()._actions if action.dest == "command"]
    assert set(commands.choices) == set(_COMMANDS)


def test_version_prints_name_and_version(capsys):
    assert main(["version"]) == ExitCode.OK
    assert capsys.readouterr().out == f"api-gateway {__version__}\n"


def test_unknown_argument_ends_with_the_exit_code_for_invalid_input(capsys):
    with pytest.raises(SystemExit) as caught:
        main(["version", "more"])
    assert caught.value.code == ExitCode.INVALID_INPUT
    assert "unrecognized arguments: more" in capsys.readouterr().err


def test_missing_library_of_a_command_is_reported_with_its_extra(monkeypatch, capsys):
    def raise_missing_matplotlib(arguments):
        raise ModuleNotFoundError("No module named 'matplotlib.figure'", name="matplotlib.figure")

    monkeypatch.setitem(_COMMANDS, "check", raise_missing_matplotlib)
    assert main(["check", "any.toml"]) == ExitCode.FAILED
    assert capsys.readouterr().err == (
        "api-gateway: check needs matplotlib.figure: pip install 'apigateway[experiment]'\n"
    )


def test_missing_module_of_the_package_itself_is_raised(monkeypatch):
    def raise_missing_own_module(arguments):
        raise ModuleNotFoundError("No module named 'apigateway.nothing'", name="apigateway.nothing")

    monkeypatch.setitem(_COMMANDS, "check", raise_missing_own_module)
    with pytest.raises(ModuleNotFoundError):
        main(["check", "any.toml"])


@pytest.mark.parametrize("command", ["check", "hosts"])
def test_missing_settings_file_is_invalid_input(command, capsys):
    assert main([command, "/nowhere/gateway.toml"]) == ExitCode.INVALID_INPUT
    assert "cannot be read" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["127.0.0.1:1"], "no descriptor: specify KEY=VALUE at least once"),
        (["nowhere", "a=b"], "'nowhere' is not HOST:PORT"),
        (["127.0.0.1:1", "a=b", "--hits", "2", "c"], "'c' is not KEY=VALUE"),  # not assigned by argparse
    ],
)
def test_ratelimit_ask_reports_which_argument_is_invalid(arguments, message, capsys):
    assert main(["ratelimit", "ask", *arguments]) == ExitCode.INVALID_INPUT
    assert capsys.readouterr().err == f"api-gateway: {message}\n"
