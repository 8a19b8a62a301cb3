"""Parses text into statements: one directive per line, blocks in braces, `include`, comments. Collects all faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from lark import Token
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

from pebblehinge.settings.grammar import parse_line, unquote

MAX_LINE_LENGTH = 1 << 17
"""Enough for 1,024 names of 100 characters; parsing such a line takes 1 MB of memory for a moment."""

MAX_DEPTH = 16
"""Largest depth of nested includes, and of nested blocks."""

MAX_EXCERPT_LENGTH = 20
"""Largest number of characters that a problem quotes from the text."""


@dataclass(slots=True, frozen=True)
class Position:
    """A position in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(slots=True, frozen=True)
class Word:
    """One word of a line, unquoted, with its position."""

    text: str
    position: Position


@dataclass(slots=True)
class Statement:
    """A directive with its arguments, and the statements of its block or None."""

    name: Word
    args: list[Word]
    block: list[Statement] | None = None


@dataclass(slots=True)
class Problem:
    """One fault: its position, what was found there, and what was expected."""

    position: Position
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.position}: {self.found}: expected {self.expected}"


@dataclass(slots=True)
class ParseResult:
    """The content of a file and its includes.

    Attributes:
        statements: The statements outside of all blocks.
        problems: All faults found.
        files: The files that were read.
    """

    statements: list[Statement] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)
    files: list[str] = field(default_factory=list)


def read_file(path: Path) -> ParseResult:
    """Reads a file with its includes, and continues after a fault."""
    result = ParseResult()
    _read_file(result, path, result.statements, Position(str(path), 1, 1), ())
    return result


def read_text(text: str, name: str = "text") -> ParseResult:
    """Reads a text; `name` is the path, from the working directory, to which the paths of its includes are relative."""
    result = ParseResult()
    _LineReader(result, Path(name), result.statements, ()).read(text)
    return result


def _read_file(
    result: ParseResult, path: Path, target: list[Statement], include_at: Position, ancestors: tuple[Path, ...]
) -> None:
    """Reads a file into `target`; `ancestors` are the files that include it, `include_at` is the innermost include."""
    resolved = path.resolve()
    if resolved in ancestors or len(ancestors) >= MAX_DEPTH:
        result.problems.append(Problem(include_at, f"{path} includes itself", "a finite chain of includes"))
        return
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        result.problems.append(Problem(include_at, f"{path}: byte {error.start} is not valid UTF-8", "UTF-8 text"))
        return
    except OSError as error:
        result.problems.append(Problem(include_at, f"{path} can't be read ({error.strerror})", "a readable file"))
        return
    result.files.append(str(path))
    _LineReader(result, path, target, (*ancestors, resolved)).read(text)


class _LineReader:
    """Parses the lines of one file."""

    def __init__(self, result: ParseResult, path: Path, target: list[Statement], ancestors: tuple[Path, ...]) -> None:
        self.result = result
        self.path = path
        self.file = str(path)
        self.target = target
        self.ancestors = ancestors
        self.open_blocks: list[Statement] = []

    def read(self, text: str) -> None:
        """Parses the file's text; stops at blocks that are nested too deeply."""
        for line_number, line in enumerate(text.split("\n"), 1):
            self._read_line(line_number, line)
            if len(self.open_blocks) > MAX_DEPTH:
                return
        for block in self.open_blocks:
            found = f"block {block.name.text!r} is not closed"
            self._report(block.name.position, found, "a line with } after it")

    def _report(self, position: Position, found: str, expected: str) -> None:
        self.result.problems.append(Problem(position, found, expected))

    def _read_line(self, line_number: int, line: str) -> None:
        if len(line) > MAX_LINE_LENGTH:
            found = f"a line of {len(line)} characters"
            self._report(Position(self.file, line_number, 1), found, f"at most {MAX_LINE_LENGTH}")
            return
        try:
            tokens = parse_line(line)
        except UnexpectedInput as error:
            self.result.problems.append(_syntax_problem(error, self.file, line_number, line))
            if line.split("#")[0].rstrip().endswith("{"):  # else the block's end would be a second fault
                self.open_blocks.append(Statement(Word("", Position(self.file, line_number, 1)), [], []))
            return
        if not tokens:
            return
        if tokens[0].type == "CLOSE":
            self._close_block(Position(self.file, line_number, tokens[0].column or 1))
        else:
            self._add_statement(line_number, tokens)

    def _close_block(self, position: Position) -> None:
        if self.open_blocks:
            self.open_blocks.pop()
        else:
            self._report(position, "} with no block open", "a directive")

    def _add_statement(self, line_number: int, tokens: list[Token]) -> None:
        opens_block = tokens[-1].type == "OPEN"
        words = [
            Word(unquote(token), Position(self.file, line_number, token.column or 1))
            for token in tokens[: -1 if opens_block else None]
        ]
        statement = Statement(words[0], words[1:], [] if opens_block else None)
        target = self.target
        if self.open_blocks:
            block = self.open_blocks[-1].block
            assert block is not None
            target = block
        if statement.name.text == "include" and not opens_block:
            self._include(statement, target)
            return
        target.append(statement)
        if opens_block:
            self.open_blocks.append(statement)
            if len(self.open_blocks) > MAX_DEPTH:
                self._report(statement.name.position, "blocks nested too deeply", f"at most {MAX_DEPTH} deep")

    def _include(self, statement: Statement, target: list[Statement]) -> None:
        if len(statement.args) != 1:
            self._report(statement.name.position, "include", "include FILE")
            return
        file = statement.args[0]
        _read_file(self.result, self.path.parent / file.text, target, file.position, self.ancestors)


def _syntax_problem(error: UnexpectedInput, file: str, line_number: int, line: str) -> Problem:
    column = error.column if error.column and error.column > 0 else len(line) + 1
    position = Position(file, line_number, column)
    if isinstance(error, UnexpectedCharacters):
        rest = line[column - 1 :]
        if rest.startswith('"'):
            return Problem(position, "a quote that is not closed", 'a closing " on this line')
        found = f"{rest[:MAX_EXCERPT_LENGTH]!r}"
    else:
        found = f"{str(getattr(error, 'token', ''))!r}"
    return Problem(position, found, "a directive, its values, and { only at the line's end")
