"""Helpers for tests of the journal: a journal on a simulated disk, and writes for it."""

from __future__ import annotations

import random
from typing import Any

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.store.journal import Journal
from pebblehinge.store.records import Write


def make_write(
    number: int, extent: str = "x", offset: int = 0, data: bytes = b"data", volume: str = "v", slot: int = 0
) -> Write:
    """Returns a write whose idempotency key is made from its number."""
    return Write(number, volume, extent, slot, offset, data, f"l{number}", "save", 1.0)


def commit_records(journal: Journal, disk: FaultyDisk, *records: Any) -> None:
    """Appends records to a journal as one batch and syncs it."""
    batch = journal.prepare(list(records))
    disk.append(batch.file_name, batch.data)
    disk.sync(batch.file_name)
    journal.mark_committed(batch)


def new_journal(seed: int = 1) -> tuple[FaultyDisk, Journal]:
    """Returns an empty simulated disk and a journal on it."""
    disk = FaultyDisk(random.Random(seed))
    journal = Journal(disk)
    journal.recover()
    return disk, journal
