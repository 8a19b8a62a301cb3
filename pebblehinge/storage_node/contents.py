"""What one placement slot stores: the extents' bytes, and the idempotency keys of recent writes.

A process that is killed and started again, or its replacement at the same slot, reads the journal of effects and goes
on from there.
"""

from __future__ import annotations

from pathlib import Path

from pebblehinge.storage_node.journal import Effect, EffectJournal

JOURNAL_FILE_NAME = "effects.journal"
"""The journal's file in the slot's folder."""


class Contents:
    """The extents of one slot.

    Args:
        folder: Where the journal lies. None keeps all in memory, for as long as this object, which a lab may hand on to
            the next process.

    Attributes:
        extents: The bytes of each extent.
        applied_ms: When the write with an idempotency key took effect, by key.
        effects: All effects in order; kept only without a folder.

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
        """Returns up to `length` bytes from `offset`; fewer, or none, where the extent ends before."""
        return bytes(self.extents.get(extent, b"")[offset : offset + length])

    def length(self, extent: str) -> int:
        """Returns the length of an extent in bytes; 0 if nothing was written to it."""
        return len(self.extents.get(extent, b""))

    def write(self, effect: Effect) -> None:
        """Stores one effect: in the journal first, then in the extent."""
        if self._journal is not None:
            self._journal.append(effect)
        else:
            self.effects.append(effect)
        self.apply(effect)

    def apply(self, effect: Effect) -> None:
        """Applies an effect that is in a journal already. A gap before its offset is filled with zeros."""
        content = self.extents.setdefault(effect.extent, bytearray())
        if len(content) < effect.offset:
            content += bytes(effect.offset - len(content))
        content[effect.offset : effect.offset + len(effect.data)] = effect.data
        if effect.key is not None:
            self.applied_ms[effect.key] = effect.time_ms

    def is_applied(self, key: str, now_ms: float, window_ms: float) -> bool:
        """Whether a write with this idempotency key took effect within the window."""
        applied_ms = self.applied_ms.get(key)
        return applied_ms is not None and now_ms - applied_ms <= window_ms

    def forget_keys(self, now_ms: float, window_ms: float) -> None:
        """Forgets the idempotency keys that are older than the window."""
        self.applied_ms = {
            key: applied_at_ms for key, applied_at_ms in self.applied_ms.items() if now_ms - applied_at_ms <= window_ms
        }

    def close(self) -> None:
        """Closes the journal, if there is one."""
        if self._journal is not None:
            self._journal.close()
