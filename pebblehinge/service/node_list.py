"""The node list as discovery sends it: a stream of JSON objects, each with a list of entries. No I/O."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from pebblehinge.http1 import HttpError
from pebblehinge.interface import EndpointEntry, ListKind
from pebblehinge.platform_settings import ENDPOINT_STATES, PlatformSettingsError, SettingsReader
from pebblehinge.service.config import parse_address

MAX_OBJECT_BYTES = 4 * 1024 * 1024
STRUCTURAL_BYTES = re.compile(rb'[{}\[\]"\\]')  # The bytes that determine where a JSON value ends.


class NodeListUpdate:
    """One object of the stream: the complete node list, or changes to it.

    Attributes:
        version: Version of the node list after this update.
        kind: Whether the entries are the complete list or the changed ones.
        entries: The valid entries.
        addresses: Host and port of each node in `entries`, by its name.
        entry_errors: The error messages of the invalid entries, which are left out.

    Raises:
        PlatformSettingsError: The object itself, not only one of its entries, is invalid.
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
    """Decodes the JSON objects of a stream that arrives in pieces; the size of each object is limited.

    An object usually takes one line. One that is indented takes several lines and ends where its outermost bracket is
    closed.

    Attributes:
        partial_line: The bytes after the last line break.
        object_lines: The lines of the incomplete object.
        object_bytes: Total length of these lines.
        bracket_depth: Number of brackets that are open in the incomplete object.
        in_string: Whether the last of these lines ends within a string.
    """

    __slots__ = ("partial_line", "object_lines", "object_bytes", "bracket_depth", "in_string")

    def __init__(self) -> None:
        self.partial_line = b""
        self._reset()

    def _reset(self) -> None:
        self.object_lines: list[bytes] = []
        self.object_bytes = 0
        self.bracket_depth = 0
        self.in_string = False

    def feed(self, data: bytes) -> list[Any]:
        """Appends received bytes; returns the decoded objects that are complete now.

        Raises:
            HttpError: An object is longer than MAX_OBJECT_BYTES.
            msgspec.DecodeError: An object is not valid JSON.
        """
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        values = [value for line in lines if (value := self._read_line(line)) is not None]
        if self.object_bytes + len(self.partial_line) > MAX_OBJECT_BYTES:
            raise HttpError(502, f"a list of more than {MAX_OBJECT_BYTES} bytes")
        return values

    def _read_line(self, line: bytes) -> Any:
        """Returns the decoded object that ends with this line, or None."""
        if not line.strip():  # An empty line is a heartbeat between objects, or white space within an object.
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
        """Updates `bracket_depth` and `in_string` by the contents of a line."""
        escaped_position = -1  # The position of a byte that a backslash escapes.
        for match in STRUCTURAL_BYTES.finditer(line):
            position = match.start()
            byte = match.group()
            if position == escaped_position:
                continue
            if byte == b"\\":
                escaped_position = position + 1
            elif byte == b'"':
                self.in_string = not self.in_string
            elif not self.in_string:
                self.bracket_depth += 1 if byte in b"{[" else -1
