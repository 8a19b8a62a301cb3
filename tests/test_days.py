"""Days of the laboratory: the shipped ones, their scripts, their load, what clients send again."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from command_line import DAYS_FOLDER, run_command

from pebblehinge.client import Result, RetryPolicy
from pebblehinge.lab.days import DayError, timeline
from pebblehinge.lab.load import Draw
from pebblehinge.lab.simulated_fleet import play
from pebblehinge.lab.verdict import all_checks_pass, summary
from pebblehinge.settings import load

SHIPPED = sorted(p.stem for p in DAYS_FOLDER.glob("[!_]*.conf"))


PLAYED = [name for name in SHIPPED if name != "rsync-tender"]  # a part of that one is played below


@pytest.mark.parametrize("name", PLAYED)
def test_every_shipped_day_keeps_all_rules_in_virtual_time(name: str) -> None:
    config = load(DAYS_FOLDER / f"{name}.conf")
    village, known = play(config, name, 11)
    told = summary(village.facts(), name, 11, {"faults": known["faults"]})
    assert all_checks_pass(told), told["rules"]
    assert known["faults"] == [] and told["service"] >= max(0.5, config.day[name].goal)
    assert sum(told["answers"].values()) >= told["accesses"] > 1000


FINDS = sorted(Path("tests/days").glob("*.conf"))


@pytest.mark.parametrize("path", FINDS, ids=lambda p: p.stem)
@pytest.mark.parametrize("seed", [9, 51])
def test_days_that_search_found_keep_all_rules_now(path: Path, seed: int) -> None:
    config = load(path)
    name = next(iter(config.day))
    village, known = play(config, name, seed)
    told = summary(village.facts(), name, seed, {"faults": known["faults"]})
    assert all_checks_pass(told), told["rules"]
    assert known["faults"] == [] and told["service"] > (0.85 if path.stem == "half-open" else 0.7)


def test_same_seed_same_records_under_any_hash_seed(tmp_path: Path) -> None:
    kept_bytes = []
    for seed in ("1", "77"):
        folder = tmp_path / seed
        done = run_command(
            "lab",
            "day",
            "ledger",
            "--virtual",
            "--quiet",
            "--records",
            str(folder),
            "--seed",
            "5",
            env={**os.environ, "PYTHONHASHSEED": seed},
        )
        assert done.returncode == 0, done.stdout + done.stderr
        kept_bytes.append({p.name: p.read_bytes() for p in sorted(folder.iterdir())})
    assert kept_bytes[0] == kept_bytes[1] and len(kept_bytes[0]) > 10
    again = run_command("lab", "check", str(tmp_path / "1"), "--json")
    assert again.returncode == 0 and all(r["kept"] for r in json.loads(again.stdout)["rules"].values())


def test_a_small_day_on_sockets_keeps_all_rules(tmp_path: Path) -> None:
    day = tmp_path / "small.conf"
    day.write_text(
        f"include {(DAYS_FOLDER / '_archive.conf').resolve()}\n"
        "day small {\n length 6s\n settle 1500ms\n at 1s crash s2 for 1s\n at 2s head-crash h1 for 1s\n"
        " at 3s head-stop h2 for 1s\n at 4s head-freeze h3 for 300ms\n at 2s release s3 for 2s\n}\n"
    )
    done = run_command("lab", "day", str(day), "--json", "--quiet", "--records", str(tmp_path / "r"))
    told = json.loads(done.stdout)
    assert done.returncode == 0 and all_checks_pass(told), told
    assert told["faults"] == [] and told["accesses"] > 500 and told["service"] > 0.5
    assert set(told["rules"]) == {"final_answer", "no_double_effect", "drains", "cold", "limits", "order", "budget"}
    second = run_command("lab", "day", str(day), "--records", str(tmp_path / "r"))
    assert second.returncode == 2 and "holds records of another day" in second.stderr


def test_targets_are_names_racks_shares_and_all() -> None:
    config = load(DAYS_FOLDER / "rack-restart.conf")
    steps = timeline(config, "rack-restart", 1)
    assert {s.target for s in steps if s.trouble == "mass-restart#0"} == {"s2", "s4", "s6", "s8"}
    assert [s.at_ms for s in steps] == sorted(s.at_ms for s in steps)
    config.day["rack-restart"].at[0].target = ["rack", "z"]
    with pytest.raises(DayError, match="no shelf stands in rack 'z'"):
        timeline(config, "rack-restart", 1)


def test_load_is_the_same_for_a_seed_and_reacts_to_its_troubles() -> None:
    config = load(DAYS_FOLDER / "flood.conf")
    runs = list(Draw(config, "flood", 4).runs())
    again = list(Draw(config, "flood", 4).runs())
    assert [(r.at_ms, r.extent) for r in runs] == [(r.at_ms, r.extent) for r in again]
    assert [r.at_ms for r in runs] == sorted(r.at_ms for r in runs)

    def rate(begin: float, end: float) -> float:
        return sum(len(r.units) for r in runs if begin <= r.at_ms < end) / (end - begin)

    assert rate(3000, 9000) > 1.5 * rate(0, 3000)
    assert sum(r.extent.startswith("scan-") for r in runs) > 100
    halves = [list(Draw(config, "flood", 4, part, 2).runs()) for part in (0, 1)]
    assert {r.volume for r in halves[0] if "scan" not in r.extent} != {r.volume for r in halves[1]}


def test_clients_try_again_only_where_it_is_harmless() -> None:
    lost, back, ended = Result("lost"), Result("pushed back", stay_ms=300.0), Result("terminated")
    save, look = RetryPolicy(1, 100.0, "irreversible"), RetryPolicy(1, 100.0, "redoable")
    assert save.next_ms(1, lost, 1000.0, 0.5) is None and save.next_ms(1, ended, 1000.0, 0.5) is None
    assert save.next_ms(1, back, 1000.0, 0.5) == 300.0
    assert look.next_ms(1, lost, 1000.0, 0.5) == 100.0 and look.next_ms(2, lost, 1000.0, 0.5) is None
    assert look.next_ms(1, back, 200.0, 0.5) is None  # no patience left by then
