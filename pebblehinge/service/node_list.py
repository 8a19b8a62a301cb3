"""The node list as discovery sends it: JSON objects from the pieces of a stream, and the entries of each. No I/O."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from pebblehinge.http1 import HttpError
from pebblehinge.interface import EndpointEntry, ListKind
from pebblehinge.platform_settings import ENDPOINT_STATES, PlatformSettingsError, SettingsReader
from pebblehinge.service.config import parse_address

OBJECT_LIMIT = 4 * 1024 * 1024  # bytes of one object
STRUCTURAL = re.compile(rb'[{}\[\]"\\]')  # all bytes that decide where a value ends


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

    __slots__ = ("version", "kind", "entries", "addresses", "faults")

    def __init__(self, raw: Any) -> None:
        reader = SettingsReader(raw, "", "list")
        self.version: int = reader.get("version", int)
        self.kind = ListKind.WHOLE if reader.get("full", bool, False) else ListKind.CHANGES
        self.entries: list[EndpointEntry] = []
        self.addresses: dict[str, tuple[str, int]] = {}
        self.faults: list[str] = []
        for row in reader.rows("servers"):
            try:
                self._read_entry(row)
            except PlatformSettingsError as error:
                self.faults.append(str(error))

    def _read_entry(self, row: SettingsReader) -> None:
        name = row.get("id", str)
        cell = row.get("cell", int)
        standing = row.choice("state", ENDPOINT_STATES)
        address = parse_address(row.get("addr", str), f"{row.place}.addr")
        self.entries.append(EndpointEntry(name, standing, cell, row.get("started_ms", float, 0.0)))
        self.addresses[name] = address


class JsonObjectStream:
    """JSON objects from the pieces of a stream, each bounded.

    An object mostly takes one line; one that is indented takes several, and ends where its brackets do.
    """

    __slots__ = ("rest", "parts", "size", "depth", "quoted")

    def __init__(self) -> None:
        self.rest = b""  # of a line that is incomplete
        self._reset()

    def _reset(self) -> None:
        self.parts: list[bytes] = []  # lines of an object that is incomplete
        self.size = 0  # bytes of them
        self.depth = 0  # brackets that are open
        self.quoted = False  # within a string

    def feed(self, data: bytes) -> list[Any]:
        """Return the objects that are complete by now, decoded.

        Raises:
            HttpError: An object is too long.
            msgspec.DecodeError: An object is no JSON.
        """
        *lines, self.rest = (self.rest + data).split(b"\n")
        values = [value for line in lines if (value := self._read_line(line)) is not None]
        if self.size + len(self.rest) > OBJECT_LIMIT:
            raise HttpError(502, f"a list of more than {OBJECT_LIMIT} bytes")
        return values

    def _read_line(self, line: bytes) -> Any:
        """Return the object that ends with this line, or None."""
        if not line.strip():  # a heartbeat between objects, white space within one
            return None
        self.parts.append(line)
        self.size += len(line)
        self._scan(line)
        if self.depth > 0 or self.quoted:
            return None
        text = b"\n".join(self.parts)
        self._reset()
        return msgspec.json.decode(text)

    def _scan(self, line: bytes) -> None:
        """Follow brackets and quotes through a line."""
        escaped = -1  # position behind a backslash
        for match in STRUCTURAL.finditer(line):
            position = match.start()
            byte = match.group()
            if position == escaped:
                continue
            if byte == b"\\":
                escaped = position + 1
            elif byte == b'"':
                self.quoted = not self.quoted
            elif not self.quoted:
                self.depth += 1 if byte in b"{[" else -1
