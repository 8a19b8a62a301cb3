"""The text of a gateway's settings whose hash its memory file keeps. The words are stored ones: they stay as they are
whatever the code calls its types, fields and members, or a gateway would take its own memory for one of other settings.

Values are taken by place, so a new value belongs at the end of its type and of its row here.
"""

from __future__ import annotations

import dataclasses
from enum import Enum
from typing import Any

PROFILE = ("name", "importance", "expected_ms", "patience_ms", "late_share", "repeat", "group", "window_ms", "in_order")
PLAN = ("name", "rate", "reserve", "limit_rate", "limit_burst", "limit_slack", "weight", "worth_factor")
REST = (
    "mean_units",
    "most_units",
    "share_worth",
    "idle_worth",
    "asks_for_list",
    "marks_repeats",
    "may_recall",
    "stay_away_max_ms",
    "try_limit",
    "step_ms",
    "cold_share",
    "warm_ms",
    "fall_multiple",
    "order_settle_ms",
    "budget_share",
    "budget_free",
    "budget_window_ms",
)
MEMBERS = {
    "redoable": "Repeat.REDOABLE",
    "labelled": "Repeat.LABELLED",
    "irreversible": "Repeat.IRREVERSIBLE",
    "all": "Group.ALL",
    "zone": "Group.ZONE",
    "cell": "Group.CELL",
}


def stored_text(settings: Any) -> str:
    """The settings that a module is handed, as memory files know them."""
    profiles, plans, *rest = _values(settings)
    written_profiles = _tuple([_object("Profile", PROFILE, _values(profile)) for profile in profiles])
    written_plans = _tuple([_object("Plan", PLAN, _values(plan)) for plan in plans])
    return f"Settings(profiles={written_profiles}, plans={written_plans}, {_pairs(REST, rest)})"


def _values(row: Any) -> list[Any]:
    return [getattr(row, field.name) for field in dataclasses.fields(row)]


def _object(word: str, names: tuple[str, ...], values: list[Any]) -> str:
    return f"{word}({_pairs(names, values)})"


def _pairs(names: tuple[str, ...], values: list[Any]) -> str:
    return ", ".join(f"{name}={_word(value)}" for name, value in zip(names, values, strict=True))


def _word(value: Any) -> str:
    return f"<{MEMBERS[value.value]}: {value.value!r}>" if isinstance(value, Enum) else repr(value)


def _tuple(rows: list[str]) -> str:
    return f"({rows[0]},)" if len(rows) == 1 else f"({', '.join(rows)})"
