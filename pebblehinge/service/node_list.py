"""The node list as discovery sends it: JSON objects from the pieces of a stream, and the entries of each. No I/O."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from pebblehinge.http1 import HttpError
from pebblehinge.interface import EndpointEntry, ListKind
from pebblehinge.platform_settings import ENDPOINT_STATES, PlatformSettingsError, SettingsReader
from pebblehinge.service.config import parse_address

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # bytes of one object
STRUCTURAL_BYTES = re.compile(rb'[{}\[\]"\\]')  # all bytes that decide where a value ends


class NodeListUpdate:
    """One object of the stream: the complete list, or changes to it.

    Attributes:
        version: Version of the list after this update.
        kind: Whether the entries are the complete list or the changed ones.
        entries: Entries that could be read.
        addresses: Host and port by node.
        faults: What was wrong with each entry that could not be read and is left out.

    Raises:
        PlatformSettingsError: The object as a whole is not of the expected form.
    """

    __slots__ = ("version", "kind", "entries", "addresses", "entry_errors")

    def __init__(self, raw: Any) -> None:
        reader = SettingsReader(raw, "", "list")
        self.version: int = reader.get("version", int)
        self.kind = ListKind.WHOLE if reader.get("full", bool, False) else ListKind.CHANGES
        self.entries: list[EndpointEntry] = []
        self.addresses: dict[str, tuple[str, int]] = {}
        self.entry_errors: list[str] = []
        for row in reader.rows("servers"):
            try:
                self._read_entry(row)
            except PlatformSettingsError as error:
                self.entry_errors.append(str(error))

    def _read_entry(self, row: SettingsReader) -> None:
        name = row.get("id", str)
        slot = row.get("cell", int)
        state = row.choice("state", ENDPOINT_STATES)
        address = parse_address(row.get("addr", str), f"{row.place}.addr")
        self.entries.append(EndpointEntry(name, state, slot, row.get("started_ms", float, 0.0)))
        self.addresses[name] = address


class JsonObjectStream:
    """JSON objects from the pieces of a stream, each bounded.

    An object mostly takes one line; one that is indented takes several, and ends where its brackets do.
    """

    __slots__ = ("partial_line", "object_lines", "object_bytes", "bracket_depth", "in_string")

    def __init__(self) -> None:
        self.partial_line = b""  # of a line that is incomplete
        self._reset()

    def _reset(self) -> None:
        self.object_lines: list[bytes] = []  # lines of an object that is incomplete
        self.object_bytes = 0  # bytes of them
        self.bracket_depth = 0  # brackets that are open
        self.in_string = False  # within a string

    def feed(self, data: bytes) -> list[Any]:
        """Return the objects that are complete by now, decoded.

        Raises:
            HttpError: An object is too long.
            msgspec.DecodeError: An object is no JSON.
        """
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        values = [value for line in lines if (value := self._read_line(line)) is not None]
        if self.object_bytes + len(self.partial_line) > MAX_OBJECT_BYTES:
            raise HttpError(502, f"a list of more than {MAX_OBJECT_BYTES} bytes")
        return values

    def _read_line(self, line: bytes) -> Any:
        """Return the object that ends with this line, or None."""
        if not line.strip():  # a heartbeat between objects, white space within one
            return None
        self.object_lines.append(line)
        self.object_bytes += len(line)
        self._scan(line)
        if self.bracket_depth > 0 or self.in_string:
            return None
        text = b"\n".join(self.object_lines)
        self._reset()
        return msgspec.json.decode(text)

    def _scan(self, line: bytes) -> None:
        """Follow brackets and quotes through a line."""
        escaped = -1  # position behind a backslash
        for match in STRUCTURAL_BYTES.finditer(line):
            position = match.start()
            byte = match.group()
            if position == escaped:
                continue
            if byte == b"\\":
                escaped = position + 1
            elif byte == b'"':
                self.in_string = not self.in_string
            elif not self.in_string:
                self.bracket_depth += 1 if byte in b"{[" else -1
