"""Tests that unused parts are not imported."""

import subprocess
import sys

from local_deployment import ROOT
from plugins.example_plugins import copy_example


def test_gateway_without_plugins_imports_only_their_settings():
    code = (
        "import sys, apigateway.daemon.serve, apigateway.daemon.gateway_server; "
        "print(sorted(m for m in sys.modules if m.startswith(('apigateway.plugins', 'wasmtime'))))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    # Only the schemas of the settings are imported.
    assert completed.stdout == "['apigateway.plugins', 'apigateway.plugins.settings']\n", completed.stderr


def test_rules_do_not_import_the_engine(tmp_path):
    folder = copy_example("districts", "rules", tmp_path)
    code = (
        f"import sys; from apigateway.plugins.testkit import Kit; Kit.load({str(folder)!r}); "
        "print('wasmtime' in sys.modules)"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.stdout == "False\n", completed.stderr
