"""What discovery tells: whole JSON objects out of a stream's pieces, and the entries of each. No I/O."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from pebblehinge.http1 import HttpError
from pebblehinge.interface import Entry, ListKind
from pebblehinge.platform_settings import STANDINGS, PlatformSettingsError, SettingsReader
from pebblehinge.service.config import parse_address

OBJECT_LIMIT = 4 * 1024 * 1024  # bytes of one object
MARKS = re.compile(rb'[{}\[\]"\\]')  # all that tells where a value ends


class Told:
    """What one object of the list says."""

    __slots__ = ("version", "kind", "entries", "addresses", "faults")

    def __init__(self, raw: Any) -> None:
        line = SettingsReader(raw, "", "list")
        self.version = line.get("version", int)
        self.kind = ListKind.WHOLE if line.get("full", bool, False) else ListKind.CHANGES
        self.entries: list[Entry] = []
        self.addresses: dict[str, tuple[str, int]] = {}
        self.faults: list[str] = []  # entries that can't be read are left out, the others count
        for row in line.rows("servers"):
            try:
                name, cell = row.get("id", str), row.get("cell", int)
                standing = row.word("state", STANDINGS)
                address = parse_address(row.get("addr", str), f"{row.place}.addr")
                self.entries.append(Entry(name, standing, cell, row.get("started_ms", float, 0.0)))
                self.addresses[name] = address
            except PlatformSettingsError as error:
                self.faults.append(str(error))


class Objects:
    """JSON objects out of a stream's pieces, each bounded. One mostly stands on a line of its own; one that is indented
    stands on several, and ends where its brackets do."""

    __slots__ = ("rest", "parts", "size", "depth", "quoted")

    def __init__(self) -> None:
        self.rest = b""  # of a line that is not whole
        self._renew()

    def _renew(self) -> None:
        self.parts: list[bytes] = []  # lines of an object that is not whole
        self.size, self.depth, self.quoted = 0, 0, False

    def feed(self, data: bytes) -> list[Any]:
        """The objects that are whole by now, decoded; raises HttpError where one is too long, DecodeError where one
        can't be read."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        found = [value for line in lines if (value := self._line(line)) is not None]
        if self.size + len(self.rest) > OBJECT_LIMIT:
            raise HttpError(502, f"a list of more than {OBJECT_LIMIT} bytes")
        return found

    def _line(self, line: bytes) -> Any:
        if not line.strip():  # between objects it says that all is as it was; within one it is nothing
            return None
        self.parts.append(line)
        self.size += len(line)
        self._look(line)
        if self.depth > 0 or self.quoted:
            return None
        whole = b"\n".join(self.parts)
        self._renew()
        return msgspec.json.decode(whole)

    def _look(self, line: bytes) -> None:
        skip = -1  # what stands behind a backslash
        for found in MARKS.finditer(line):
            at, mark = found.start(), found.group()
            if at == skip:
                continue
            if mark == b"\\":
                skip = at + 1
            elif mark == b'"':
                self.quoted = not self.quoted
            elif not self.quoted:
                self.depth += 1 if mark in b"{[" else -1
