"""What is seen from outside is as commit 6837705 showed it: settings in force, metrics, the console's keys."""

from __future__ import annotations

import copy
import hashlib
import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from unchanged import DAYS, HERE, SEEDS, Program, differences
from unchanged_live import keys, live, metrics, served

from pebblehinge.cli import main

FIGURES = json.loads((Path(__file__).parent / "figures.json").read_text())


@pytest.mark.parametrize("name", list(FIGURES["checks"]))
def test_settings_in_force_are_shown_as_before(name: str) -> None:
    shown = CliRunner().invoke(main, ["check", "--show", str(HERE / name)])
    expected = FIGURES["checks"][name]
    assert [shown.exit_code, hashlib.sha256(shown.stdout.encode()).hexdigest()[:16]] == list(expected.values())


def test_a_changed_setting_is_seen(tmp_path: Path) -> None:
    file = tmp_path / "head.conf"
    file.write_text((HERE / "examples" / "head.conf").read_text().replace("patience 4s", "patience 5s"))
    shown = CliRunner().invoke(main, ["check", "--show", str(file)])
    assert shown.exit_code == 0
    digest = hashlib.sha256(shown.stdout.encode()).hexdigest()[:16]
    assert digest != FIGURES["checks"]["examples/head.conf"]["shown"]


def test_running_processes_show_the_metrics_and_keys_of_before(tmp_path: Path) -> None:
    assert differences(live(Program(HERE, tmp_path)), FIGURES["live"]) == []


def test_figures_of_days_are_saved() -> None:
    assert list(FIGURES["days"]) == [f"{name} {seed}" for name in DAYS for seed in SEEDS]
    assert all(len(day["records"]) > 10 for day in FIGURES["days"].values())


def test_differences_are_found_at_their_places() -> None:
    other = copy.deepcopy(FIGURES)
    other["days"]["struck 3"]["records"]["head-h1.jsonl"] = "0"
    del other["days"]["struck 4"]["records"]["lab.jsonl"]
    other["live"]["metrics"][0] = "renamed_total counter"
    found = differences(other, FIGURES)
    assert [line.split(":")[0] for line in found] == [
        "/days/struck 3/records/head-h1.jsonl",
        "/days/struck 4/records/lab.jsonl",
        "/live/metrics",
    ]


def test_names_of_metrics_and_keys_are_told_apart() -> None:
    text = '# HELP a_total words\n# TYPE a_total counter\na_total{end="left",why="x y"} 1.0\nb 2.0\n'
    assert metrics(text) == ["a_total counter", "a_total end=left why=*", "b"]
    assert metrics(text.replace("left", "gone")) != metrics(text)
    state = {"refused_because": {"x": 1}, "events": [[1]], "shelfs": [{"name": "s1"}, {"name": "s2", "slot": 0}]}
    assert served(state) == [
        " object",
        ".events list",
        ".refused_because object",
        ".shelfs list",
        ".shelfs[] object",
        ".shelfs[].name str",
        ".shelfs[].slot int",
    ]
    assert keys({"a": 1}) != keys({"b": 1}) and keys({"a": 1}) != keys({"a": 1.0})
