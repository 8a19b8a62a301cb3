"""docs/CAPACITY.md says what its data file says: every figure of its tables and its plot comes out the same anew."""

from __future__ import annotations

import copy
import json
import re
import sys
from pathlib import Path
from typing import Any
from xml.etree import ElementTree

import pytest

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "benchmarks"))

from capacity_fits import DATA, Data, DataError, least_squares, take  # noqa: E402
from capacity_missing import passed_at  # noqa: E402
from capacity_page import MARKED, PAGE, PLOT, written  # noqa: E402
from capacity_plot import plot  # noqa: E402
from capacity_scale import broken, whole  # noqa: E402
from caps import CAPS  # noqa: E402

from pebblehinge.replicated_config.state_machine import MAX_VERSIONS  # noqa: E402
from pebblehinge.service.connection_registry import ConnectionRegistry  # noqa: E402
from pebblehinge.settings.schema import GroupBlock, LimitsBlock  # noqa: E402

MEASURED = re.compile(r"(?<![\w.])\d[\d.,]*\s?(?:µs|ms|KB/s|MB/s|KB|MB|GB|KiB|MiB|frames)\b")


def raw() -> dict[str, Any]:
    return json.loads(DATA.read_text())


def differences(page: str, data: Data) -> list[str]:
    """Lines of the page that are not what the data gives."""
    wanted = written(data, page).splitlines()
    return [f"{a!r} should be {b!r}" for a, b in zip(page.splitlines(), wanted, strict=False) if a != b] + (
        [] if len(wanted) == len(page.splitlines()) else ["the tables have other rows"]
    )


def test_every_table_of_the_page_comes_from_the_data() -> None:
    assert differences(PAGE.read_text(), Data.load()) == []


def test_the_plot_comes_from_the_data() -> None:
    data = Data.load()
    assert PLOT.read_text() == plot(data)
    drawn = ElementTree.parse(PLOT).getroot()
    circles = drawn.findall(".//{http://www.w3.org/2000/svg}circle")
    fits = [fit for fit in data.fits.values() if fit.form != "constant"]
    assert len(circles) == sum(len(fit.points) for fit in fits)
    wide, high = map(float, drawn.attrib["viewBox"].split()[2:])
    assert all(0 < float(c.attrib["cx"]) < wide and 0 < float(c.attrib["cy"]) < high for c in circles)


