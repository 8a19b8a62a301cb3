"""The snapshot of a gateway's learned state: one file, written whole or not at all.

    memory    `magic 8 | version u16 | XXH64 u64 | msgpack`

It is used only by the gateway that wrote it, and only if it is sound. How much it still counts is decided by the
scheduler, which is told its age. The age comes from the machine's own clock since it started, where the machine is
still up; else from the wall clock, which may have been set: a negative age is none, and the file is left alone.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash

from pebblehinge.interface import Settings
from pebblehinge.store.disk import Disk
from pebblehinge.store.errors import SnapshotRejectedError
from pebblehinge.store.settings_mark import canonical_text

MAGIC = b"pbhmemo\n"
VERSION = 1
HEADER = struct.Struct(">8sHQ")
SNAPSHOT_FILE = "memory"
MAX_AGE_MS = 3_600_000.0  # beyond an hour nothing of it is worth reading
MAX_BYTES = 16 << 20


class Snapshot(msgspec.Struct, array_like=True):
    """The learned state with what says whose it is and when it was taken; stored as an array in this order.

    Attributes:
        gateway: Name of the gateway.
        settings_hash: The mark of its settings.
        wall_ms: Wall clock time.
        uptime_ms: Time since the machine started.
        boot_id: Identifies that start of the machine, "" if unknown.
        complete: Whether nothing was sent to storage nodes after it was taken.
        state: What `Scheduler.snapshot` returned.
    """

    gateway: str
    settings_hash: str
    wall_ms: float
    uptime_ms: float
    boot_id: str
    complete: bool
    state: dict[str, Any]


class StoredState(msgspec.Struct):
    """The keys and types that a snapshot's state must have; the scheduler gives and takes it as a dictionary.

    The names are stored, so they stay as they are.
    """

    shelfs: dict[str, tuple[float, float, float, float, float, float]]
    every: tuple[float, float, float, float]
    thinks: dict[str, dict[int, float]]
    limits: dict[str, tuple[float, float]]
    further: list[float]
    lives: dict[str, tuple[int, float]] = {}  # slot and age of each node's process; not in files of older versions


@dataclass(slots=True, frozen=True)
class RestoredSnapshot:
    """A snapshot that may be used.

    Attributes:
        state: For `Scheduler.restore`.
        age_ms: How old it is.
        complete: Whether nothing was sent after it, so that units of limits can be counted on.
        summary: Age and reservations in a few words for the log.
    """

    state: dict[str, Any]
    age_ms: float
    complete: bool
    summary: str


def hash_settings(settings: Settings) -> str:
    """A hash that tells versions of the settings apart, as far as the scheduler is handed them."""
    return xxhash.xxh3_64_hexdigest(canonical_text(settings).encode())


def encode(snapshot: Snapshot) -> bytes:
    """The bytes of the file."""
    body = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, VERSION, xxhash.xxh64_intdigest(body)) + body


def save(disk: Disk, snapshot: Snapshot) -> None:
    """Writes the file."""
    disk.replace(SNAPSHOT_FILE, encode(snapshot))


def decode(data: bytes) -> Snapshot:
    """Reads the bytes of a file; raises SnapshotRejectedError, which says why, if they are no sound snapshot."""
    if len(data) < HEADER.size or len(data) > MAX_BYTES:
        raise SnapshotRejectedError(f"it has {len(data)} bytes")
    magic, version, digest = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotRejectedError("it is no memory of this program")
    if version != VERSION:
        raise SnapshotRejectedError(f"it has format {version}, and {VERSION} is known here")
    body = data[HEADER.size :]
    if xxhash.xxh64_intdigest(body) != digest:
        raise SnapshotRejectedError("it is damaged")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
        state = msgspec.convert(snapshot.state, StoredState, strict=False, str_keys=False)
    except msgspec.MsgspecError as error:
        raise SnapshotRejectedError(f"it holds what is not known here: {error}") from None
    if not all(math.isfinite(figure) for row in state.shelfs.values() for figure in row[:3]):
        raise SnapshotRejectedError("it holds figures that are none")
    snapshot.state = {name: getattr(state, name) for name in StoredState.__struct_fields__}
    return snapshot


def restore(
    data: bytes, gateway: str, settings_hash: str, wall_ms: float, uptime_ms: float, boot_id: str
) -> RestoredSnapshot:
    """Reads the bytes of a file for use now.

    Args:
        data: The bytes.
        gateway: Name of this gateway.
        settings_hash: The mark of its settings.
        wall_ms: Wall clock time.
        uptime_ms: Time since the machine started.
        boot_id: Identifies that start of the machine, "" if unknown.

    Raises:
        SnapshotRejectedError: It must not be used; the message says why.
    """
    snapshot = decode(data)
    if snapshot.gateway != gateway:
        raise SnapshotRejectedError(f"it is head {snapshot.gateway}'s")
    same_boot = snapshot.boot_id == boot_id and bool(boot_id)
    age_ms = uptime_ms - snapshot.uptime_ms if same_boot else wall_ms - snapshot.wall_ms
    if age_ms < 0:
        raise SnapshotRejectedError(f"it is from {-age_ms / 1000:.0f} s ahead: a clock was set")
    if age_ms > MAX_AGE_MS:
        raise SnapshotRejectedError(f"it is {age_ms / 60_000:.0f} minutes old")
    complete = snapshot.complete
    state = dict(snapshot.state)
    summary = f"{age_ms / 1000:.1f} s old"
    if not same_boot:
        # Units are counted by a clock that can be trusted or not at all.
        complete = False
        summary += ", by the wall clock"
    if snapshot.settings_hash != settings_hash:
        # Latencies and thinktimes are the fleet's; what a limit has left and what a unit earns are the settings'.
        complete = False
        summary += ", from other settings"
        state["every"] = (*state["every"][:3], 0.0)
    return RestoredSnapshot(state, age_ms, complete, summary)
