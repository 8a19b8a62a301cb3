"""Contents of one placement slot: the extents' bytes, and the idempotency keys of recent writes.

A process that is restarted after a kill, or its replacement at the same slot, recovers them from the journal of
effects.
"""

from __future__ import annotations

from pathlib import Path

from pebblehinge.storage_node.journal import Effect, EffectJournal

JOURNAL_FILE_NAME = "effects.journal"
"""Name of the journal in the slot's folder."""


class Contents:
    """The extents of one slot.

    Args:
        folder: Folder of the journal. None keeps all contents in memory, in this object, which a lab may pass to the
            next process.

    Attributes:
        extents: The bytes of each extent.
        applied_ms: When the write with an idempotency key took effect, by the key, in milliseconds.
        effects: All effects in order; only kept if there is no folder.

    Raises:
        JournalError: The journal is damaged.
        OSError: The journal can't be read or opened.
    """

    def __init__(self, folder: str | Path | None = None) -> None:
        self.extents: dict[str, bytearray] = {}
        self.applied_ms: dict[str, float] = {}
        self.effects: list[Effect] = []
        self._journal: EffectJournal | None = None
        if folder is not None:
            self._journal = EffectJournal(Path(folder) / JOURNAL_FILE_NAME)
            for effect in self._journal.recover():
                self.apply(effect)

    def read(self, extent: str, offset: int, length: int) -> bytes:
        """Returns up to `length` bytes from `offset`, fewer if the extent ends before, none if it is unknown."""
        return bytes(self.extents.get(extent, b"")[offset : offset + length])

    def length(self, extent: str) -> int:
        """Returns the length of an extent in bytes, 0 if nothing was written to it."""
        return len(self.extents.get(extent, b""))

    def write(self, effect: Effect) -> None:
        """Stores one effect, first in the journal, then in the extent."""
        if self._journal is not None:
            self._journal.append(effect)
        else:
            self.effects.append(effect)
        self.apply(effect)

    def apply(self, effect: Effect) -> None:
        """Applies an effect that the journal has already. A gap before its offset is filled with zeros."""
        content = self.extents.setdefault(effect.extent, bytearray())
        if len(content) < effect.offset:
            content += bytes(effect.offset - len(content))
        content[effect.offset : effect.offset + len(effect.data)] = effect.data
        if effect.key is not None:
            self.applied_ms[effect.key] = effect.time_ms

    def is_applied(self, key: str, now_ms: float, window_ms: float) -> bool:
        """Returns whether a write with this idempotency key took effect within the window."""
        applied_ms = self.applied_ms.get(key)
        return applied_ms is not None and now_ms - applied_ms <= window_ms

    def forget_keys(self, now_ms: float, window_ms: float) -> None:
        """Removes the idempotency keys that are older than the window."""
        self.applied_ms = {
            key: applied_at_ms for key, applied_at_ms in self.applied_ms.items() if now_ms - applied_at_ms <= window_ms
        }

    def close(self) -> None:
        """Closes the journal, if there is one."""
        if self._journal is not None:
            self._journal.close()
