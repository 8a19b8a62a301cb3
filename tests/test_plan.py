"""Captures, their replay, and the planner: its reasoning against made-up trials, its reading against odd captures."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest
from test_lab import DAYS, command

from pebblehinge.capture import Capture, CaptureError, CaptureWriter, Row
from pebblehinge.capture.files import parse_capture
from pebblehinge.lab import search
from pebblehinge.lab.replay import Replay, merge
from pebblehinge.lab.trials import fleet_of, lay_out, losses, play_trial, world_of
from pebblehinge.lab.village import play
from pebblehinge.plan import PlanError, Planner, Trial, TrialResult
from pebblehinge.plan.bottleneck import blame
from pebblehinge.plan.demand import demand_of, fit_speed, window_of
from pebblehinge.plan.formulas import erlang_c, estimate, limit_parts, slots_of
from pebblehinge.plan.limits import other_limits
from pebblehinge.settings import Config, load

CONFIG = load(DAYS / "quiet.conf")
VOLUMES = list(CONFIG.volume)


def row(t: float, **more: Any) -> Row:
    usual: dict[str, Any] = dict(
        t=t, volume="premium-1", plan="premium", profile="doc-read", extent=f"e{t}", slot=0, units=2.0, write=False,
        again=False, bytes=100, final=0, took_ms=30.0, trip_ms=28.0, trips=1,
    )  # fmt: skip
    return Row(**{**usual, **more})


def rows_of(count: int, seconds: float = 10.0, **more: Any) -> list[tuple[float, str, Row]]:
    rng = np.random.default_rng(1)
    times = np.sort(rng.uniform(0, seconds * 1000.0, count))
    return [(float(t), "h1", row(float(t), slot=i % 8, volume=VOLUMES[i % 20], plan=VOLUMES[i % 20].partition("-")[0],
                                 **more)) for i, t in enumerate(times)]  # fmt: skip


# ---- captures


def written(*rows: Row, wall: float = 5000.0) -> bytes:
    out = bytearray()
    writer = CaptureWriter(out.extend, "h1", wall, 100.0)
    for r in rows:
        writer.add(r.t + 100.0, *msgspec.structs.astuple(r)[1:])
        writer.flush()
    return bytes(out)


def test_a_capture_reads_back_and_is_read_up_to_a_cut_or_to_damage() -> None:
    rows = [row(1.0), row(2.0), row(3.0)]
    data = written(*rows)
    whole = parse_capture(data)
    assert (whole.head, whole.wall_ms, whole.rows, whole.cut) == ("h1", 5000.0, rows, "")
    cut = parse_capture(data[:-5])
    assert cut.rows == rows[:2] and "cut off" in cut.cut
    damaged = bytearray(data)
    damaged[-3] ^= 1
    hurt = parse_capture(bytes(damaged))
    assert hurt.rows == rows[:2] and "is damaged" in hurt.cut
    with pytest.raises(CaptureError, match="version 9: version 1 is read"):
        parse_capture(data[:8] + b"\x00\x09" + data[10:])
    with pytest.raises(CaptureError, match="is no capture"):
        parse_capture(b"rubbish")
    with pytest.raises(CaptureError, match="holds no heading"):
        parse_capture(data[:14])


def test_a_full_disk_ends_the_capture_and_not_the_head() -> None:
    failed: list[OSError] = []
    written_bytes: list[bytes] = []

    def sink(data: bytes) -> None:
        if written_bytes:
            raise OSError(28, "No space left on device")
        written_bytes.append(data)

    writer = CaptureWriter(sink, "h1", 0.0, 0.0, failed.append)
    for _ in range(3):
        writer.add(*msgspec.structs.astuple(row(1.0)))
        writer.flush()
    assert len(failed) == 1 and not writer.on and writer.rows == []


def test_captures_of_several_heads_stand_on_one_line_without_second_tries() -> None:
    first = Capture("h1", 1000.0, 77.0, [row(0.0), row(50.0, again=True)])
    second = Capture("h2", 900.0, 5.0, [row(20.0), row(60_000.0)], cut="the block at byte 9 is damaged")
    merged, notes = merge([first, second])
    assert [(at, head) for at, head, _ in merged] == [(0.0, "h2"), (80.0, "h1"), (59_980.0, "h2")]
    assert "h2: the block at byte 9 is damaged" in notes[0] and "a gap of 59.9 s" in notes[1]


def test_load_is_replayed_grown_thinned_and_faster() -> None:
    rows = rows_of(3000)
    same = list(Replay(CONFIG, rows, 1).runs())
    assert [a.at_ms for a in same] == [at for at, _, _ in rows] and {a.head for a in same} == {"h1"}
    for multiple in (0.3, 1.7, 2.5):
        assert len(list(Replay(CONFIG, rows, 1, multiple).runs())) == pytest.approx(3000 * multiple, rel=0.06)
    grown = list(Replay(CONFIG, rows, 1, 2.0).runs())
    assert max(a.at_ms for a in grown) <= rows[-1][0] and {a.head for a in grown} <= set(CONFIG.head)
    fast = list(Replay(CONFIG, rows, 1, speed=4.0).runs())
    assert fast[-1].at_ms == pytest.approx(rows[-1][0] / 4.0)


# ---- reading


def test_what_does_not_fit_the_fleet_is_refused_in_one_line() -> None:
    with pytest.raises(PlanError, match="40 accesses are captured"):
        demand_of(rows_of(40), CONFIG)
    with pytest.raises(PlanError, match="slot 99"):
        demand_of([*rows_of(100), (9e9, "h1", row(1.0, slot=99))], CONFIG)
    with pytest.raises(PlanError, match="volume 'nobody', which"):
        demand_of([*rows_of(100), (9e9, "h1", row(1.0, volume="nobody"))], CONFIG)
    demand = demand_of(rows_of(100), CONFIG)
    assert any("are few" in note for note in window_of(demand, 0.0, 10_000.0))
    for goal in (0.0, 1.0, 7.0):
        with pytest.raises(PlanError, match="expected a service between 0 and 1"):
            Planner(demand, CONFIG, goal)


def test_refused_load_counts_and_the_busiest_window_is_the_case() -> None:
    rows = rows_of(500, 60.0, final=1, trips=0, trip_ms=0.0)
    rows += [(30_000.0 + i, "h1", row(0.0, final=1, trips=0, trip_ms=0.0)) for i in range(900)]
    rows.sort(key=lambda r: r[0])
    demand = demand_of(rows, CONFIG)
    begin, end = demand.busiest(10)
    assert begin <= 30_000.0 < end and len(demand.at) == 1400
    notes = window_of(demand, begin, end)
    assert "the mean" in notes[0] and any("spike" in n or "few" in n for n in notes)


def test_speeds_come_from_quick_trips_and_lean_on_the_kind_where_they_are_few() -> None:
    rng = np.random.default_rng(3)
    kind = CONFIG.kind["fast"]
    rows = rows_of(2000)
    made = []
    for at, head, r in rows:
        work = r.units * kind.unit_work * rng.uniform(0.8, 1.2)
        waits = rng.exponential(20.0) if rng.random() < 0.5 else 0.0
        made.append((at, head, msgspec.structs.replace(r, trip_ms=work / 1.5 + waits + 0.3)))
    speed, doubt = fit_speed(demand_of(made, CONFIG), CONFIG)[0]
    assert speed == pytest.approx(1.5, rel=0.04) and doubt < 0.05
    few, wide = fit_speed(demand_of(rows_of(62, final=1), CONFIG), CONFIG)[0]
    assert few == pytest.approx(sum(kind.speed) / 2) and wide >= 0.05


# ---- formulas


def test_formulas_hold_where_they_are_known() -> None:
    assert erlang_c(1, 0.5) == pytest.approx(0.5) and erlang_c(2, 1.0) == pytest.approx(1 / 3)
    demand = demand_of(rows_of(4000), CONFIG)
    slots = slots_of(CONFIG, fit_speed(demand, CONFIG))
    services = [estimate(demand, CONFIG, slots, m).service for m in (0.3, 1.0, 3.0, 9.0)]
    assert services == sorted(services, reverse=True) and services[0] > 0.98 and services[-1] < 0.6
    gone = estimate(demand, CONFIG, slots, 0.3, frozenset({0, 1}))
    assert gone.service == pytest.approx(services[0] * 6 / 8, abs=0.03)
    names = [x.name for x in other_limits(demand, CONFIG, slots, 5.0)]
    assert names[0] == "head CPU" and {"reserves", "streams", "queue", "slot bound", "accesses"} <= set(names)


def test_a_limit_lets_its_rate_and_burst_through() -> None:
    rows = [(i * 10.0, "h1", row(i * 10.0, volume="basico-1", plan="basico", slot=i % 8)) for i in range(1000)]
    let = limit_parts(demand_of(rows, CONFIG), CONFIG, 1.0)  # 200 units a second; 50 allowed, 75 at once
    assert let[5] == pytest.approx(0.39, abs=0.06) and let[-1] == pytest.approx(0.25, abs=0.02)


# ---- reasoning


def imagine(planner: Planner, serve: Any, most: int = 10_000) -> dict[str, Any]:
    """Answers the planner's trials from a made-up world."""
    played = 0
    while (batch := planner.ask()) and played < most:
        planner.told([serve(t) for t in batch])
        played += len(batch)
    return planner.answer()


