"""Words of a settings file to values: figures with their unit, and what a field's type wants of them."""

from __future__ import annotations

import functools
from types import UnionType
from typing import Any, Literal, Union, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Struct
from msgspec.structs import fields as struct_fields

from pebblehinge.settings.lines import Word

TIMES = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "kB": 1000, "MB": 10**6, "GB": 10**9}
WANTS = {
    "ms": "a time such as 400ms, 1.5s or 2m",
    "size": "a size such as 512B, 4KiB or 1MiB",
    "x": "a factor such as 10x",
    "%": "a share such as 25%",
    "/s": "a rate such as 300/s",
    "": "a number",
}


class BadValue(Exception):
    """A value that is not what was expected."""


def number(text: str, unit: str) -> float:
    """A figure with its unit; times in milliseconds, shares as parts of 1."""
    try:
        if unit == "ms":
            for suffix in ("us", "ms", "s", "m", "h"):
                if text.endswith(suffix) and is_plain(text[: -len(suffix)]):
                    return float(text[: -len(suffix)]) * TIMES[suffix]
            if float(text) == 0:
                return 0.0
            raise ValueError
        if unit == "size":
            for suffix in sorted(SIZES, key=len, reverse=True):
                if text.endswith(suffix) and is_plain(text[: -len(suffix)]):
                    return int(float(text[: -len(suffix)]) * SIZES[suffix])
            return int(text)
        if unit == "%" and text.endswith("%"):
            return float(text[:-1]) / 100.0
        if unit and text.endswith(unit):
            text = text[: -len(unit)]
        value = float(text)
        if not abs(value) < float("inf"):
            raise ValueError
        return value
    except (ValueError, OverflowError):
        raise BadValue(WANTS[unit]) from None


def is_plain(text: str) -> bool:
    return bool(text) and all(c.isdigit() or c == "." for c in text) and text.count(".") <= 1


def unwrap(hint: Any) -> tuple[Any, str, str, bool]:
    """A field's type without Annotated and None; its unit; what it wants; whether it may be none."""
    optional = False
    unit = wants = ""
    while True:
        if get_origin(hint) in (Union, UnionType):
            optional = True
            hint = next(a for a in get_args(hint) if a is not type(None))
        elif hasattr(hint, "__metadata__"):
            for meta in hint.__metadata__:
                if isinstance(meta, msgspec.Meta) and meta.extra:
                    unit = meta.extra.get("unit", unit)
                    wants = meta.extra.get("wants", wants)
            hint = hint.__origin__
        else:
            return hint, unit, wants, optional


def parse_value(hint: Any, args: list[Word]) -> Any:
    """A directive's words as its type wants them; raises BadValue with what was expected."""
    kind, unit, wants, optional = unwrap(hint)
    if get_origin(kind) is list:
        item, _, item_wants, _ = unwrap(get_args(kind)[0])
        texts = [a.text for a in args]
        if item is int:
            if not all(t.isdigit() for t in texts):
                raise BadValue("whole numbers")
            texts = [int(t) for t in texts]
        return _convert(texts, hint, item_wants or "names")
    if len(args) != 1:
        raise BadValue("one value" if not args else f"one value, not {len(args)}")
    text = args[0].text
    if optional and text == "none":
        return None
    if kind is bool:
        if text not in ("yes", "no"):
            raise BadValue("yes or no")
        return text == "yes"
    if get_origin(kind) is Literal:
        if text not in get_args(kind):
            raise BadValue("one of " + ", ".join(get_args(kind)))
        return text
    if get_origin(kind) is tuple:
        low, dots, high = text.partition("..")
        pair = (number(low, unit), number(high if dots else low, unit))
        if pair[0] > pair[1]:
            raise BadValue("a range from the smaller to the larger, such as 2..5")
        return pair
    if kind is float:
        return _convert(number(text, unit), hint, WANTS[unit])
    if kind is int:
        value = number(text, unit) if unit else text
        if not unit and not text.isdigit():
            raise BadValue("a whole number")
        return _convert(int(value), hint, WANTS.get(unit, "") if unit else "a whole number")
    return _convert(text, hint, wants or "a word")


def _convert(value: Any, hint: Any, wants: str) -> Any:
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        detail = str(error).replace("Expected ", "").replace("`", "")
        raise BadValue(wants if "matching" in detail else f"{wants} ({detail})") from None


@functools.cache
def shape_of(kind: type[Struct]) -> tuple[dict[str, Any], dict[str, Any]]:
    """A block's directives and their types. A file may have twenty thousand blocks of a kind."""
    return {f.name.replace("_", "-"): f for f in struct_fields(kind)}, get_type_hints(kind, include_extras=True)
