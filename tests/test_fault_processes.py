"""A fleet of unmodified processes with a group, under a fault script."""

from __future__ import annotations

import json
from pathlib import Path

from command_line import run_command

from pebblehinge.event_log import read_events
from pebblehinge.lab.check import DayFacts
from pebblehinge.lab.verdict import all_checks_pass
from pebblehinge.settings import load

SCRIPT = """
at 500ms drift h4 g3 by 0.1% for 8s
at 1s cut g1 g2 g3 from h1 h2 h3 h4 h5 for 3s
at 1500ms half-open load1 from h2
at 2s delay h3 to s2 by 150ms for 2s
at 2s slow s1 to h4 by 64KiB for 2s
at 2500ms silent listing to h5 for 2s
at 3s kill h1 for 1s
at 3500ms kill h2 for 1s old 3s
at 4s kill h3 for 1s empty
at 4s freeze h4 for 1s
at 5s reset h5 from s3
at 5s disk-fail g2 for 1s
at 5s disk-slow h5 by 30ms for 2s
at 5s wall h1 by -10s for 2s
at 6s kill s4 for 1s
"""


def test_a_fleet_of_processes_keeps_all_rules_and_every_fault_has_an_effect(tmp_path: Path) -> None:
    script, records = tmp_path / "script", tmp_path / "records"
    script.write_text(SCRIPT)
    done = run_command("lab", "day", "struck", "--faults", str(script), "--records", str(records), "--json", "--quiet")
    assert done.stdout, done.stderr
    told = json.loads(done.stdout)
    assert all_checks_pass(told), told["rules"]
    assert told["faults"] == [] and told["service"] > 0.3, told
    assert told["scripted"] == told["struck"] == 15, told["idle"]
    rows = list(read_events(records / "lab.jsonl"))
    lives = [(r["e"], r["name"]) for r in rows if r["e"] in ("killed", "started")]
    struck = [(e, n) for n in ("h1", "h2", "h3", "s4") for e in ("killed", "started")]
    assert sorted(lives) == sorted([*struck, ("started", "g2")])
    # The member whose disk failed logged that, exited, and was restarted when the disk worked again.
    assert "storage failed" in (records / "processes.log").read_text()
    facts = DayFacts.read(records, load(str(records / "day.conf")))
    assert facts.ways.may_have_been_held("g1", "h1", facts.begin + 2_000.0, facts.begin + 2_000.0)
    copies = records / "copies" / "h2"
    assert [p.name for p in copies.iterdir()] == ["3500-3000"] and not (records / "copies" / "h3").exists()
    for name in ("h1", "h2", "h3"):  # it restarted and served requests
        ups = [r["t"] for r in read_events(records / f"head-{name}.jsonl") if r["e"] == "up"]
        assert len(ups) == 2
        after = [
            t
            for a in facts.tries.values()
            if a.op["head"] == name
            for t, final, _ in a.answers
            if final == "honoured" and t > ups[1]
        ]
        assert len(after) > 20, name


def test_an_invalid_script_ends_with_one_line_per_error(tmp_path: Path) -> None:
    script = tmp_path / "script"
    script.write_text("at 1s cut h1 from h9 for 1s\nat 1s\n")
    done = run_command("lab", "day", "struck", "--faults", str(script), "--quiet")
    assert done.returncode == 2 and done.stdout == ""
    assert done.stderr.splitlines() == [
        f"pebblehinge: {script}:1:19: 'h9': expected a name of the fleet",
        f"{script}:2:6: the end: expected a kind of fault",
    ]
    assert run_command("lab", "day", "struck", "--faults", str(tmp_path / "none"), "--quiet").returncode == 2
