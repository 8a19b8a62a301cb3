"""Days of rsync transfers, and the verdict on them."""

from __future__ import annotations

import random

import msgspec
import pytest

from pebblehinge.cli import find_day
from pebblehinge.lab.rsync_call import Local
from pebblehinge.lab.rsync_member import Member
from pebblehinge.lab.rsync_verdict import judged, sound
from pebblehinge.lab.simulated_fleet import play
from pebblehinge.lab.verdict import all_checks_pass, summary
from pebblehinge.rsync.tree import Directory
from pebblehinge.settings import Config, load


def tender(seconds: int) -> Config:
    """The day of transfers, cut short."""
    path, _ = find_day("rsync-tender")
    config = load(str(path))
    day = config.day["rsync-tender"]
    at = [t for t in day.at if t.at < seconds * 1000.0 - 1500.0]
    config.day["rsync-tender"] = msgspec.structs.replace(day, length=seconds * 1000.0, at=at)
    return config


def test_a_day_of_transfers_ends_each_once_and_saves_nothing_twice() -> None:
    config = tender(7)
    stage, _ = play(config, "rsync-tender", 4)
    told = summary(stage.facts(), "rsync-tender", 4)
    t = told["transfers"]
    assert all_checks_pass(told) and t["started"] > 100 and t["completed"] == t["started"] and t["saves"] > 150, t
    assert t["looked_at"] > 30 and sum(t["tries"].values()) > t["started"]  # some had to try again


def test_a_head_that_takes_the_same_log_twice_is_seen_by_the_day(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the day itself found: saves that landed twice, by the shelfs' records alone."""
    monkeypatch.setattr(Directory, "feed_from", lambda self, at, data: self.feed(data))
    config = tender(7)
    for seed in (2, 3, 1, 5):  # on some days no log is read by two together
        stage, _ = play(config, "rsync-tender", seed)
        told = summary(stage.facts(), "rsync-tender", seed)
        if told["transfers"]["landed_twice"]:
            break
    assert told["transfers"]["landed_twice"] and not all_checks_pass(told)


def test_contents_that_may_not_stand_are_told() -> None:
    member = Member("m", random.Random(1))
    member.change((3, 3), (50, 90))
    member.tried()
    member.landed()
    first = {name: Local(f.data) for name, f in member.files.items()}
    assert member.wrong(first) == []
    member.change((12, 12), (50, 90))
    assert member.wrong(first) == []  # nobody has tried to push it yet
    member.tried()
    assert member.wrong(first) == [] and member.wrong(member.files) == []  # either may stand
    member.landed()
    assert member.wrong(first) != []  # what was confirmed is gone
    rows = [{"e": "copy", "id": "a"}, {"e": "copy", "id": "b"}]
    rows.append({"e": "copied", "id": "a", "code": 0, "wrong": ["f"], "last": 0})
    shelf = [{"e": "effect", "label": "x", "x": "v/m/d/1"}] * 2 + [{"e": "got", "op": 2, "full": False, "id": "s"}] * 2
    told = judged(rows, shelf)
    assert (told["unanswered"], told["landed_twice"], told["contents_wrong"], told["second_trips"]) == (1, 1, 1, 1)
    assert not sound(told)
