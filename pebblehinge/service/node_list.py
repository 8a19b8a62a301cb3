"""The node list as discovery sends it: a stream of JSON objects, each with a list of entries. No I/O."""

from __future__ import annotations

import re

import msgspec

from pebblehinge.http1 import HttpError
from pebblehinge.interface import EndpointEntry, ListKind
from pebblehinge.platform_settings import ENDPOINT_STATES, PlatformSettingsError
from pebblehinge.service.config import parse_address

MAX_OBJECT_BYTES = 4 * 1024 * 1024
STRUCTURAL_BYTES = re.compile(rb'[{}\[\]"\\]')  # The bytes that determine where a JSON value ends.


class _ListObject(msgspec.Struct):
    """One object of the stream, whose entries are decoded one by one: an invalid one must not spoil the others."""

    version: int
    servers: list[msgspec.Raw]
    full: bool = False


class _Entry(msgspec.Struct):
    """One entry, with the fields that the gateway uses."""

    id: str
    addr: str
    cell: int
    state: str
    started_ms: float = 0.0


_LIST_DECODER = msgspec.json.Decoder(_ListObject)
_ENTRY_DECODER = msgspec.json.Decoder(_Entry)
_SYNTAX_DECODER = msgspec.json.Decoder(msgspec.Raw)


class NodeListUpdate:
    """One object of the stream: the complete node list, or changes to it.

    Args:
        text: The object as JSON.

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

    def __init__(self, text: bytes) -> None:
        try:
            decoded = _LIST_DECODER.decode(text)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise PlatformSettingsError(f"list: {error}") from None
        self.version = decoded.version
        self.kind = ListKind.WHOLE if decoded.full else ListKind.CHANGES
        self.entries: list[EndpointEntry] = []
        self.addresses: dict[str, tuple[str, int]] = {}
        self.entry_errors: list[str] = []
        for index, entry_text in enumerate(decoded.servers):
            try:
                self._read_entry(entry_text, f"servers[{index}]")
            except PlatformSettingsError as error:
                self.entry_errors.append(str(error))

    def _read_entry(self, text: msgspec.Raw, place: str) -> None:
        try:
            entry = _ENTRY_DECODER.decode(text)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise PlatformSettingsError(f"list: {place}: {error}") from None
        state = ENDPOINT_STATES.get(entry.state)
        if state is None:
            expected = ", ".join(ENDPOINT_STATES)
            raise PlatformSettingsError(f"list: {place}.state is {entry.state!r}: expected one of {expected}")
        address = parse_address(entry.addr, f"{place}.addr")
        self.entries.append(EndpointEntry(entry.id, state, entry.cell, entry.started_ms))
        self.addresses[entry.id] = address


class JsonObjectStream:
    """Finds the JSON objects of a stream that arrives in pieces; the size of each object is limited.

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
        self.partial_line = bytearray()
        self._reset()

    def _reset(self) -> None:
        self.object_lines: list[bytes] = []
        self.object_bytes = 0
        self.bracket_depth = 0
        self.in_string = False

    def feed(self, data: bytes) -> list[bytes]:
        """Appends received bytes; returns the texts of the objects that are complete now.

        The brackets of each are balanced, but it may be invalid otherwise.

        Raises:
            HttpError: An object is longer than MAX_OBJECT_BYTES.
        """
        *line_ends, rest = data.split(b"\n")
        texts = []
        for line_end in line_ends:
            self.partial_line += line_end
            line = bytes(self.partial_line)
            self.partial_line.clear()
            text = self._read_line(line)
            if text is not None:
                texts.append(text)
        self.partial_line += rest
        if self.object_bytes + len(self.partial_line) > MAX_OBJECT_BYTES:
            raise HttpError(502, f"a list of more than {MAX_OBJECT_BYTES} bytes")
        return texts

    def _read_line(self, line: bytes) -> bytes | None:
        """Returns the text of the object that ends with this line, or None."""
        if not line.strip():  # An empty line is a heartbeat between objects, or white space within an object.
            return None
        if not self.object_lines and _is_valid_json(line):
            return line
        self.object_lines.append(line)
        self.object_bytes += len(line)
        self._scan(line)
        if self.bracket_depth > 0 or self.in_string:
            return None
        text = b"\n".join(self.object_lines)
        self._reset()
        return text

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


def _is_valid_json(text: bytes) -> bool:
    """Returns whether a text is one complete JSON value, which is far faster than to look for its brackets."""
    try:
        _SYNTAX_DECODER.decode(text)
    except msgspec.DecodeError:
        return False
    return True
