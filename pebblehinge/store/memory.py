"""The snapshot of a gateway's learned scheduler state: one file, written atomically.

    memory    magic 8 bytes | version u16 | XXH64 of the body u64 | body, one msgpack value

Integers are big-endian. A snapshot is used only by the gateway that wrote it, and only if its checksum is right. The
scheduler gets its age and decides how much weight it still has. The age is measured by the time since the machine
started, if the machine has not restarted since; otherwise by the wall clock, which may have been set. A snapshot with a
negative age is rejected.
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
MAX_AGE_MS = 3_600_000.0  # after an hour the learned state says nothing useful any more
MAX_BYTES = 16 << 20


class Snapshot(msgspec.Struct, array_like=True):
    """The learned state, with its gateway and the time at which it was taken; stored as an array in this order.

    Attributes:
        gateway: Name of the gateway.
        settings_hash: What `hash_settings` returned for the gateway's settings.
        wall_ms: Wall clock time in milliseconds.
        uptime_ms: Time since the machine started, in milliseconds.
        boot_id: Identifies that start of the machine, "" if unknown.
        complete: Whether nothing was sent to storage nodes after the snapshot was taken.
        state: The learned state that the scheduler exported.
    """

    gateway: str
    settings_hash: str
    wall_ms: float
    uptime_ms: float
    boot_id: str
    complete: bool
    state: dict[str, Any]


class StoredState(msgspec.Struct):
    """The keys and types that a snapshot's state must have; the scheduler exports and imports it as a dictionary.

    The field names are the stored keys, so they must not be renamed.
    """

    shelfs: dict[str, tuple[float, float, float, float, float, float]]
    every: tuple[float, float, float, float]
    thinks: dict[str, dict[int, float]]
    limits: dict[str, tuple[float, float]]
    further: list[float]
    lives: dict[str, tuple[int, float]] = {}  # slot and age of each storage node's process; older files lack it


@dataclass(slots=True, frozen=True)
class RestoredSnapshot:
    """A snapshot that this gateway may use.

    Attributes:
        state: The learned state for the scheduler to import.
        age_ms: The snapshot's age in milliseconds.
        complete: Whether nothing was sent after it was taken, so that the units left of each limit are reliable.
        summary: Its age and the restrictions on its use, as a short text for the log.
    """

    state: dict[str, Any]
    age_ms: float
    complete: bool
    summary: str


def hash_settings(settings: Settings) -> str:
    """Returns a hash of the settings that the scheduler receives; it changes with every change of them."""
    return xxhash.xxh3_64_hexdigest(canonical_text(settings).encode())


def encode(snapshot: Snapshot) -> bytes:
    """Returns the content of the snapshot's file."""
    body = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, VERSION, xxhash.xxh64_intdigest(body)) + body


def save(disk: Disk, snapshot: Snapshot) -> None:
    """Writes the snapshot's file."""
    disk.replace(SNAPSHOT_FILE, encode(snapshot))


def decode(data: bytes) -> Snapshot:
    """Decodes the content of a file.

    Raises:
        SnapshotRejectedError: The content is no valid snapshot; the message names the reason.
    """
    if len(data) < HEADER.size or len(data) > MAX_BYTES:
        raise SnapshotRejectedError(f"it has {len(data)} bytes")
    magic, version, digest = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotRejectedError("it is not a memory file of this program")
    if version != VERSION:
        raise SnapshotRejectedError(f"it has format {version}, but {VERSION} is the supported format")
    body = data[HEADER.size :]
    if xxhash.xxh64_intdigest(body) != digest:
        raise SnapshotRejectedError("it is damaged")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
        state = msgspec.convert(snapshot.state, StoredState, strict=False, str_keys=False)
    except msgspec.MsgspecError as error:
        raise SnapshotRejectedError(f"its content does not have the expected fields: {error}") from None
    if not all(math.isfinite(value) for row in state.shelfs.values() for value in row[:3]):
        raise SnapshotRejectedError("it holds numbers that are not finite")
    snapshot.state = {name: getattr(state, name) for name in StoredState.__struct_fields__}
    return snapshot


def restore(
    data: bytes, gateway: str, settings_hash: str, wall_ms: float, uptime_ms: float, boot_id: str
) -> RestoredSnapshot:
    """Decodes the content of a file and checks that this gateway may use it now.

    Args:
        data: The content of the file.
        gateway: Name of this gateway.
        settings_hash: What `hash_settings` returns for its present settings.
        wall_ms: Wall clock time in milliseconds.
        uptime_ms: Time since the machine started, in milliseconds.
        boot_id: Identifies that start of the machine, "" if unknown.

    Raises:
        SnapshotRejectedError: The snapshot must not be used; the message names the reason.
    """
    snapshot = decode(data)
    if snapshot.gateway != gateway:
        raise SnapshotRejectedError(f"it is head {snapshot.gateway}'s")
    same_boot = snapshot.boot_id == boot_id and bool(boot_id)
    age_ms = uptime_ms - snapshot.uptime_ms if same_boot else wall_ms - snapshot.wall_ms
    if age_ms < 0:
        raise SnapshotRejectedError(f"it is from {-age_ms / 1000:.0f} s in the future: a clock was set")
    if age_ms > MAX_AGE_MS:
        raise SnapshotRejectedError(f"it is {age_ms / 60_000:.0f} minutes old")
    complete = snapshot.complete
    state = dict(snapshot.state)
    summary = f"{age_ms / 1000:.1f} s old"
    if not same_boot:
        # The units left of a limit follow from the age, so they are dropped where the age may be wrong.
        complete = False
        summary += ", by the wall clock"
    if snapshot.settings_hash != settings_hash:
        # Latencies and think times depend on the fleet alone. The units left of a limit and the value of a unit
        # depend on the settings.
        complete = False
        summary += ", from other settings"
        state["every"] = (*state["every"][:3], 0.0)
    return RestoredSnapshot(state, age_ms, complete, summary)
