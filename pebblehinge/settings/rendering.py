"""Renders a Config as lines that can be loaded again."""

from __future__ import annotations

from typing import Any, get_args, get_origin, get_type_hints

from msgspec import NODEFAULT, Struct
from msgspec.structs import FieldInfo
from msgspec.structs import fields as struct_fields

from pebblehinge.settings.stand_ins import ScheduledFault
from pebblehinge.settings.values import unwrap

INDENT = "    "
SCALED_UNITS = ("ms", "%", "size")
CHARACTERS_TO_QUOTE = frozenset(' \t"{}#\\')
"""Characters for which a word has to be quoted."""


def render_settings(config: Struct, indent: str = "") -> list[str]:
    """Returns a block as lines that `load` accepts, including its defaults, which are marked by a comment.

    Args:
        config: The block, as a rule a `Config`.
        indent: Precedes each line.
    """
    lines: list[str] = []
    hints = get_type_hints(type(config), include_extras=True)
    for field in struct_fields(type(config)):
        lines += [indent + line for line in _render_field(field, hints[field.name], getattr(config, field.name))]
    return lines


def _render_field(field: FieldInfo, hint: Any, value: Any) -> list[str]:
    """Returns the lines of one field."""
    name = field.name.replace("_", "-")
    if isinstance(value, Struct):
        return _render_block(name, value)
    if isinstance(value, dict):
        return [line for key, block in value.items() for line in _render_block(f"{name} {key}", block)]
    field_type = unwrap(hint)
    if get_origin(field_type.base_type) is list and get_args(field_type.base_type)[0] is ScheduledFault:
        return [_render_fault(fault) for fault in value]
    if value is None or value == []:
        return [f"# {name} none (default)"]
    default = field.default_factory() if field.default_factory is not NODEFAULT else field.default
    mark = "  # default" if value == default else ""
    return [f"{name} {_render_value(value, field_type.unit)}{mark}"]


def _render_block(start: str, block: Struct) -> list[str]:
    return [f"{start} {{", *render_settings(block, INDENT), "}"]


def _render_value(value: Any, unit: str) -> str:
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return "..".join(_render_value(bound, unit) for bound in value)
    if isinstance(value, list):
        return " ".join(_render_value(item, "") for item in value)
    if unit in SCALED_UNITS or isinstance(value, float):
        return _render_number(value, unit)
    return _render_word(str(value))


def _render_number(value: float, unit: str) -> str:
    if unit == "ms":
        return f"{value / 1000:g}s" if value >= 1000 and value % 1000 == 0 else f"{value:g}ms"
    if unit == "%":
        return f"{value * 100:g}%"
    if unit == "size":
        return f"{value}B"
    return f"{value:g}{unit}"


def _render_word(text: str) -> str:
    if text and not CHARACTERS_TO_QUOTE & set(text):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def _render_fault(fault: ScheduledFault) -> str:
    words = ["at", _render_value(fault.at, "ms"), fault.name, *fault.target]
    if fault.by is not None:
        words += ["by", f"{fault.by:g}"]
    if fault.every is not None:
        words += ["every", _render_value(fault.every, "ms")]
    if fault.last is not None:
        words += ["for", _render_value(fault.last, "ms")]
    return " ".join(words)