def result(trial: Trial, service: float, shelf: dict | None = None, limit: dict | None = None) -> TrialResult:
    return TrialResult(trial, service, {"premium": service}, shelf or {}, limit or {}, service / 2, service * 0.9)


def test_the_crossing_and_the_shelfs_needed_are_found_wherever_they_lie() -> None:
    demand = demand_of(rows_of(3000), CONFIG)
    for real in (0.4, 1.0, 2.2, 6.0):

        def serve(t: Trial, real: float = real) -> TrialResult:
            power = real * (t.shelfs or 8) / 8
            chance = (t.seed % 3 - 1) * 0.002
            over = max(0.0, t.multiple / power - 1.0)
            return result(t, min(1.0, 0.95 - 0.4 * over + chance + (0.04 if over == 0 else 0)), {"s1": over / 8})

        told = imagine(Planner(demand, CONFIG, 0.95, growth=1.5), serve)
        assert told["first_limit"]["at_multiple"] == pytest.approx(real, rel=0.06), real
        assert told["first_limit"]["low"] <= real * 1.02 and told["first_limit"]["high"] >= real * 0.98
        assert told["needed"]["shelfs"] == pytest.approx(8 * 1.5 / real, rel=0.1, abs=1.0)
        assert {x["what"] for x in told["losses"]} == {"rack a", "rack b", "s1", "h1"}