def test_a_changed_digit_is_seen() -> None:
    page, data = PAGE.read_text(), Data.load()
    for found in MARKED.finditer(page):
        digits = [m for m in re.finditer(r"\d", found[0]) if m.start() > len(found[1])]
        for digit in digits[:: max(1, len(digits) // 5)]:
            at = found.start() + digit.start()
            changed = page[:at] + str((int(page[at]) + 1) % 10) + page[at + 1 :]
            assert differences(changed, data), (found[2], digit)


def test_another_point_changes_the_page() -> None:
    held = raw()
    name = next(iter(held["fits"]))
    fit = held["fits"][name]
    for point in held["runs"][fit["run"].split(" + ")[0]]["points"]:
        if fit["y"] in point["y"]:
            point["y"][fit["y"]] *= 1.5
    assert differences(PAGE.read_text(), Data(held))
    assert plot(Data(held)) != PLOT.read_text()


@pytest.mark.parametrize("key", ["command", "commit", "date", "kind", "points"])
def test_a_run_without_its_origin_is_refused(key: str) -> None:
    for name in raw()["runs"]:
        held = raw()
        del held["runs"][name][key]
        with pytest.raises(DataError, match=f"run {re.escape(name)}: (no )?{key}"):
            Data(held)
    fragment = {
        "run": {"id": "a", "command": "x", "commit": "0123abc", "date": "2026-01-01", "kind": "counted"},
        "points": [{"x": {"heads": 1}, "y": {"frames": 2}}],
    }
    held = {"runs": {}}
    assert take(held, copy.deepcopy(fragment)) == "a"
    if key == "points":
        fragment["points"] = []
    else:
        fragment["run"][key] = ""
    with pytest.raises(DataError, match=key):
        take(held, fragment)


def test_a_commit_or_date_that_is_none_is_refused() -> None:
    for key, value in (("commit", "HEAD"), ("commit", "12"), ("date", "today"), ("kind", "guessed")):
        held = raw()
        next(iter(held["runs"].values()))[key] = value
        with pytest.raises(DataError, match=key):
            Data(held)


def absent(runs: dict[str, Any]) -> list[str]:
    """Programs that commands name and that the tree does not have."""
    words = [word for run in runs.values() for word in run["command"].split()]
    return [word for word in words if word.endswith(".py") and not (ROOT / word).is_file()]


def test_the_commands_of_all_runs_name_programs_of_the_tree() -> None:
    runs = raw()["runs"]
    assert all(any(word.endswith(".py") for word in run["command"].split()) for run in runs.values())
    assert absent(runs) == []
    assert absent({"a": {"command": "python benchmarks/gone.py --heads 3"}}) == ["benchmarks/gone.py"]


def test_a_scale_run_is_held_against_each_line() -> None:
    names = Data.load().size("coming")
    well = {
        "version_last_s": 11.0,
        "version_p99_s": 2.9,
        "version_missing": 0,
        "rest_frames": 2.0,
        "rest_bytes": 90.0,
        "rest_leader_cpu_share": 0.2,
        "event_real_heads_most_lag_ms": 19.0,
        "parts_over": 0,
        "rules_kept": True,
        "well": True,
    }
    assert broken(names, well) == "none"
    worse = {
        "version_last_s": 12.1,
        "version_p99_s": 3.1,
        "version_missing": 1,
        "rest_frames": 3.1,
        "rest_bytes": 22_001.0,
        "rest_leader_cpu_share": 0.26,
        "event_real_heads_most_lag_ms": 21.0,
        "parts_over": 1,
        "rules_kept": False,
        "well": False,
    }
    for key, value in worse.items():
        assert broken(names, well | {key: value}) not in ("none", ""), key
    assert len(broken(names, worse).split(", ")) == len(worse)
    point = {"x": {}, "y": {"version_NEWS_a_head": 2.0, "version_RENEW_a_head": 3.0, "version_RAFT_a_head": 50.0}}
    assert whole(point)["version_frames"] == 5.0


def test_the_text_beside_the_tables_holds_no_measured_figures() -> None:
    """They would go stale unseen."""
    prose = re.sub(r"`[^`]*`", "", MARKED.sub("", PAGE.read_text()))
    assert MEASURED.findall("it took 3.5 ms and 12 MB") == ["3.5 ms", "12 MB"]
    assert MEASURED.findall(prose) == []


def test_each_table_has_to_stand_on_the_page() -> None:
    page = PAGE.read_text()
    with pytest.raises(DataError, match="expected"):
        written(Data.load(), page.replace("<!-- table missing -->", ""))


def test_fits_find_the_line_and_the_square() -> None:
    assert least_squares([(x, 3 + 2 * x) for x in (1, 2, 5, 9)], 1) == [3.0, 2.0]
    assert least_squares([(x, 1 + x * x) for x in (1, 2, 5, 9)], 2) == [1.0, 0.0, 1.0]
    with pytest.raises(DataError):
        least_squares([(1, 1), (1, 2)], 1)


def test_a_fit_needs_four_sizes() -> None:
    held = raw()
    fit = next(f for f in held["fits"].values() if f["form"] == "line")
    kept = sorted({p["x"][fit["x"]] for p in held["runs"][fit["run"]]["points"]})[:3]
    points = held["runs"][fit["run"]]["points"]
    held["runs"][fit["run"]]["points"] = [p for p in points if p["x"][fit["x"]] in kept]
    with pytest.raises(DataError, match="four at least"):
        Data(held)


def test_the_sizes_name_the_defaults_that_the_program_has() -> None:
    group, limits, common = GroupBlock(), LimitsBlock(), raw()["common"]
    assert common["lease_s"] * 1000 == group.lease
    assert common["renew_s"] * 1000 == group.renew
    assert common["compact"] == group.compact
    assert common["tick_s"] * 1000 == group.tick
    assert common["election_s"] * 1000 == group.tick * group.election
    assert common["versions_kept"] == MAX_VERSIONS
    assert common["frame_limit"] == limits.frame
    assert common["framed_clients"] == limits.connections
    assert common["keepalive_s"] * 1000 == limits.keepalive
    assert common["service_idle_s"] * 1000 == ConnectionRegistry.IDLE_TIMEOUT_MS


def test_the_caps_of_the_page_are_those_of_the_code() -> None:
    now = {(cap.name, cap.file): (cap.value(), cap.needed, cap.verdict) for cap in CAPS}
    told = {
        (p["x"]["cap"], p["x"]["file"]): (p["y"]["value"], p["y"]["needed"], p["y"]["verdict"])
        for p in raw()["runs"]["caps"]["points"]
    }
    assert told == now, "python benchmarks/caps.py --json FILE; python benchmarks/capacity_page.py --take FILE"


def test_the_fleet_size_is_the_first_at_which_the_budget_is_passed() -> None:
    data = Data.load()
    assert passed_at(data, "heads * 2", "100") == 51
    assert passed_at(data, "shelfs", "1500") == 911
    assert passed_at(data, "head_connections", "1000000") is None
