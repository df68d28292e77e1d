"""The demo ends by itself, and its exit code is the ledger's verdict."""

import subprocess
import sys

import pytest
from local_deployment import ROOT
from rich.console import Console

from apigateway.emulators.ledger import Verdict
from apigateway.tools.demo.installation import SHAPE, create_customers
from apigateway.tools.demo.tables import verdicts_table


@pytest.mark.parametrize("source", ["discovery", "eureka"])
def test_the_demo_ends_by_itself_with_the_rules_kept(source):
    arguments = ["demo", "--seconds", "6", "--registry", source]
    ended = subprocess.run(
        [sys.executable, "-B", "-m", "apigateway", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    for text in (
        "falls silent",
        "drains",
        "is killed",
        "returns",
        "comes back, cold",
        "no request lost",
        "kept",
    ):
        assert text in ended.stdout
    assert "BROKEN" not in ended.stdout


def test_with_the_rate_limit_service_both_spend_of_one_ceiling():
    ended = subprocess.run(
        [sys.executable, "-B", "-m", "apigateway", "demo", "--seconds", "6", "--grpc"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    rows = {
        row.split("│")[1].strip(): row.split("│")[2].strip()
        for row in ended.stdout.splitlines()
        if row.count("│") == 3
    }
    assert int(rows["ok"]) > 20 and int(rows["over"]) > 0
    held = [text for name, text in rows.items() if name.startswith("ceiling of")]
    assert len(held) == 3 and all("left at the least" in text for text in held)
    assert "BROKEN" not in ended.stdout


@pytest.mark.parametrize("breaches, word", [((), "kept"), (("a1 was lost",), "BROKEN")])
def test_a_broken_rule_is_shown(breaches, word):
    console = Console(record=True, width=100, file=open("/dev/null", "w"))
    console.print(verdicts_table((Verdict("no request lost", 3, breaches),)))
    text = console.export_text()
    assert word in text and all(b in text for b in breaches)


def test_customers_ask_under_at_and_over_their_quotas_by_seed():
    one, other = create_customers(1), create_customers(2)
    assert one == create_customers(1) != other
    rates = {c.rate / SHAPE.plans[c.plan].rate for c in one}
    assert min(rates) < 0.5 and max(rates) > 2 and any(0.9 < r < 1 for r in rates)