def test_the_limit_is_named_by_where_it_takes_from() -> None:
    even = {f"s{i}": 0.01 for i in range(8)}
    assert blame(even, {}, 8, 1.0)[0] == "shelf time"
    assert blame({**even, "s3": 0.2}, {}, 8, 1.0)[:2] == ("hot shelf", "s3")
    assert blame({**even, "s3": 0.09, "s4": 0.1}, {}, 8, 1.0)[0] == "hot shelf"  # one hot volume on two shelfs
    assert blame(even, {"basico-1": 0.3}, 8, 1.0)[:2] == ("plan limit", "basico-1")


def test_a_goal_that_no_shelfs_meet_is_said_with_its_reason() -> None:
    demand = demand_of(rows_of(3000), CONFIG)
    told = imagine(Planner(demand, CONFIG, 0.99), lambda t: result(t, 0.9, {}, {"basico-1": 0.1}))
    assert told["needed"]["shelfs"] is None and "plans' limits alone" in told["needed"]["reason"]
    assert any("no number of shelfs" in note for note in told["notes"])
    assert told["first_limit"]["name"] == "plan limit" and "more shelfs change nothing" in told["next_step"]


def test_an_interrupted_plan_answers_with_what_is_known() -> None:
    demand = demand_of(rows_of(3000), CONFIG)
    none = Planner(demand, CONFIG).answer()
    assert any("formulas' alone" in n for n in none["notes"]) and none["needed"]["shelfs"] >= 1
    some = imagine(Planner(demand, CONFIG), lambda t: result(t, 0.97 if t.multiple < 1 else 0.5, {"s1": 0.1}), 3)
    assert some["trials"] >= 3 and some["first_limit"]["low"] < some["first_limit"]["high"]


def test_reserves_promised_over_what_is_there_are_told() -> None:
    config = msgspec.structs.replace(CONFIG, plan={k: msgspec.structs.replace(p, reserve=p.reserve * 20)
                                                   for k, p in CONFIG.plan.items()})  # fmt: skip
    demand = demand_of(rows_of(3000), config)
    limits = other_limits(demand, config, slots_of(config, fit_speed(demand, config)), 0.1)
    assert next(x for x in limits if x.name == "reserves").at_multiple < 1.0


