"""The canonical text of a gateway's settings, whose hash is stored in the snapshot of its learned state.

The names in this text belong to the stored format. They stay the same whatever the code calls its types, fields and
enum members; otherwise a gateway would treat its own snapshot as one taken under other settings. Values are matched to
names by position, so a new field belongs at the end of its type and of its tuple of names here.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from enum import Enum
from typing import Any

from pebblehinge.interface import Settings

# Stored names of the fields of RequestClass, of QuotaPlan and of the remaining Settings, in the order of the fields.
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
# Stored names of the members of Idempotency and DeduplicationScope, by the members' values.
ENUM_MEMBERS = {
    "redoable": "Repeat.REDOABLE",
    "labelled": "Repeat.LABELLED",
    "irreversible": "Repeat.IRREVERSIBLE",
    "all": "Group.ALL",
    "zone": "Group.ZONE",
    "cell": "Group.CELL",
}


def canonical_text(settings: Settings) -> str:
    """Returns the settings that a scheduler receives as a text with the stored names."""
    request_classes, quota_plans, *rest = _field_values(settings)
    profiles = _tuple_text(
        [_object_text("Profile", REQUEST_CLASS_FIELDS, _field_values(row)) for row in request_classes]
    )
    plans = _tuple_text([_object_text("Plan", QUOTA_PLAN_FIELDS, _field_values(row)) for row in quota_plans])
    return f"Settings(profiles={profiles}, plans={plans}, {_fields_text(SETTINGS_FIELDS, rest)})"


def _field_values(row: Any) -> list[Any]:
    """Returns the values of a dataclass in the order of its fields."""
    return [getattr(row, field.name) for field in dataclasses.fields(row)]


def _object_text(type_name: str, names: Sequence[str], values: Sequence[Any]) -> str:
    return f"{type_name}({_fields_text(names, values)})"


def _fields_text(names: Sequence[str], values: Sequence[Any]) -> str:
    return ", ".join(f"{name}={_value_text(value)}" for name, value in zip(names, values, strict=True))


def _value_text(value: Any) -> str:
    return f"<{ENUM_MEMBERS[value.value]}: {value.value!r}>" if isinstance(value, Enum) else repr(value)


def _tuple_text(rows: list[str]) -> str:
    return f"({rows[0]},)" if len(rows) == 1 else f"({', '.join(rows)})"
