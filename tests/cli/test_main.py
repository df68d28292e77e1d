"""The command line: arguments, the commands that they name, exit codes."""

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


def test_unknown_argument_when_parsed_then_ends_with_unusable(capsys):
    with pytest.raises(SystemExit) as ended:
        main(["version", "more"])
    assert ended.value.code == ExitCode.INVALID_INPUT
    assert "unrecognized arguments: more" in capsys.readouterr().err


def test_missing_library_when_a_command_needs_it_then_names_its_extra(monkeypatch, capsys):
    def needs_matplotlib(arguments):
        raise ModuleNotFoundError("No module named 'matplotlib.figure'", name="matplotlib.figure")

    monkeypatch.setitem(_COMMANDS, "check", needs_matplotlib)
    assert main(["check", "any.toml"]) == ExitCode.FAILED
    assert capsys.readouterr().err == (
        "api-gateway: check needs matplotlib.figure: pip install 'apigateway[experiment]'\n"
    )


def test_missing_module_of_the_program_itself_is_raised(monkeypatch):
    def is_broken(arguments):
        raise ModuleNotFoundError("No module named 'apigateway.nothing'", name="apigateway.nothing")

    monkeypatch.setitem(_COMMANDS, "check", is_broken)
    with pytest.raises(ModuleNotFoundError):
        main(["check", "any.toml"])


@pytest.mark.parametrize("command", ["check", "hosts"])
def test_settings_file_when_missing_then_is_unusable(command, capsys):
    assert main([command, "/nowhere/gateway.toml"]) == ExitCode.INVALID_INPUT
    assert "cannot be read" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["127.0.0.1:1"], "no descriptor: say KEY=VALUE, once or more"),
        (["nowhere", "a=b"], "'nowhere' is not HOST:PORT"),
        (["127.0.0.1:1", "a=b", "--hits", "2", "c"], "'c' is no KEY=VALUE"),  # left over by argparse
    ],
)
def test_ratelimit_ask_when_an_argument_cannot_be_used_then_says_which(arguments, message, capsys):
    assert main(["ratelimit", "ask", *arguments]) == ExitCode.INVALID_INPUT
    assert capsys.readouterr().err == f"api-gateway: {message}\n"
