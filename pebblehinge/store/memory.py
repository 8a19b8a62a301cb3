"""What a head has learned, as one file: written whole or not at all, taken up only where it is this head's and sound.

    memory    `magic 8 | version u16 | XXH64 u64 | msgpack`

How much it still counts is decided by the decision module, which is told its age. The age comes from the machine's own
clock since it started, where the machine is still up; else from the wall clock, which may have been set: an age that
can't be is no age, and the file is left alone.
"""

from __future__ import annotations

import struct
from typing import Any

import msgspec
import xxhash

from pebblehinge.store.disk import Disk, StorageError
from pebblehinge.store.settings_mark import stored_text

MAGIC, VERSION = b"pbhmemo\n", 1
HEAD = struct.Struct(">8sHQ")
FILE = "memory"
OLDEST_MS = 3_600_000.0  # beyond an hour nothing of it is worth reading
MOST = 16 << 20


class Kept(msgspec.Struct, array_like=True):
    """A snapshot with what says whose it is and when it was made. `whole`: nothing was sent after it."""

    head: str
    settings: str
    wall_ms: float
    up_ms: float  # since the machine started
    boot: str  # which start that was
    whole: bool
    state: dict[str, Any]


class State(msgspec.Struct):
    """The types that a snapshot must have; the module gives and takes it as a dictionary."""

    shelfs: dict[str, tuple[float, float, float, float, float, float]]
    every: tuple[float, float, float, float]
    thinks: dict[str, dict[int, float]]
    limits: dict[str, tuple[float, float]]
    further: list[float]
    lives: dict[str, tuple[int, float]] = {}  # slot and age of each shelf's process; none in files of before


def mark_of(settings: Any) -> str:
    """What tells one version of the settings from another, as far as the module is handed them."""
    return xxhash.xxh3_64_hexdigest(stored_text(settings).encode())


def packed(kept: Kept) -> bytes:
    body = msgspec.msgpack.encode(kept)
    return HEAD.pack(MAGIC, VERSION, xxhash.xxh64_intdigest(body)) + body


def save(disk: Disk, kept: Kept) -> None:
    disk.replace(FILE, packed(kept))


def read(data: bytes) -> Kept:
    """A snapshot; StorageError says why it is none."""
    if len(data) < HEAD.size or len(data) > MOST:
        raise StorageError(f"it has {len(data)} bytes")
    magic, version, wanted = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise StorageError("it is no memory of this program")
    if version != VERSION:
        raise StorageError(f"it has format {version}, and {VERSION} is known here")
    body = data[HEAD.size :]
    if xxhash.xxh64_intdigest(body) != wanted:
        raise StorageError("it is damaged")
    try:
        kept = msgspec.msgpack.decode(body, type=Kept)
        state = msgspec.convert(kept.state, State, strict=False, str_keys=False)
    except msgspec.MsgspecError as error:
        raise StorageError(f"it holds what is not known here: {error}") from None
    kept.state = {f: getattr(state, f) for f in State.__struct_fields__}
    if any(x != x or abs(x) == float("inf") for row in state.shelfs.values() for x in row[:3]):
        raise StorageError("it holds figures that are none")
    return kept


def recalled(
    data: bytes, head: str, settings: str, wall_ms: float, up_ms: float, boot: str
) -> tuple[dict[str, Any], float, bool, str]:
    """State, its age, whether nothing was sent after it, a word for the log. StorageError: none of it is taken up."""
    kept = read(data)
    if kept.head != head:
        raise StorageError(f"it is head {kept.head}'s")
    same = kept.boot == boot and bool(boot)
    age = up_ms - kept.up_ms if same else wall_ms - kept.wall_ms
    if age < 0:
        raise StorageError(f"it is from {-age / 1000:.0f} s ahead: a clock was set")
    if age > OLDEST_MS:
        raise StorageError(f"it is {age / 60_000:.0f} minutes old")
    whole, state, word = kept.whole, dict(kept.state), f"{age / 1000:.1f} s old"
    if not same:
        # Units are counted by a clock that can be trusted or not at all.
        whole, word = False, word + ", by the wall clock"
    if kept.settings != settings:
        # Latencies and thinktimes are the fleet's; what a limit has left and what a unit earns are the settings'.
        whole, word = False, word + ", from other settings"
        state["every"] = (*state["every"][:3], 0.0)
    return state, age, whole, word
