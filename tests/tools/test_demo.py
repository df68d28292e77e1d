"""The demo ends by itself, and its exit code shows whether the rules were kept."""

import subprocess
import sys

import pytest
from local_deployment import ROOT
from rich.console import Console

from apigateway.emulators.ledger import Verdict
from apigateway.tools.demo.installation import FLEET_SETTINGS, create_customers
from apigateway.tools.demo.tables import verdicts_table


@pytest.mark.parametrize("source", ["discovery", "eureka"])
def test_demo_ends_by_itself_with_the_rules_kept(source):
    arguments = ["demo", "--seconds", "6", "--registry", source]
    completed = subprocess.run(
        [sys.executable, "-B", "-m", "apigateway", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    for text in (
        "falls silent",
        "drains",
        "is killed",
        "returns",
        "comes back, cold",
        "no request lost",
        "kept",
    ):
        assert text in completed.stdout
    assert "BROKEN" not in completed.stdout


def test_demo_when_run_with_grpc_then_both_protocols_share_one_ceiling():
    completed = subprocess.run(
        [sys.executable, "-B", "-m", "apigateway", "demo", "--seconds", "6", "--grpc"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    rows = {
        row.split("│")[1].strip(): row.split("│")[2].strip()
        for row in completed.stdout.splitlines()
        if row.count("│") == 3
    }
    assert int(rows["ok"]) > 20 and int(rows["over"]) > 0
    ceilings = [text for name, text in rows.items() if name.startswith("ceiling of")]
    assert len(ceilings) == 3 and all("left at minimum" in text for text in ceilings)
    assert "BROKEN" not in completed.stdout


@pytest.mark.parametrize("breaches, word", [((), "kept"), (("a1 was lost",), "BROKEN")])
def test_verdicts_table_shows_kept_and_broken_rules(breaches, word):
    console = Console(record=True, width=100, file=open("/dev/null", "w"))
    console.print(verdicts_table((Verdict("no request lost", 3, breaches),)))
    text = console.export_text()
    assert word in text and all(breach in text for breach in breaches)


def test_customers_send_under_near_and_over_their_quotas_by_seed():
    customers, others = create_customers(1), create_customers(2)
    assert customers == create_customers(1) != others
    shares = {customer.rate / FLEET_SETTINGS.plans[customer.plan].rate for customer in customers}
    assert min(shares) < 0.5 and max(shares) > 2 and any(0.9 < share < 1 for share in shares)
