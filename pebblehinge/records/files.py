"""Record files: appended in whole lines once a turn of the loop, so that a kill loses no line before it."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder().decode
MOST_BUFFERED = 1 << 16  # lines; more than that within one turn are written at once


class RecordsError(Exception):
    """A record file that can't be written or read; the text is one plain line."""


class NoRecords:
    """In place of records where none are wanted."""

    on = False

    def note(self, t: float, event: str, **values: Any) -> None:
        pass

    def close(self) -> None:
        pass


class Records:
    """One process's file. `soon` runs a call later in the same turn of the loop (`loop.call_soon`)."""

    on = True

    def __init__(
        self,
        folder: str | Path,
        name: str,
        soon: Callable[..., Any],
        failed: Callable[[RecordsError], None] | None = None,
    ) -> None:
        self.path = Path(folder) / f"{name}.jsonl"
        self.soon, self.failed = soon, failed
        self.lines: list[bytes] = []
        self.waiting = False
        try:
            self.fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        except OSError as error:
            raise RecordsError(f"records: {self.path} can't be written ({error.strerror})") from None

    def note(self, t: float, event: str, **values: Any) -> None:
        self.lines.append(_encode({"t": round(t, 3), "e": event, **values}))
        if len(self.lines) >= MOST_BUFFERED:
            self.flush()
        elif not self.waiting:
            self.waiting = True
            self.soon(self.flush)

    def flush(self) -> None:
        self.waiting = False
        if not self.lines or self.fd < 0:
            return
        data = b"\n".join(self.lines) + b"\n"
        self.lines.clear()
        try:
            while data:
                data = data[os.write(self.fd, data) :]
        except OSError as error:
            os.close(self.fd)
            self.fd = -1  # one fault is told, not one a line
            fault = RecordsError(f"records: {self.path} can't be written ({error.strerror})")
            if self.failed is None:
                raise fault from None
            self.failed(fault)

    def close(self) -> None:
        self.flush()
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1


def read_records(path: str | Path) -> Iterator[dict[str, Any]]:
    """The lines of one file; a last line that a kill cut off is passed over, any other fault is told."""
    try:
        with open(path, "rb") as file:
            number, torn = 0, False
            for line in file:
                number += 1
                if torn:
                    raise RecordsError(f"records: {path}:{number - 1} is damaged")
                try:
                    yield _decode(line)
                except msgspec.DecodeError:
                    if line.endswith(b"\n"):
                        # A process that was killed and started again appends behind its own torn line.
                        head, brace, rest = line.rpartition(b'{"t":')
                        if not brace or not head:
                            raise RecordsError(f"records: {path}:{number} is damaged") from None
                        try:
                            yield _decode(brace + rest)
                        except msgspec.DecodeError:
                            raise RecordsError(f"records: {path}:{number} is damaged") from None
                    else:
                        torn = True
    except OSError as error:
        raise RecordsError(f"records: {path} can't be read ({error.strerror})") from None
