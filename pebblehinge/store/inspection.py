"""What a journal's folder holds, read without a change to it: for the commands that look at and export a journal."""

from __future__ import annotations

from typing import Any

from pebblehinge.store.disk import Disk, StorageError
from pebblehinge.store.journal import FENCE
from pebblehinge.store.records import Done, Record, Write
from pebblehinge.store.segment import BATCH, batch_at, later_batch, read_segment


def look(disk: Disk) -> dict[str, Any]:
    """What a folder holds, whether it is sound or not; nothing is changed."""
    names = sorted(n for n in disk.names() if n.startswith("journal-") and n.endswith(".seg"))
    told: dict[str, Any] = {"segments": len(names), "bytes": 0, "fenced": disk.exists(FENCE), "damage": []}
    writes: dict[int, Write] = {}
    done: dict[int, None] = {}
    barriers = 0
    for i, name in enumerate(names):
        data = disk.read(name)
        told["bytes"] += len(data)
        try:
            batches, sound = read_segment(name, data, i == len(names) - 1)
            if sound < len(data):
                told["damage"].append(f"{name}: {len(data) - sound} bytes at its end are cut off (never promised)")
        except StorageError as error:
            told["damage"].append(str(error))
            batches = _all_sound(data)
        for record in (r for batch in batches for r in batch):
            if isinstance(record, Done):
                done.update(dict.fromkeys(record.numbers))
            elif isinstance(record, Write):
                writes[record.number] = record
            else:
                barriers += 1
    told["writes"] = [writes[n] for n in sorted(writes) if n not in done]
    told["done"], told["barriers"] = len([n for n in writes if n in done]), barriers
    return told


def _all_sound(data: bytes) -> list[list[Record]]:
    """All batches that can be read, wherever they stand."""
    found, at = [], 0
    while (at := later_batch(data, at)) >= 0:
        records = batch_at(data, at)
        assert records is not None
        found.append(records)
        at += BATCH.size + BATCH.unpack_from(data, at)[1]
    return found
