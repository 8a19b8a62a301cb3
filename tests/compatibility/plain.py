"""Values as JSON holds them, by place and stored word alone: no name of a class, field or enum member gets in."""

from __future__ import annotations

import dataclasses
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

FIXTURES = Path(__file__).parent / "fixtures"


def plain(value: Any) -> Any:
    """A value as JSON: structs and dataclasses are arrays, bytes are `{"hex": ...}`, keys are strings."""
    if isinstance(value, bytes | bytearray | memoryview):
        return {"hex": bytes(value).hex()}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, msgspec.Struct):
        return [plain(part) for part in msgspec.structs.astuple(value)]
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, dict):
        return {str(plain(key)): plain(part) for key, part in value.items()}
    if isinstance(value, list | tuple):
        return [plain(part) for part in value]
    return value


def native(value: Any) -> Any:
    """The way back for what a frame holds: bytes are bytes again."""
    if isinstance(value, dict):
        return bytes.fromhex(value["hex"]) if set(value) == {"hex"} else {k: native(v) for k, v in value.items()}
    return [native(part) for part in value] if isinstance(value, list) else value


def saved(name: str) -> Any:
    """The expected values of one fixture."""
    return msgspec.json.decode((FIXTURES / f"{name}.json").read_bytes())


def save(name: str, values: Any) -> None:
    """Writes expected values; only the script that makes the fixtures does."""
    text = msgspec.json.format(msgspec.json.encode(values), indent=1)
    (FIXTURES / f"{name}.json").write_bytes(text + b"\n")
