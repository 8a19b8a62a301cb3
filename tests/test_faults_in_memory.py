"""Fault scripts in virtual time: the effect of each fault, rules that hold under random scripts, and detection of a
gateway that breaks a rule under faults."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from test_rule_violations import VIOLATIONS, config_for_rule

from pebblehinge.gateway import GatewayCore
from pebblehinge.lab.faults.draw import draw, participants_of
from pebblehinge.lab.faults.script import Fault, read
from pebblehinge.lab.link_fault_history import LinkFaultHistory
from pebblehinge.lab.simulated_fleet import SimulatedFleet, play
from pebblehinge.settings import Config, load
from pebblehinge.settings.load import loads

STRUCK = load(Path("pebblehinge/lab/days/struck.conf"))
CAST = participants_of(STRUCK)


def day(
    script: str | list[Fault], seed: int = 1, config: Config = STRUCK, **more: Any
) -> tuple[SimulatedFleet, dict[str, Any]]:
    rows = read(script, participants_of(config).names) if isinstance(script, str) else script
    return play(config, next(iter(config.day)), seed, script=rows, **more)


def verdicts(village: SimulatedFleet) -> dict[str, str]:
    return {rule: v.offence for rule, v in village.facts().check_rules().items() if not v.kept}


def answered(village: SimulatedFleet, head: str, begin: float, end: float) -> int:
    """How many requests a head succeeded within a part of the day, ms from its beginning."""
    facts = village.facts()
    return sum(
        a.op["head"] == head and final == "honoured" and begin <= t - facts.begin < end
        for a in facts.tries.values()
        for t, final, _ in a.answers
    )


@pytest.mark.parametrize("seed", range(8))
def test_all_rules_hold_under_a_random_script(seed: int) -> None:
    village, known = day(draw(CAST, seed, 12_000.0, 6), seed)
    assert not verdicts(village) and known["faults"] == []
    assert known["script"]["scripted"] == 6 and known["script"]["struck"] >= 2


def test_the_same_script_and_seed_produce_the_same_records() -> None:
    left = [day(draw(CAST, 4, 12_000.0, 8), 4)[0].record_logs for _ in range(2)]
    assert {n: m.rows for n, m in left[0].items()} == {n: m.rows for n, m in left[1].items()}
    assert sum(len(m.rows) for m in left[0].values()) > 5_000


def test_a_cut_node_answers_nothing_until_the_link_heals_and_the_fault_is_recorded() -> None:
    everyone = "h1 h2 h3 h4 h5"
    village, known = day(f"at 3s cut {everyone} from s1 for 4s\n")
    facts = village.facts()
    said = [
        g.said - facts.begin for attempts in facts.attempts.values() for g in attempts if g.shelf == "s1" and g.said
    ]
    got = [g.t - facts.begin for attempts in facts.attempts.values() for g in attempts if g.shelf == "s1"]
    assert not any(3_010 < t < 7_000 for t in got) and any(7_000 < t < 9_000 for t in got)
    assert min(said) < 3_000 and known["script"]["idle"] == []
    assert facts.ways.may_have_been_held("h1", "s1", 5_000 + facts.begin, 5_000 + facts.begin)
    assert not facts.ways.may_have_been_held("h1", "s2", 5_000 + facts.begin, 5_000 + facts.begin)


def test_a_frozen_gateway_answers_nothing_and_a_killed_one_restarts_from_its_folder() -> None:
    """The folder holds what the gateway learned about nodes, saved periodically (`memory` in the settings)."""
    script = """at 3s freeze h1 for 2s
                at 8s kill h2 for 500ms
                at 8s kill h3 for 500ms old 7900ms
                at 8s kill h4 for 500ms empty"""
    learned: dict[str, list[int]] = {}

    class Watches(GatewayCore):
        def start(self, now: float) -> None:
            learned.setdefault(self.gateway_settings.listen, []).append(len(self.scheduler.nodes.restored_nodes))
            super().start(now)

    village, known = day(script, gateway_core=Watches)
    assert known["script"]["struck"] == 4 and not verdicts(village)
    assert answered(village, "h1", 3_050.0, 4_950.0) == 0 < answered(village, "h1", 5_000.0, 9_000.0)
    counts = {name: learned[STRUCK.head[name].listen] for name in ("h1", "h2", "h3", "h4")}
    assert counts["h1"] == [0] and counts["h4"] == [0, 0] and counts["h3"] == [0, 0]
    assert counts["h2"] == [0, len(STRUCK.shelf)]


def test_overlapping_kills_end_with_the_last_and_active_faults_apply_to_a_new_process() -> None:
    script = """at 2s kill h1 for 1s
                at 2500ms kill h1 for 3s
                at 3s drift h1 by 0.2% for 5s"""
    village, known = day(script)
    rows = [(r["e"], round(r["t"] - village.facts().begin)) for r in village.records.rows if r.get("name") == "h1"]
    assert rows == [("killed", 2_000), ("started", 5_500)]
    assert village.nodes["h1"].rate == 1.0 and village.nodes["h1"].rate_began > 0.0  # drift applied, then ended
    assert known["faults"] == []


def test_a_client_detects_a_half_open_connection() -> None:
    """Guards against a client without keepalive: after 'at 3381ms half-open load1 from h3' every request on that
    connection timed out to the end of the day, 120 of 1,229."""
    village, _ = day("at 3s half-open load1 from h3\n")
    assert not verdicts(village)
    assert answered(village, "h3", 3_100.0, 4_500.0) == 0 < answered(village, "h3", 5_500.0, 12_000.0)


def test_a_full_or_failing_disk_costs_a_gateway_only_its_snapshots() -> None:
    village, known = day("at 2s disk-full h1 for 3s\nat 6s disk-fail h2 for 3s\n")
    assert not verdicts(village) and known["faults"] == []
    for name in ("h1", "h2"):
        assert answered(village, name, 2_000.0, 9_000.0) > 50


def test_a_slow_disk_does_not_delay_a_gateways_requests() -> None:
    """Guards against disk writes in the event loop: random script 192, 'disk-slow h2 by 378ms', cut connections."""

    def mean(script: str) -> float:
        village, known = day(script)
        assert not verdicts(village) and known["faults"] == []
        facts = village.facts()
        took = [
            t - a.sent
            for a in facts.tries.values()
            for t, final, _ in a.answers
            if final == "honoured" and a.op["head"] == "h1"
        ]
        return sum(took) / len(took)

    usual = mean("at 2s wall h1 by 1s for 1s\n")
    assert mean("at 2s disk-slow h1 by 400ms for 9s\n") < usual + 10.0


@pytest.mark.parametrize("case", VIOLATIONS)
def test_a_gateway_that_breaks_a_rule_is_detected_under_faults(case: str) -> None:
    """What a checker excuses on faulty links must not hide a missing safeguard."""
    rule, at, core, alter = VIOLATIONS[case]
    at, base = config_for_rule(rule, at)
    config = loads(f"{base}\nlimits {{\nkeepalive 500ms\n}}\nday d {{\nlength 8s\n{at}}}\n")
    script = read(
        "at 2s delay h1 to s2 by 200ms for 1s\nat 3s silent s3 to h1 for 1s\nat 5s half-open h2 from s4\n",
        participants_of(config).names,
    )
    found = verdicts(day(script, 3, config, gateway_core=core, gateway_config=alter(config) if alter else None)[0])
    assert rule in found, f"{case}: {found}"
    assert not verdicts(day(script, 3, config)[0])
    assert "resets" in at or rule not in ("no_double_effect", "budget")


def test_link_faults_are_read_from_the_labs_rows() -> None:
    history = LinkFaultHistory()
    for t, held in ((100.0, True), (200.0, True), (300.0, False), (900.0, True)):
        history.note({"e": "way", "a": "x", "b": "y", "t": t, "held": held})
    history.note({"e": "cut off", "a": "x", "b": "z", "t": 500.0})
    assert history.may_have_been_held("x", "y", 150.0, 150.0)
    assert history.may_have_been_held("x", "y", 390.0, 400.0)  # held-back data arrives a little later
    assert not history.may_have_been_held("x", "y", 450.0, 800.0) and not history.may_have_been_held(
        "y", "x", 150.0, 150.0
    )
    assert history.may_have_been_held("x", "y", 5_000.0, 5_000.0)  # the fault has not ended
    assert history.may_have_failed("z", "x", 700.0, 250.0) and not history.may_have_failed("z", "x", 800.0, 250.0)
    assert history.may_have_failed("y", "x", 150.0, 0.0)
