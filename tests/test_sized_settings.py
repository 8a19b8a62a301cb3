"""Settings and versions at the coming size: 1,024 heads and 2,048 shelfs are read, shown, agreed on and taken up."""

from __future__ import annotations

import pytest
from group_settings import apply_entry, stored_form

from pebblehinge.raft import Entry, EntryKind
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import SettingsError, render_settings
from pebblehinge.settings.load import loads

HEADS = 1024
BASE = """\
profile look {
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}
plan capped {
    rate 5/s
    limit 100/s
    burst 200
}
"""


def through_all(names: list[str]) -> str:
    """A volume that comes through all heads, by name."""
    heads = "\n".join(f"head {name} {{\n    listen 10.0.0.1:7001\n}}" for name in names)
    return f"{BASE}volume v {{\n    plan capped\n    heads {len(names)}\n    through {' '.join(names)}\n}}\n{heads}\n"


def test_a_volume_through_all_heads_is_read_shown_and_read_again() -> None:
    """Refused before: a line of more than 4,096 characters, which 910 names are."""
    names = [f"h{n:04d}".ljust(100, "x") for n in range(HEADS)]  # as long as names may be
    config = loads(through_all(names))
    assert config.volume["v"].through == names
    lines = render_settings(config)
    assert max(map(len, lines)) > 100 * HEADS
    again = loads("\n".join(lines))
    assert again.volume == config.volume and list(again.head) == names
    assert render_settings(again) == lines


def test_it_is_agreed_on_and_taken_up() -> None:
    text = "\n".join(render_settings(loads(through_all([f"h{n}" for n in range(HEADS)])))) + "\n"
    state = ConfigState()
    assert apply_entry(state, Entry(1, 1, EntryKind.DATA, stored_form("propose", 0, text, "a", ""))) == ""
    application = VersionApplication("h1023", 0.25)
    assert application.apply_grant(Grant(application.begin_renewal(0.0), 3000.0, 0, "", 1, state.text(1) or "", {}))
    assert application.rejection is None and application.acknowledged_version == 1


def test_a_line_that_is_longer_still_is_refused_with_its_place_and_length() -> None:
    with pytest.raises(SettingsError) as told:
        loads(BASE + "volume v {\n    plan capped\n    through " + "h " * 70_000 + "\n}\n", "f")
    assert [str(p) for p in told.value.problems] == ["f:14:1: a line of 140012 characters: expected at most 131072"]
