"""The scale run's reckoning: what it refuses, what it makes of counts, and that it sees parts over a limit."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

BENCHMARKS = Path(__file__).parent.parent / "benchmarks"
sys.path.insert(0, str(BENCHMARKS))

from scale import bounds, report  # noqa: E402
from scale.following import Following, summed  # noqa: E402
from scale.settings import REAL_HEADS, SHARED, Versions, hollow_names, scale_text  # noqa: E402

from pebblehinge.replicated_config.activation import allowances_of  # noqa: E402
from pebblehinge.settings.load import loads  # noqa: E402


def act(t: float, head: str, version: int, mode: str, part: float) -> dict[str, Any]:
    return {"t": t, "head": head, "version": version, "mode": mode, "part": part}


def test_the_run_refuses_a_size_that_the_machine_cannot_hold_with_one_line_before_anything_starts() -> None:
    done = subprocess.run(
        [sys.executable, str(BENCHMARKS / "scale_run.py"), "--heads", "40000", "--shelfs", "30"],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and done.stdout == ""
    lines = done.stderr.splitlines()
    assert len(lines) == 1 and "40000 heads" in lines[0] and "at most 300" in lines[0]
    with pytest.raises(bounds.TooMuch, match="more than 5 heads"):
        bounds.check(REAL_HEADS, 30, 3)
    assert bounds.processes_of(910, 1500, 5) < 40


def test_settings_of_910_heads_can_be_read_and_versions_never_exceed_the_file() -> None:
    text = scale_text(910, 5, 20.0, 60.0)
    config = loads(text)
    assert len(config.head) == 910 and len(config.member) == 5 and config.volume[SHARED].heads == 910
    for number, versions in ((1, Versions(config, 1)), (2, Versions(config, 1, text))):
        read = loads(versions.text(number))
        assert read.plan["everywhere"].limit == versions.limits[number] < config.plan["everywhere"].limit
        assert all(read.plan[n].limit <= p.limit for n, p in config.plan.items())
        part = allowances_of(read, hollow_names(910)[0])
        assert part[SHARED][0] == pytest.approx(versions.limits[number] / 910)
        assert part["basico-1"] == (0.0, 0.0)  # clients come through real heads alone


def test_parts_over_the_newest_limit_are_seen() -> None:
    rows = [act(1, "a", 1, "active", 50.0), act(2, "b", 1, "active", 50.0), act(3, "a", 2, "active", 20.0)]
    assert summed(rows[:2], {1: 100.0})["over"] == 0
    told = summed(rows, {1: 100.0, 2: 40.0})  # b still sends in full when a has heard that 2 is active
    assert told["over"] == 1 and told["worst_share"] == pytest.approx(70 / 40) and told["over_s"] == 0.0
    told = summed([*rows, act(3.5, "b", 2, "active", 20.0)], {1: 100.0, 2: 40.0})
    assert told["over"] == 1 and told["over_s"] == 0.5
    careful = [rows[0], act(1.5, "b", 1, "careful", 20.0), rows[2]]
    assert summed(careful, {1: 100.0, 2: 40.0})["over"] == 0
    dead = [*rows[:2], act(2.5, "b", 0, "dead", 0.0), rows[2]]
    assert summed(dead, {1: 100.0, 2: 40.0})["over"] == 0


def test_a_head_has_a_version_from_when_it_acts_on_it_or_a_later_one_in_full(tmp_path: Path) -> None:
    following = Following(tmp_path)
    rows = [
        act(1, "a", 1, "active", 1.0),
        act(2, "a", 1, "careful", 1.0),
        act(3, "a", 3, "active", 1.0),
        act(1, "b", 1, "cut off", 1.0),
    ]
    half = json.dumps(rows[3])
    (tmp_path / "p.rows").write_text("".join(json.dumps(r) + "\n" for r in rows[:3]) + half[:10])
    following.look()
    assert [following.since("a", n) for n in (1, 2, 3, 4)] == [1, 3, 3, None]
    assert following.missing(["a", "b"], 1) == ["b"]
    with (tmp_path / "p.rows").open("a") as file:
        file.write(half[10:] + "\n")
    following.look()
    assert following.missing(["a", "b"], 1) == ["b"]  # cut off: it is not in force there
    assert following.unwell(["a", "b"], 3, 1.0) == ["b"]
    assert following.unwell(["a"], 3, 2.0) == ["a"]  # something is set aside


def test_counts_go_on_over_a_restart_and_windows_hold_what_fell_in_them(tmp_path: Path) -> None:
    def sample(t: float, cpu: float, raft: int) -> dict[str, Any]:
        return {"t": t, "cpu": cpu, "rss": 1 << 20, "lag_ms": t, "out": {"RAFT": [raft, 10 * raft]}, "in": {}}

    path = tmp_path / "g1.samples"
    rows = [sample(1, 0.5, 10), sample(2, 1.0, 30), sample(3, 0.1, 5), sample(4, 0.2, 6)]
    path.write_text("".join(json.dumps(r) + "\n" for r in rows))
    lines = {"g1": report.Line(path)}
    assert lines["g1"].at(4)["out"]["RAFT"] == [36, 360] and lines["g1"].at(0.5)["out"] == {}
    told = report.window(lines, 1.0, 3.0, 5)
    assert told["frames"] == {"RAFT": 25} and told["frames_a_second_and_head"]["RAFT"] == 2.5
    assert told["groups"]["instances"]["cpu_share"] == pytest.approx(0.3)
    assert told["busiest_second"]["frames"] == 20 and told["busiest_second"]["most_of_one"]["process"] == "g1"
