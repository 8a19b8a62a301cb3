"""What a member must not forget: term and vote, entries, the newest snapshot.

    raft.state          term and vote, sealed; replaced by write, fsync, rename, fsync of the folder
    snap-INDEX.raft     the newest snapshot, the same way
    log-NUMBER.raft     segments of the log, appended to

`records` has the format. A segment's torn tail (its last record cut off) was never promised and is cut off. Damage
before the tail may have been promised, so the member refuses to start and says where. A failed write or fsync stops
the member for good: what is on disk then is not known, and to report it as persisted would be a lie.

All file operations go through `Disk`, so that a test's disk can lose what was not synced, tear, fail and fill up.
"""

from __future__ import annotations

from collections.abc import Sequence

from pebblehinge.raft.entries import Entry, HardState, Snapshot
from pebblehinge.raft.errors import StorageDamagedError, StorageFailedError
from pebblehinge.raft.records import Truncation, decode_checksummed, decode_segment, encode_checksummed, encode_record
from pebblehinge.store.disk import Disk

STATE_FILE = "raft.state"
SNAPSHOT_PREFIX = "snap-"
SEGMENT_PREFIX = "log-"
SUFFIX = ".raft"
TEMPORARY_SUFFIX = ".new"
SEGMENT_BYTES = 4 << 20  # after which a new segment begins


class Storage:
    """One member's folder: what it held as it was opened, and writes since."""

    def __init__(self, disk: Disk) -> None:
        """Reads the folder, and cuts off a torn tail. Raises StorageDamagedError."""
        self.disk = disk
        self.hard_state = HardState()
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []  # as read: entries that are stored later are not added
        self.segment_number = 0  # of the segment that is written to
        self.segment_size = 0  # bytes
        self.last_indexes: dict[str, int] = {}  # segment -> the highest index up to its end
        self.failure: StorageFailedError | None = None
        self._load()

    # ---- reading

    def _load(self) -> None:
        names = self.disk.names()
        if STATE_FILE in names:
            self.hard_state = decode_checksummed(self.disk.read(STATE_FILE), HardState, STATE_FILE)
        for name in self._matching(names, SNAPSHOT_PREFIX)[-1:]:
            self.snapshot = decode_checksummed(self.disk.read(name), Snapshot, name)
        for name in names:
            if name.endswith(TEMPORARY_SUFFIX):
                self.disk.remove(name)
        stored = self._load_segments(self._matching(names, SEGMENT_PREFIX))
        self.entries = self._contiguous(stored, self.snapshot.index if self.snapshot else 0)

    @staticmethod
    def _matching(names: list[str], prefix: str) -> list[str]:
        return sorted(name for name in names if name.startswith(prefix) and name.endswith(SUFFIX))

    def _load_segments(self, names: list[str]) -> dict[int, Entry]:
        """Replays all segments; returns entries by index. The next segment that is written to is a new one."""
        stored: dict[int, Entry] = {}
        for name in names:
            data = self.disk.read(name)
            segment = decode_segment(data, name, newest=name == names[-1])
            if segment.valid_bytes < len(data):
                self.disk.truncate(name, segment.valid_bytes)
            for record in segment.records:
                for index in [index for index in stored if index >= record.index]:
                    del stored[index]
                if isinstance(record, Entry):
                    stored[record.index] = record
            self.last_indexes[name] = max(stored, default=0)
            self.segment_number = int(name.removeprefix(SEGMENT_PREFIX).removesuffix(SUFFIX))
        self.segment_number += 1
        return stored

    @staticmethod
    def _contiguous(stored: dict[int, Entry], snapshot_index: int) -> list[Entry]:
        """The entries that follow a snapshot; raises StorageDamagedError if one of them is missing."""
        entries: list[Entry] = []
        index = snapshot_index + 1
        while index in stored:
            entries.append(stored[index])
            index += 1
        if stored and max(stored) > index:
            raise StorageDamagedError(f"entry {index} is missing though {max(stored)} is there: the log has a hole")
        return entries

    # ---- writing

    def store(
        self,
        hard_state: HardState | None = None,
        truncate_from: int | None = None,
        entries: Sequence[Entry] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Stores what is given; all of it lasts when this returns.

        Raises StorageFailedError if it can't be stored, and from then on always: after a failed fsync the kernel may
        have dropped what was written.
        """
        if self.failure is not None:
            raise self.failure
        try:
            if hard_state is not None:
                self.disk.replace(STATE_FILE, encode_checksummed(hard_state))
                self.hard_state = hard_state
            if snapshot is not None:
                self._store_snapshot(snapshot)
            self._append_records(truncate_from, entries)
        except OSError as error:
            self.failure = StorageFailedError(f"storage failed ({error.strerror or error}): this instance has stopped")
            raise self.failure from None

    @property
    def _segment_name(self) -> str:
        return f"{SEGMENT_PREFIX}{self.segment_number:08d}{SUFFIX}"

    def _append_records(self, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        records: list[Entry | Truncation] = [] if truncate_from is None else [Truncation(truncate_from)]
        records += entries
        data = b"".join(encode_record(record) for record in records)
        if not data:
            return
        name = self._segment_name
        self.disk.append(name, data)
        self.disk.sync(name)
        if self.segment_size == 0:
            self.disk.sync_folder()
        self.segment_size += len(data)
        if entries:
            self.last_indexes[name] = entries[-1].index
        if self.segment_size >= SEGMENT_BYTES:
            self._begin_segment()

    def _begin_segment(self) -> None:
        self.segment_number += 1
        self.segment_size = 0

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        name = f"{SNAPSHOT_PREFIX}{snapshot.index:012d}{SUFFIX}"
        self.disk.replace(name, encode_checksummed(snapshot))
        self.snapshot = snapshot
        for stored in self.disk.names():
            if stored.startswith(SNAPSHOT_PREFIX) and stored != name:
                self.disk.remove(stored)
        self._drop_segments(snapshot.index)
        self.disk.sync_folder()

    def _drop_segments(self, snapshot_index: int) -> None:
        """Removes segments that hold nothing after the snapshot; the one in use too, if it has been written to."""
        current = self._segment_name
        for name, last_index in sorted(self.last_indexes.items()):
            if last_index <= snapshot_index and name != current:
                self.disk.remove(name)
                del self.last_indexes[name]
        if self.segment_size and self.last_indexes.get(current, 0) <= snapshot_index:
            self.disk.remove(current)
            self.last_indexes.pop(current, None)
            self._begin_segment()
