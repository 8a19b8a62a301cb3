"""A Config as lines that can be read again."""

from __future__ import annotations

from typing import Any, get_args, get_origin, get_type_hints

from msgspec import NODEFAULT, Struct
from msgspec.structs import fields as struct_fields

from pebblehinge.settings.schema import Trouble
from pebblehinge.settings.values import unwrap


def _say(value: Any, unit: str) -> str:
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return "..".join(_say(v, unit) for v in value)
    if isinstance(value, list):
        return " ".join(_say(v, "") for v in value)
    if unit == "ms":
        return f"{value / 1000:g}s" if value >= 1000 and value % 1000 == 0 else f"{value:g}ms"
    if unit == "%":
        return f"{value * 100:g}%"
    if unit == "size":
        return f"{value}B"
    if isinstance(value, float):
        return f"{value:g}{unit}"
    text = str(value)
    if not text or set(text) & set(' \t"{}#\\'):
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return text


def _say_trouble(t: Trouble) -> str:
    by = [] if t.by is None else ["by", f"{t.by:g}"]
    every = [] if t.every is None else ["every", _say(t.every, "ms")]
    last = [] if t.last is None else ["for", _say(t.last, "ms")]
    return " ".join(["at", _say(t.at, "ms"), t.name, *t.target, *by, *every, *last])


def show(config: Struct, indent: str = "") -> list[str]:
    """What is in force, as lines that `load` reads again; values that are defaults are marked."""
    lines: list[str] = []
    hints = get_type_hints(type(config), include_extras=True)
    for f in struct_fields(type(config)):
        value, name = getattr(config, f.name), f.name.replace("_", "-")
        kind, unit, _, _ = unwrap(hints[f.name])
        if isinstance(value, Struct):
            lines += [f"{indent}{name} {{", *show(value, indent + "    "), indent + "}"]
        elif isinstance(value, dict):
            for key, inner in value.items():
                lines += [f"{indent}{name} {key} {{", *show(inner, indent + "    "), indent + "}"]
        elif get_origin(kind) is list and get_args(kind)[0] is Trouble:
            lines += [indent + _say_trouble(t) for t in value]
        else:
            default = f.default_factory() if f.default_factory is not NODEFAULT else f.default
            if value is None or value == []:
                lines.append(f"{indent}# {name} none (default)")
            else:
                mark = "  # default" if value == default else ""
                lines.append(f"{indent}{name} {_say(value, unit)}{mark}")
    return lines
