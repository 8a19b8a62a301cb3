"""Settings at the target size of 1,024 gateways and 2,048 storage nodes: parsed, shown, replicated and applied."""

from __future__ import annotations

import pytest
from group_settings import apply_entry, stored_form

from pebblehinge.raft import Entry, EntryKind
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import SettingsError, render_settings
from pebblehinge.settings.load import loads

GATEWAYS = 1024
BASE_SETTINGS = """\
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


def settings_through(gateways: list[str]) -> str:
    """Returns settings with a volume that is reached through all these gateways, by name."""
    blocks = "\n".join(f"head {name} {{\n    listen 10.0.0.1:7001\n}}" for name in gateways)
    return (
        f"{BASE_SETTINGS}volume v {{\n    plan capped\n    heads {len(gateways)}\n"
        f"    through {' '.join(gateways)}\n}}\n{blocks}\n"
    )


def test_volume_through_all_gateways_is_parsed_shown_and_parsed_again() -> None:
    """Lines of more than 4,096 characters used to be rejected; the names of 910 gateways take more."""
    names = [f"h{n:04d}".ljust(100, "x") for n in range(GATEWAYS)]  # the longest names allowed
    config = loads(settings_through(names))
    assert config.volume["v"].through == names
    lines = render_settings(config)
    assert max(map(len, lines)) > 100 * GATEWAYS
    reparsed = loads("\n".join(lines))
    assert reparsed.volume == config.volume and list(reparsed.head) == names
    assert render_settings(reparsed) == lines


def test_version_with_a_volume_through_all_gateways_is_replicated_and_applied() -> None:
    text = "\n".join(render_settings(loads(settings_through([f"h{n}" for n in range(GATEWAYS)])))) + "\n"
    state = ConfigState()
    assert apply_entry(state, Entry(1, 1, EntryKind.DATA, stored_form("propose", 0, text, "a", ""))) == ""
    application = VersionApplication("h1023", 0.25)
    assert application.apply_grant(Grant(application.begin_renewal(0.0), 3000.0, 0, "", 1, state.text(1) or "", {}))
    assert application.rejection is None and application.acknowledged_version == 1


def test_line_above_the_limit_is_rejected_with_its_position_and_length() -> None:
    with pytest.raises(SettingsError) as raised:
        loads(BASE_SETTINGS + "volume v {\n    plan capped\n    through " + "h " * 70_000 + "\n}\n", "f")
    assert [str(problem) for problem in raised.value.problems] == [
        "f:14:1: a line of 140012 characters: expected at most 131072"
    ]
