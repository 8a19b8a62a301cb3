"""The first blocks of files whose upload was interrupted, kept for the client's next try."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class PartialUpload:
    """What is stored of an interrupted upload.

    Attributes:
        size: Length of the whole new file in bytes.
        blocks: Checksums of its first blocks, in order.
        block: Length of a block in bytes.
        stored_ms: When the upload was interrupted, in milliseconds.
    """

    size: int
    blocks: list[bytes]
    block: int
    stored_ms: float


class PartialUploads:
    """The partial uploads of a gateway, one for each path; the oldest are dropped first.

    One is worth keeping if sending it again would cost more than reading it: `min_blocks` at least.

    Attributes:
        parts: The partial uploads by module and path, the oldest first.
    """

    def __init__(self, max_uploads: int, max_age_ms: float, min_blocks: int = 2) -> None:
        self._max_uploads = max_uploads
        self._max_age_ms = max_age_ms
        self._min_blocks = min_blocks
        self.parts: OrderedDict[tuple[str, bytes], PartialUpload] = OrderedDict()

    def keep(self, now_ms: float, module: str, path: bytes, size: int, blocks: list[bytes], block: int) -> bool:
        """Keeps what was stored of a file; False if it is too little, or less than what is kept already."""
        if len(blocks) < self._min_blocks:
            return False
        known = self.parts.pop((module, path), None)
        if known is not None and now_ms - known.stored_ms < self._max_age_ms and len(known.blocks) > len(blocks):
            self.parts[module, path] = known  # an attempt that got further is of more use
            return False
        self.parts[module, path] = PartialUpload(size, list(blocks), block, now_ms)
        while len(self.parts) > self._max_uploads:
            self.parts.popitem(last=False)
        return True

    def find(self, now_ms: float, module: str, path: bytes) -> PartialUpload | None:
        """Returns what is kept of a file, or None; what is too old is dropped."""
        part = self.parts.get((module, path))
        if part is None or now_ms - part.stored_ms >= self._max_age_ms:
            self.parts.pop((module, path), None)
            return None
        return part

    def discard(self, module: str, path: bytes) -> None:
        """Drops what is kept of a file that was committed since."""
        self.parts.pop((module, path), None)
