"""The persistent state of a member: its term and vote, log entries and latest snapshot.

    raft.state          term and vote, with a checksum; replaced by write, fsync, rename, fsync of the folder
    snap-INDEX.raft     the latest snapshot, written in the same way
    log-NUMBER.raft     the segments of the log, append-only

`records` defines the formats. A torn tail of the newest segment (an incomplete last record) was never acknowledged and
is truncated. A damaged record before the tail may have been acknowledged, so the member refuses to start and reports
the position. After a failed write or fsync the state on disk is unknown and can't be reported as persisted, so the
member stops permanently.

All file operations use `Disk`, so that tests can simulate lost unsynced data, torn writes, errors and full disks.
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
FILE_SUFFIX = ".raft"
TEMPORARY_SUFFIX = ".new"
SEGMENT_BYTES = 4 << 20  # a segment of at least this size is followed by a new one


class Storage:
    """One member's storage folder.

    Attributes:
        disk: The file operations on the folder.
        hard_state: The stored term and vote.
        snapshot: The latest stored snapshot, if any.
        entries: The entries after the snapshot when the folder was opened; entries that are stored later are not added.
        segment_number: The number of the current segment, to which records are appended.
        segment_size: The size of the current segment in bytes.
        segment_last_indexes: The last index of the log at the end of each segment, by file name.
        failure: The error that stopped all further writes, if any.
    """

    def __init__(self, disk: Disk) -> None:
        """Reads the folder, and truncates a torn tail. Raises StorageDamagedError."""
        self.disk = disk
        self.hard_state = HardState()
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []
        self.segment_number = 0
        self.segment_size = 0
        self.segment_last_indexes: dict[str, int] = {}
        self.failure: StorageFailedError | None = None
        self._load()

    # ---- reading

    def _load(self) -> None:
        names = self.disk.names()
        if STATE_FILE in names:
            self.hard_state = decode_checksummed(self.disk.read(STATE_FILE), HardState, STATE_FILE)
        for name in self._file_names(names, SNAPSHOT_PREFIX)[-1:]:
            self.snapshot = decode_checksummed(self.disk.read(name), Snapshot, name)
        for name in names:
            if name.endswith(TEMPORARY_SUFFIX):
                self.disk.remove(name)
        entries_by_index = self._load_segments(self._file_names(names, SEGMENT_PREFIX))
        self.entries = self._contiguous_entries(entries_by_index, self.snapshot.index if self.snapshot else 0)

    @staticmethod
    def _file_names(names: list[str], prefix: str) -> list[str]:
        return sorted(name for name in names if name.startswith(prefix) and name.endswith(FILE_SUFFIX))

    def _load_segments(self, names: list[str]) -> dict[int, Entry]:
        """Replays all segments, and makes a new segment the current one; returns the entries by index."""
        entries_by_index: dict[int, Entry] = {}
        for name in names:
            data = self.disk.read(name)
            segment = decode_segment(data, name, newest=name == names[-1])
            if segment.valid_bytes < len(data):
                self.disk.truncate(name, segment.valid_bytes)
            for record in segment.records:
                for index in [index for index in entries_by_index if index >= record.index]:
                    del entries_by_index[index]
                if isinstance(record, Entry):
                    entries_by_index[record.index] = record
            self.segment_last_indexes[name] = max(entries_by_index, default=0)
            self.segment_number = int(name.removeprefix(SEGMENT_PREFIX).removesuffix(FILE_SUFFIX))
        self.segment_number += 1
        return entries_by_index

    @staticmethod
    def _contiguous_entries(entries_by_index: dict[int, Entry], snapshot_index: int) -> list[Entry]:
        """Returns the entries after a snapshot; raises StorageDamagedError if one of them is missing."""
        entries: list[Entry] = []
        index = snapshot_index + 1
        while index in entries_by_index:
            entries.append(entries_by_index[index])
            index += 1
        if entries_by_index and max(entries_by_index) > index:
            raise StorageDamagedError(
                f"entry {index} is missing though {max(entries_by_index)} is present: the log has a gap"
            )
        return entries

    # ---- writing

    def store(
        self,
        hard_state: HardState | None = None,
        truncate_from: int | None = None,
        entries: Sequence[Entry] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Stores the given values durably.

        Args:
            hard_state: The new term and vote.
            truncate_from: The index from which on earlier entries are removed from the log.
            entries: The entries to append.
            snapshot: The snapshot that replaces the entries up to its index.

        Raises:
            StorageFailedError: This write or an earlier one failed. A retry would be unsafe, since after a failed fsync
                the kernel may have dropped the written data.
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
            self.failure = StorageFailedError(f"storage failed ({error.strerror or error}): this member has stopped")
            raise self.failure from None

    @property
    def _segment_name(self) -> str:
        return f"{SEGMENT_PREFIX}{self.segment_number:08d}{FILE_SUFFIX}"

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
            self.segment_last_indexes[name] = entries[-1].index
        if self.segment_size >= SEGMENT_BYTES:
            self._start_segment()

    def _start_segment(self) -> None:
        self.segment_number += 1
        self.segment_size = 0

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        name = f"{SNAPSHOT_PREFIX}{snapshot.index:012d}{FILE_SUFFIX}"
        self.disk.replace(name, encode_checksummed(snapshot))
        self.snapshot = snapshot
        for other_name in self.disk.names():
            if other_name.startswith(SNAPSHOT_PREFIX) and other_name != name:
                self.disk.remove(other_name)
        self._remove_covered_segments(snapshot.index)
        self.disk.sync_folder()

    def _remove_covered_segments(self, snapshot_index: int) -> None:
        """Removes segments without entries after the snapshot, including the current one if it has any records."""
        current = self._segment_name
        for name, last_index in sorted(self.segment_last_indexes.items()):
            if last_index <= snapshot_index and name != current:
                self.disk.remove(name)
                del self.segment_last_indexes[name]
        if self.segment_size and self.segment_last_indexes.get(current, 0) <= snapshot_index:
            self.disk.remove(current)
            self.segment_last_indexes.pop(current, None)
            self._start_segment()