# ---- trials


def captured(config: Config, day: str) -> list[tuple[float, str, Row]]:
    village, _ = play(config, day, 1)
    return merge([parse_capture(bytes(data)) for data in village.captures.values()])[0]


def test_a_trial_of_what_was_captured_shows_what_the_day_showed() -> None:
    day = msgspec.structs.replace(CONFIG, day={"quiet": msgspec.structs.replace(CONFIG.day["quiet"], length=6000.0)})
    rows = captured(day, "quiet")
    world = world_of(CONFIG, rows, 0.0, 6000.0)
    once, heavy = play_trial(world, Trial(1.0, 5)), play_trial(world, Trial(4.0, 5))
    assert once.service > 0.96 and heavy.service < 0.7
    assert sum(heavy.lost_by_shelf.values()) + sum(heavy.lost_by_limit.values()) == pytest.approx(
        1.0 - heavy.service, abs=0.01
    )
    more = play_trial(world, Trial(4.0, 5, 24))
    assert more.service > heavy.service + 0.2
    lost = play_trial(world, Trial(1.0, 5, None, "rack a"))
    assert lost.during < 0.7 and lost.service < once.service
    assert play_trial(world, Trial(1.0, 5)) == once
    places = lay_out(world, fleet_of(CONFIG, 24))
    assert {len(p) for v, p in places.items()} <= set(range(1, 9)) and len({s for p in places.values() for s in p}) > 20
    village, _ = play(day, "quiet", 1)
    assert losses(village.facts())[1].keys() <= set(CONFIG.volume)


def test_a_plan_from_the_command_line_and_its_bad_input(tmp_path: Path) -> None:
    day = tmp_path / "short.conf"
    day.write_text(f"include {(DAYS / '_archive.conf').resolve()}\nday short {{\n length 5s\n}}\n")
    assert command("lab", "day", str(day), "--virtual", "--quiet", "--records", str(tmp_path / "r")).returncode == 0
    captures = sorted(str(p) for p in (tmp_path / "r").glob("*.capture"))
    done = command("plan", *captures, "--fleet", str(day), "--json", "--quiet", "--formulas")
    told = json.loads(done.stdout)
    assert done.returncode == 0 and told["first_limit"]["at_multiple"] > 1.0
    assert {"name", "where", "at_multiple", "low", "high"} <= told["first_limit"].keys()
    assert {"shelfs", "heads", "service", "low", "high"} <= told["needed"].keys()
    for words, said in (
        (["--goal", "1.5"], "a goal of 1.5"),
        (["--lose-zone", "z9"], "zone 'z9' is not in the fleet"),
    ):
        done = command("plan", *captures, "--fleet", str(day), "--quiet", *words)
        assert done.returncode == 2 and said in done.stderr and "Traceback" not in done.stderr
    (tmp_path / "bad.capture").write_bytes(b"no")
    done = command("plan", str(tmp_path / "bad.capture"), "--fleet", str(day))
    assert done.returncode == 2 and "is no capture" in done.stderr
    made = command("lab", "report", str(tmp_path / "r"), "-o", str(tmp_path / "r.html"))
    page = (tmp_path / "r.html").read_text()
    assert made.returncode == 0 and page.count("data:image/svg+xml") == 2 and "http" not in page.partition("svg")[0]


# ---- search


def test_search_draws_the_same_days_and_shrinks_to_what_matters() -> None:
    config = load(DAYS / "ledger.conf")
    assert search.draw(config, 4, 9000.0) == search.draw(config, 4, 9000.0)
    drawn = [search.draw(config, seed, 9000.0) for seed in range(30)]
    assert len({t.name for troubles in drawn for t in troubles}) > 15
    worst = search.Find(1, [*search.draw(config, 3, 9000.0)], 0.0, ["order"])

    def played(config: Config, troubles: list, seed: int, length: float) -> search.Find:
        broken = ["order"] if any(t.name == worst.troubles[-1].name for t in troubles) else []
        return search.Find(seed, troubles, 0.5, broken)

    real, search.attempt = search.attempt, played
    try:
        small = search.shrink(config, worst, 9000.0, 0.0, lambda line: None)
    finally:
        search.attempt = real
    assert {t.name for t in small.troubles} == {worst.troubles[-1].name}
