"""A day's records and captures as commit 6837705 wrote them: judged alike, and written alike by the same day."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from plain import FIXTURES, saved
from recorded import facts, judged, played

from pebblehinge.event_log import read_events

RECORDS = FIXTURES / "records"


def test_the_same_day_writes_the_same_files(tmp_path: Path) -> None:
    assert list(played(tmp_path / "records")) == saved("records")["played"]
    now = {path.name: path.read_bytes() for path in (tmp_path / "records").iterdir()}
    before = {path.name: path.read_bytes() for path in RECORDS.iterdir()}
    assert sorted(now) == sorted(before)
    assert [name for name in sorted(now) if now[name] != before[name]] == []


def test_records_of_before_are_judged_as_before() -> None:
    assert list(judged(RECORDS)) == saved("records")["judged"]


def test_records_of_before_hold_the_facts_of_before() -> None:
    assert facts(RECORDS) == saved("records")["facts"]


# What is written and not read again: for each event the keys.
NOT_READ = {
    "begin": {"day", "length", "seed"},
    "answer": {"took"},
    "connected": {"t"},
    "said": {"status"},
    "up": {"name", "role", "t"},
    "down": {"e", "t", "name"},
    "read": {"e", "t", "id", "n"},
    "told": {"kind"},  # it counts where a whole list leaves a name out, see below
    "recalled": {"e", "t", "id", "n", "began"},
    "control": {"e", "t", "verb", "values"},
}


def test_each_changed_value_is_seen(tmp_path: Path) -> None:
    """Of each event of each file that is read the first and the last, with each of their values changed in turn."""
    expected, count = saved("records")["facts"], 0
    not_seen: dict[str, set[str]] = {}
    for name in ("load1.jsonl", "lab.jsonl", "listing.jsonl", "shelf-s2.jsonl"):
        rows = [row for row in read_events(RECORDS / name) if name != "listing.jsonl" or row["e"] == "told"]
        for event in sorted({row["e"] for row in rows}):
            places = [n for n, row in enumerate(rows) if row["e"] == event]
            for key in rows[places[0]]:
                for at in (places[0], places[-1]):
                    others = [*rows[:at], {**rows[at], key: changed(rows[at][key])}, *rows[at + 1 :]]
                    count += 1
                    if is_seen(tmp_path / str(count), name, others, expected):
                        break
                else:
                    not_seen.setdefault(event, set()).add(key)
    assert count > 100 and not_seen == NOT_READ


def test_a_whole_list_takes_away_what_it_leaves_out(tmp_path: Path) -> None:
    rows = list(read_events(RECORDS / "listing.jsonl"))
    assert rows[-1]["kind"] == "changes"
    others = [*rows[:-1], {**rows[-1], "kind": "whole"}]
    assert is_seen(tmp_path / "records", "listing.jsonl", others, saved("records")["facts"])


def changed(value: Any) -> Any:
    """Another value of the same type, for most types."""
    if isinstance(value, list):
        return [changed(part) for part in value] or ["c9-9.9"]
    if isinstance(value, dict):
        return {**value, "other": 1}
    if isinstance(value, bool) or value is None:
        return not value
    return value + "x" if isinstance(value, str) else value + 1


def is_seen(folder: Path, name: str, rows: list[dict[str, Any]], expected: dict[str, str]) -> bool:
    """Whether the facts are others, or can't be read, with these rows in one of the files."""
    folder.mkdir()
    for path in RECORDS.iterdir():
        (folder / path.name).symlink_to(path)
    (folder / name).unlink()
    (folder / name).write_text("".join(json.dumps(row) + "\n" for row in rows))
    try:
        return facts(folder) != expected
    except (KeyError, ValueError, TypeError, AssertionError):
        return True
