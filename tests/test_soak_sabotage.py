"""The sabotages of the soak: each disables a mechanism and names the rules that must detect it."""

import subprocess
import sys
from pathlib import Path

import pytest

from linkhaven.stage.soak import judge
from linkhaven.stage.soak.sabotage import BREACHED_RULES, SABOTAGES, TRUSTING_RUNNERS

STAGE = Path(sys.executable).with_name("linkhaven-stage")


def log_of(*marks, restarts_at=None):
    lines = ["2026-01-01T00:00:00Z INFO LH1001 edge-1: started {}"]
    for place, mark in enumerate(marks):
        if place == restarts_at:
            lines.append("2026-01-01T00:00:00Z INFO LH1001 edge-1: started {}")
        text = f'2026-01-01T00:00:00Z INFO LH2001 edge-1: configuration applied {{"mark":{mark}}}'
        lines.append(text)
    return "\n".join(lines)


def order(at_us, fence, is_taken=True, incarnation=1):
    facts = {"runner": "r-1", "incarnation": incarnation, "holder": f"core-{fence}"}
    return (at_us, "order", {**facts, "fence": fence, "is_taken": is_taken})


def test_each_sabotage_names_rules_that_the_judge_has():
    assert set(BREACHED_RULES) == set(SABOTAGES) >= TRUSTING_RUNNERS
    judged = Path(judge.__file__).read_text()
    checkers = {checker.__name__ for checker in judge.CHECKERS}
    for rules in BREACHED_RULES.values():
        assert all(rule in checkers or f'"{rule}"' in judged for rule in rules)


def test_a_configuration_that_goes_back_without_a_restart_is_found():
    assert not list(judge.find_older_configurations({"edge-1": log_of(1, 2, 4)}))
    assert not list(judge.find_older_configurations({"edge-1": log_of(4, 2, restarts_at=1)}))
    assert list(judge.find_older_configurations({"edge-1": log_of(1, 4, 2)})) == [
        "edge-1 went back from mark 4 to 2"
    ]


def test_an_accepted_order_with_a_lower_fencing_token_is_found():
    assert not list(judge.find_lower_fences([order(1, 2), order(2, 2), order(3, 5)]))
    assert not list(judge.find_lower_fences([order(1, 2), order(2, 1, is_taken=False)]))
    assert not list(judge.find_lower_fences([order(1, 2), order(2, 1, incarnation=2)]))
    assert len(list(judge.find_lower_fences([order(1, 2), order(2, 1)]))) == 1


@pytest.mark.parametrize("command", ["soak", "soak-power", "soak-node"])
def test_an_unknown_sabotage_is_refused(command):
    words = ["--program", "router"] if command == "soak-node" else []
    result = subprocess.run(
        [STAGE, command, "--sabotage", "nothing", *words],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode != 0
    assert "is not one of repeat_one_time_work" in result.stdout + result.stderr
