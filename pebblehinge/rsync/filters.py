"""Filter rules: `- PATTERN` leaves out, `+ PATTERN` takes in; the first that matches a name decides.

A pattern with a slash in it (or `**`) is matched against the whole path below the transfer's top, from the top if it
begins with a slash; another against the last part of the name. One that ends in a slash matches directories only. `*`
stays within a part, `**` does not, `dir/***` matches the directory and all below it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from pebblehinge.rsync.errors import EXIT_UNSUPPORTED, RsyncError
from pebblehinge.rsync.numbers import int32, read_int
from pebblehinge.rsync.stream import Stream

MAX_RULES = 1000
MAX_RULE_BYTES = 4096

KNOWN_MODIFIERS = frozenset(b"/,sr")
MODIFIERS = frozenset(b"/!Csrpx,")
UNSUPPORTED_RULES = (b".", b":", b"H", b"S", b"P", b"R")


@dataclass(slots=True, frozen=True)
class Rule:
    """One filter rule.

    Attributes:
        include: Whether what it matches is taken in.
        pattern: What it matches.
        match_whole_path: Whether the pattern is for the whole path, not the last part.
        directories_only: Whether it matches directories only.
    """

    include: bool
    pattern: re.Pattern[bytes]
    match_whole_path: bool
    directories_only: bool

    def matches(self, path: bytes, is_directory: bool) -> bool:
        """Whether the rule is for a path below the transfer's top."""
        if self.directories_only and not is_directory:
            return False
        return self.pattern.fullmatch(path if self.match_whole_path else path.rpartition(b"/")[2]) is not None


def _translate(pattern: bytes) -> bytes:
    """Returns the regular expression of a pattern."""
    expression, position = b"", 0
    while position < len(pattern):
        if pattern[position:] == b"/***":
            return expression + b"(?:/.*)?"
        part, position = _translate_next(pattern, position)
        expression += part
    return expression


def _translate_next(pattern: bytes, position: int) -> tuple[bytes, int]:
    """Returns the regular expression of the next element of a pattern, and where the one after it begins."""
    character = pattern[position : position + 1]
    if character == b"*":
        end = position
        while pattern[end : end + 1] == b"*":
            end += 1
        return (b"[^/]*" if end == position + 1 else b".*"), end
    if character == b"?":
        return b"[^/]", position + 1
    if character == b"[" and (end := pattern.find(b"]", position + 2)) > 0:
        inner = pattern[position + 1 : end].replace(b"\\", b"\\\\").replace(b"[", b"\\[")
        if inner[:1] in (b"!", b"^"):
            inner = b"^" + inner[1:]
        return b"[" + inner + b"]", end + 1
    if character == b"\\" and position + 1 < len(pattern):
        position += 1
        character = pattern[position : position + 1]
    return re.escape(character), position + 1


def parse_rule(text: bytes) -> Rule | None:
    """Returns a rule as a client sends it, or None for `!`, which empties the list; raises RsyncError if unknown."""
    if text in (b"!", b"! "):
        return None
    include, pattern = _split_rule(text)
    directories_only = pattern.endswith(b"/") and len(pattern) > 1
    if directories_only:
        pattern = pattern[:-1]
    is_anchored = pattern.startswith(b"/")
    relative = pattern.lstrip(b"/")
    match_whole_path = is_anchored or b"/" in pattern or b"**" in pattern
    if not relative:
        raise RsyncError("an empty filter pattern", EXIT_UNSUPPORTED)
    try:
        expression = _translate(relative)
        if match_whole_path and not is_anchored:
            expression = b"(?:.*/)?" + expression
        return Rule(include, re.compile(expression, re.DOTALL), match_whole_path, directories_only)
    except re.error:
        raise RsyncError(f"filter pattern {pattern[:80]!r} can't be read", EXIT_UNSUPPORTED) from None


def _split_rule(text: bytes) -> tuple[bool, bytes]:
    """Returns whether a rule takes in, and its pattern."""
    if text[:2] in (b"- ", b"+ "):
        return text[:1] == b"+", text[2:]
    prefix, _, pattern = text.partition(b" ")
    kind, modifiers = prefix[:1], frozenset(prefix[1:])
    if kind in (b"-", b"+") and pattern and modifiers <= MODIFIERS:
        if modifiers - KNOWN_MODIFIERS:
            raise RsyncError(f"filter rule {text[:80]!r} has modifiers that are not known here", EXIT_UNSUPPORTED)
        if b"/" in prefix:
            pattern = b"/" + pattern.lstrip(b"/")
        return kind == b"+", pattern
    if kind in UNSUPPORTED_RULES and pattern:
        raise RsyncError(f"filter rule {text[:80]!r} is not known here: + and - are", EXIT_UNSUPPORTED)
    return False, text  # before version 29 a bare pattern leaves out


class Filters:
    """A list of rules; what none of them matches is taken in."""

    def __init__(self, texts: list[bytes] | None = None) -> None:
        self._rules: list[Rule] = []
        for text in texts or ():
            self.add(text)

    def add(self, text: bytes) -> None:
        """Adds a rule as a client sends it; raises RsyncError if it is unknown or there are too many."""
        rule = parse_rule(text)
        if rule is None:
            self._rules.clear()
            return
        if len(self._rules) >= MAX_RULES:
            raise RsyncError(f"more than {MAX_RULES} filter rules", EXIT_UNSUPPORTED)
        self._rules.append(rule)

    def includes(self, path: bytes, is_directory: bool) -> bool:
        """Whether a path below the transfer's top is taken in."""
        for rule in self._rules:
            if rule.matches(path, is_directory):
                return rule.include
        return True


async def read_filters(stream: Stream) -> Filters:
    """Reads rules, each with its length in front; a length of 0 ends them."""
    filters = Filters()
    while length := await read_int(stream):
        if not 0 < length <= MAX_RULE_BYTES:
            raise RsyncError(f"a filter rule of {length} bytes: at most {MAX_RULE_BYTES} are taken")
        filters.add(await stream.take(length))
    return filters


def encode_filters(texts: list[bytes]) -> bytes:
    """Returns rules as `read_filters` reads them."""
    return b"".join(int32(len(text)) + text for text in texts) + int32(0)
