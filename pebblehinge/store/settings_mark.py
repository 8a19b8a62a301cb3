"""The text of a gateway's settings whose hash its memory file keeps.

The words are stored ones: they stay as they are whatever the code calls its types, fields and members, or a gateway
would take its own memory for one of other settings. Values are taken by place, so a new value belongs at the end of its
type and of its row here.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from enum import Enum
from typing import Any

from pebblehinge.interface import Settings

# The stored words of RequestClass, QuotaPlan and the rest of Settings, field by field.
REQUEST_CLASS_FIELDS = (
    "name",
    "importance",
    "expected_ms",
    "patience_ms",
    "late_share",
    "repeat",
    "group",
    "window_ms",
    "in_order",
)
QUOTA_PLAN_FIELDS = ("name", "rate", "reserve", "limit_rate", "limit_burst", "limit_slack", "weight", "worth_factor")
SETTINGS_FIELDS = (
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
# Values of Idempotency and DeduplicationScope: the stored words of these members.
ENUM_MEMBERS = {
    "redoable": "Repeat.REDOABLE",
    "labelled": "Repeat.LABELLED",
    "irreversible": "Repeat.IRREVERSIBLE",
    "all": "Group.ALL",
    "zone": "Group.ZONE",
    "cell": "Group.CELL",
}


def canonical_text(settings: Settings) -> str:
    """The settings that a scheduler is handed, in the words of memory files."""
    request_classes, quota_plans, *rest = _field_values(settings)
    profiles = _tuple_text(
        [_object_text("Profile", REQUEST_CLASS_FIELDS, _field_values(each)) for each in request_classes]
    )
    plans = _tuple_text([_object_text("Plan", QUOTA_PLAN_FIELDS, _field_values(each)) for each in quota_plans])
    return f"Settings(profiles={profiles}, plans={plans}, {_fields_text(SETTINGS_FIELDS, rest)})"


def _field_values(row: Any) -> list[Any]:
    """The values of a dataclass, field by field."""
    return [getattr(row, field.name) for field in dataclasses.fields(row)]


def _object_text(word: str, names: Sequence[str], values: Sequence[Any]) -> str:
    return f"{word}({_fields_text(names, values)})"


def _fields_text(names: Sequence[str], values: Sequence[Any]) -> str:
    return ", ".join(f"{name}={_value_text(value)}" for name, value in zip(names, values, strict=True))


def _value_text(value: Any) -> str:
    return f"<{ENUM_MEMBERS[value.value]}: {value.value!r}>" if isinstance(value, Enum) else repr(value)


def _tuple_text(rows: list[str]) -> str:
    return f"({rows[0]},)" if len(rows) == 1 else f"({', '.join(rows)})"
