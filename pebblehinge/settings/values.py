"""Parses the words of settings into values: numbers with a unit, and the types of the blocks' fields."""

from __future__ import annotations

import functools
import math
from types import UnionType
from typing import Any, Literal, NamedTuple, Union, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Struct
from msgspec.structs import FieldInfo
from msgspec.structs import fields as struct_fields

from pebblehinge.settings.errors import InvalidValueError
from pebblehinge.settings.lines import Word

MS_BY_SUFFIX = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
"""Milliseconds by suffix; a suffix that ends in another one comes before it."""

BYTES_BY_SUFFIX = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "kB": 1000, "MB": 10**6, "GB": 10**9}
"""Bytes by suffix."""

SIZE_SUFFIXES = sorted(BYTES_BY_SUFFIX, key=len, reverse=True)
BOOLEANS = {"yes": True, "no": False}
EXPECTED_BY_UNIT = {
    "ms": "a time such as 400ms, 1.5s or 2m",
    "size": "a size such as 512B, 4KiB or 1MiB",
    "x": "a factor such as 10x",
    "%": "a share such as 25%",
    "/s": "a rate such as 300/s",
    "": "a number",
}
"""What is expected of a number, by its unit."""


def parse_number(text: str, unit: str) -> float:
    """Returns a number with a unit: times in milliseconds, sizes in whole bytes, shares as fractions of 1.

    Args:
        text: The word.
        unit: A key of `EXPECTED_BY_UNIT`.

    Raises:
        InvalidValueError: The word is not a number of that unit.
    """
    try:
        if unit == "ms":
            return _parse_time_ms(text)
        if unit == "size":
            return _parse_size(text)
        if unit == "%" and text.endswith("%"):
            return float(text[:-1]) / 100.0
        value = float(text.removesuffix(unit))
        if not math.isfinite(value):
            raise ValueError(text)
        return value
    except (ValueError, OverflowError):
        raise InvalidValueError(EXPECTED_BY_UNIT[unit]) from None


def is_decimal(text: str) -> bool:
    """Returns whether a word consists of digits and at most one decimal point."""
    return bool(text) and all(c.isdigit() or c == "." for c in text) and text.count(".") <= 1


def _parse_time_ms(text: str) -> float:
    for suffix, milliseconds in MS_BY_SUFFIX.items():
        number_text = text.removesuffix(suffix)
        if number_text != text and is_decimal(number_text):
            return float(number_text) * milliseconds
    if float(text) != 0:
        raise ValueError(text)
    return 0.0


def _parse_size(text: str) -> int:
    for suffix in SIZE_SUFFIXES:
        number_text = text.removesuffix(suffix)
        if number_text != text and is_decimal(number_text):
            return int(float(number_text) * BYTES_BY_SUFFIX[suffix])
    return int(text)


class FieldType(NamedTuple):
    """The type of a block's field.

    Attributes:
        base_type: The type without `Annotated` and without None.
        unit: A key of `EXPECTED_BY_UNIT`, empty for a plain number.
        expected: What is expected of a value, for problems; empty if the unit or the type defines it.
        optional: Whether the value may be none.
    """

    base_type: Any
    unit: str
    expected: str
    optional: bool


def unwrap(hint: Any) -> FieldType:
    """Returns the type of a field from its annotation."""
    optional = False
    unit = expected = ""
    while True:
        if get_origin(hint) in (Union, UnionType):
            optional = True
            hint = next(inner for inner in get_args(hint) if inner is not type(None))
        elif hasattr(hint, "__metadata__"):
            for meta in hint.__metadata__:
                if isinstance(meta, msgspec.Meta) and meta.extra:
                    unit = meta.extra.get("unit", unit)
                    expected = meta.extra.get("wants", expected)
            hint = hint.__origin__
        else:
            return FieldType(hint, unit, expected, optional)


def parse_value(hint: Any, args: list[Word]) -> Any:
    """Returns the value of a directive.

    Args:
        hint: The annotation of its field.
        args: Its arguments.

    Raises:
        InvalidValueError: The arguments do not match the type.
    """
    field = unwrap(hint)
    if get_origin(field.base_type) is list:
        return _parse_list(hint, field, [arg.text for arg in args])
    if len(args) != 1:
        raise InvalidValueError("one value" if not args else f"one value, not {len(args)}")
    text = args[0].text
    if field.optional and text == "none":
        return None
    if get_origin(field.base_type) is Literal:
        return _parse_choice(get_args(field.base_type), text)
    if get_origin(field.base_type) is tuple:
        return _parse_range(text, field.unit)
    if field.base_type is bool:
        return _parse_boolean(text)
    if field.base_type is float:
        return _convert(parse_number(text, field.unit), hint, EXPECTED_BY_UNIT[field.unit])
    if field.base_type is int:
        return _parse_integer(hint, field, text)
    return _convert(text, hint, field.expected or "a word")


def _parse_list(hint: Any, field: FieldType, texts: list[str]) -> Any:
    item = unwrap(get_args(field.base_type)[0])
    if item.base_type is not int:
        return _convert(texts, hint, item.expected or "names")
    if not all(text.isdigit() for text in texts):
        raise InvalidValueError("whole numbers")
    return _convert([int(text) for text in texts], hint, item.expected or "names")


def _parse_choice(choices: tuple[str, ...], text: str) -> str:
    if text not in choices:
        raise InvalidValueError("one of " + ", ".join(choices))
    return text


def _parse_boolean(text: str) -> bool:
    if text not in BOOLEANS:
        raise InvalidValueError("yes or no")
    return BOOLEANS[text]


def _parse_range(text: str, unit: str) -> tuple[float, float]:
    low_text, separator, high_text = text.partition("..")
    low = parse_number(low_text, unit)
    high = parse_number(high_text if separator else low_text, unit)
    if low > high:
        raise InvalidValueError("a range from the smaller to the larger, such as 2..5")
    return low, high


def _parse_integer(hint: Any, field: FieldType, text: str) -> Any:
    if field.unit:
        return _convert(int(parse_number(text, field.unit)), hint, EXPECTED_BY_UNIT[field.unit])
    if not text.isdigit():
        raise InvalidValueError("a whole number")
    return _convert(int(text), hint, "a whole number")


def _convert(value: Any, hint: Any, expected: str) -> Any:
    """Returns a value after a check against the bounds of its annotation."""
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        detail = str(error).replace("Expected ", "").replace("`", "")
        raise InvalidValueError(expected if "matching" in detail else f"{expected} ({detail})") from None


class BlockSchema(NamedTuple):
    """The possible content of a block: its fields by directive, and the annotations of the fields by field name."""

    fields: dict[str, FieldInfo]
    annotations: dict[str, Any]


@functools.cache
def block_schema(block_type: type[Struct]) -> BlockSchema:
    """Returns the schema of a type of block; cached, since a file may have twenty thousand blocks of one type."""
    fields = {field.name.replace("_", "-"): field for field in struct_fields(block_type)}
    return BlockSchema(fields, get_type_hints(block_type, include_extras=True))
