"""Trials of captured load, and a plan from the command line."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from captured_rows import CONFIG
from command_line import DAYS_FOLDER, run_command

from pebblehinge.capacity_planner import Trial
from pebblehinge.capture import CapturedRequest, parse_capture
from pebblehinge.lab.replay import merge
from pebblehinge.lab.simulated_fleet import play
from pebblehinge.lab.trials import fleet_of, lay_out, losses, play_trial, world_of
from pebblehinge.settings import Config


def captured(config: Config, day: str) -> list[tuple[float, str, CapturedRequest]]:
    village, _ = play(config, day, 1)
    return merge([parse_capture(bytes(data)) for data in village.captures.values()])[0]


def test_a_trial_of_what_was_captured_shows_what_the_day_showed() -> None:
    day = msgspec.structs.replace(CONFIG, day={"quiet": msgspec.structs.replace(CONFIG.day["quiet"], length=6000.0)})
    rows = captured(day, "quiet")
    world = world_of(CONFIG, rows, 0.0, 6000.0)
    once, heavy = play_trial(world, Trial(1.0, 5)), play_trial(world, Trial(4.0, 5))
    assert once.service > 0.96 and heavy.service < 0.7
    assert sum(heavy.lost_by_node.values()) + sum(heavy.lost_by_quota.values()) == pytest.approx(
        1.0 - heavy.service, abs=0.01
    )
    more = play_trial(world, Trial(4.0, 5, 24))
    assert more.service > heavy.service + 0.2
    lost = play_trial(world, Trial(1.0, 5, None, "rack a"))
    assert lost.service_during_failure < 0.7 and lost.service < once.service
    assert play_trial(world, Trial(1.0, 5)) == once
    places = lay_out(world, fleet_of(CONFIG, 24))
    assert {len(p) for v, p in places.items()} <= set(range(1, 9)) and len({s for p in places.values() for s in p}) > 20
    village, _ = play(day, "quiet", 1)
    assert losses(village.facts())[1].keys() <= set(CONFIG.volume)


def test_a_plan_from_the_command_line_and_its_bad_input(tmp_path: Path) -> None:
    day = tmp_path / "short.conf"
    day.write_text(f"include {(DAYS_FOLDER / '_archive.conf').resolve()}\nday short {{\n length 5s\n}}\n")
    assert run_command("lab", "day", str(day), "--virtual", "--quiet", "--records", str(tmp_path / "r")).returncode == 0
    captures = sorted(str(p) for p in (tmp_path / "r").glob("*.capture"))
    done = run_command("plan", *captures, "--fleet", str(day), "--json", "--quiet", "--formulas")
    told = json.loads(done.stdout)
    assert done.returncode == 0 and told["first_limit"]["at_multiple"] > 1.0
    assert {"name", "where", "at_multiple", "low", "high"} <= told["first_limit"].keys()
    assert {"shelfs", "heads", "service", "low", "high"} <= told["needed"].keys()
    for words, said in (
        (["--goal", "1.5"], "a goal of 1.5"),
        (["--lose-zone", "z9"], "zone 'z9' is not in the fleet"),
    ):
        done = run_command("plan", *captures, "--fleet", str(day), "--quiet", *words)
        assert done.returncode == 2 and said in done.stderr and "Traceback" not in done.stderr
    (tmp_path / "bad.capture").write_bytes(b"no")
    done = run_command("plan", str(tmp_path / "bad.capture"), "--fleet", str(day))
    assert done.returncode == 2 and "is no capture" in done.stderr
    made = run_command("lab", "report", str(tmp_path / "r"), "-o", str(tmp_path / "r.html"))
    page = (tmp_path / "r.html").read_text()
    assert made.returncode == 0 and page.count("data:image/svg+xml") == 2 and "http" not in page.partition("svg")[0]
