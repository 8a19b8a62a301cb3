"""The module decides as commit 6837705 did: a few of the runs that benchmarks/same_decisions.py compares."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from enum import Enum
from pathlib import Path
from typing import Any

import pytest
import random_runs
from same_decisions import RULES, compare, group_by_rule, positional_values, run_digests, saved_lines

from pebblehinge.interface import Attempt, FinalAnswer, FinalAnswerKind, Outcome

SAVED = json.loads((Path(__file__).parent / "decisions.json").read_text())
RUNS = 3 * len(RULES)


def lines(runs: int) -> list[str]:
    return [" ".join(map(str, row)) for row in run_digests(runs)]


def test_decisions_are_those_of_before() -> None:
    assert [len(SAVED[rule]) for rule in RULES] == [250] * len(RULES)
    assert lines(RUNS) == saved_lines(SAVED, RUNS)


def test_another_figure_in_the_settings_is_seen(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    config = random_runs.loads(random_runs.CONFIG_TEXT.replace("importance 2", "importance 2.0001"))
    assert config != random_runs.CONFIG
    monkeypatch.setattr(random_runs, "CONFIG", config)
    here = lines(RUNS)
    assert compare(here, saved_lines(SAVED, RUNS)) == 1
    assert "differ" in capsys.readouterr().out
    assert saved_lines(group_by_rule(here), RUNS) == here


def test_any_changed_value_changes_what_is_digested() -> None:
    attempt = Attempt("s1", 100.0, 50.0)
    for other in (Attempt("s2", 100.0, 50.0), Attempt("s1", 100.5, 50.0), Attempt("s1", 100.0, 50.5)):
        assert positional_values(other) != positional_values(attempt)
    answer = FinalAnswer(FinalAnswerKind.REJECTED, 2.0, "why")
    for other in (
        FinalAnswer(FinalAnswerKind.FAILED, 2.0, "why"),
        replace(answer, retry_after_ms=3.0),
        replace(answer, reason=""),
    ):
        assert positional_values(other) != positional_values(answer)
    assert len({repr(positional_values(outcome)) for outcome in Outcome}) == len(Outcome)
    assert positional_values({"a": 1, "b": 2}) != positional_values({"b": 2, "a": 1})


def test_names_do_not_count() -> None:
    class Colour(Enum):
        RED = "red"
        BLUE = "blue"

    class Farbe(Enum):
        ROT = "rot"
        BLAU = "blau"

    @dataclass
    class Here:
        first: float
        second: Any

    @dataclass
    class There:
        one: float
        two: Any

    assert positional_values(Here(1.0, [Colour.BLUE])) == positional_values(There(1.0, (Farbe.BLAU,)))
    assert positional_values(Here(1.0, Colour.BLUE)) != positional_values(There(1.0, Farbe.ROT))
    with pytest.raises(TypeError):
        positional_values(object())
