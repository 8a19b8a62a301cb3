"""From text to statements: one directive a line, blocks in braces, `include`, comments. All faults are kept."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

GRAMMAR = r"""
    start: directive? COMMENT?
    directive: WORD value* OPEN?  -> statement
             | CLOSE              -> close
    value: WORD | STRING
    OPEN: "{"
    CLOSE: "}"
    WORD: /[^\s"{}#]+/
    STRING: /"(\\.|[^"\\])*"/
    COMMENT: /#[^\n]*/
    %ignore /[ \t\r]+/
"""
_PARSER = Lark(GRAMMAR, parser="lalr")
LONGEST = 1 << 17  # characters of a line: 1,024 names of 100 characters; reading it takes 1 MB for a moment
DEEPEST = 16  # includes and blocks within each other


@dataclass(slots=True, frozen=True)
class Place:
    """Where something stands: file, line and column from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(slots=True, frozen=True)
class Word:
    """One word of a line, unquoted, with its place."""

    text: str
    place: Place


@dataclass(slots=True)
class Statement:
    """A directive with its arguments, and the statements of its block or None."""

    name: Word
    args: list[Word]
    block: list[Statement] | None = None


@dataclass(slots=True)
class Problem:
    """One fault: place, what stood there, what was expected."""

    place: Place
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.found}: expected {self.expected}"


class _Line(Transformer):
    def value(self, items: list[Token]) -> Token:
        return items[0]

    def statement(self, items: list[Token]) -> list[Token]:
        return items

    def close(self, items: list[Token]) -> list[Token]:
        return items

    def start(self, items: list) -> list[Token]:
        return items[0] if items and isinstance(items[0], list) else []


_TRANSFORM = _Line()


def _unquote(token: Token) -> str:
    if token.type != "STRING":
        return str(token)
    out, text, i = [], token[1:-1], 0
    while i < len(text):
        if text[i] == "\\":
            i += 1
            out.append({"n": "\n", "t": "\t"}.get(text[i], text[i]))
        else:
            out.append(text[i])
        i += 1
    return "".join(out)


@dataclass(slots=True)
class Reading:
    """What a file and its includes hold, and every fault met on the way."""

    statements: list[Statement] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)
    files: list[str] = field(default_factory=list)


def read_file(path: Path) -> Reading:
    """Reads a file with its includes; a fault does not end the reading."""
    reading = Reading()
    _read_into(reading, path, reading.statements, Place(str(path), 1, 1), ())
    return reading


def read_text(text: str, name: str = "text") -> Reading:
    """The same from a text; includes are looked for beside the current folder."""
    reading = Reading()
    _read_lines(reading, text, Path(name), reading.statements, ())
    return reading


def _read_into(reading: Reading, path: Path, into: list[Statement], asked: Place, above: tuple[Path, ...]) -> None:
    whole = path.resolve()
    if whole in above or len(above) >= DEEPEST:
        reading.problems.append(Problem(asked, f"{path} includes itself", "files that end somewhere"))
        return
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        reading.problems.append(Problem(asked, f"{path} holds byte {error.start} that is no UTF-8", "UTF-8 text"))
        return
    except OSError as error:
        reading.problems.append(Problem(asked, f"{path} can't be read ({error.strerror})", "a readable file"))
        return
    reading.files.append(str(path))
    _read_lines(reading, text, path, into, (*above, whole))


def _read_lines(reading: Reading, text: str, path: Path, into: list[Statement], above: tuple[Path, ...]) -> None:
    open_blocks: list[Statement] = []
    for number, line in enumerate(text.split("\n"), 1):
        place = Place(str(path), number, 1)
        if len(line) > LONGEST:
            found = f"a line of {len(line)} characters"
            reading.problems.append(Problem(place, found, f"at most {LONGEST}"))
            continue
        try:
            tokens = _TRANSFORM.transform(_PARSER.parse(line))
        except UnexpectedInput as error:
            reading.problems.append(_syntax(error, str(path), number, line))
            if line.split("#")[0].rstrip().endswith("{"):  # so that the block's end is not a second fault
                open_blocks.append(Statement(Word("", place), [], []))
            continue
        if not tokens:
            continue
        at = Place(str(path), number, tokens[0].column)
        if tokens[0].type == "CLOSE":
            if open_blocks:
                open_blocks.pop()
            else:
                reading.problems.append(Problem(at, "} with no block open", "a directive"))
            continue
        block = tokens[-1].type == "OPEN"
        words = [Word(_unquote(t), Place(str(path), number, t.column)) for t in tokens[: -1 if block else None]]
        statement = Statement(words[0], words[1:], [] if block else None)
        target = open_blocks[-1].block if open_blocks else into
        assert target is not None
        if statement.name.text == "include" and not block:
            if len(statement.args) != 1:
                reading.problems.append(Problem(at, "include", "include FILE"))
            else:
                inner = path.parent / statement.args[0].text
                _read_into(reading, inner, target, statement.args[0].place, above)
            continue
        target.append(statement)
        if block:
            open_blocks.append(statement)
            if len(open_blocks) > DEEPEST:
                reading.problems.append(Problem(at, "blocks within blocks", f"at most {DEEPEST} deep"))
                return
    for left in open_blocks:
        found = f"block {left.name.text!r} is not closed"
        reading.problems.append(Problem(left.name.place, found, "a line with } after it"))


def _syntax(error: UnexpectedInput, file: str, number: int, line: str) -> Problem:
    column = error.column if error.column and error.column > 0 else len(line) + 1
    if isinstance(error, UnexpectedCharacters):
        rest = line[column - 1 :]
        if rest.startswith('"'):
            return Problem(Place(file, number, column), "a quote that is not closed", 'a closing " on this line')
        found = f"{rest[:20]!r}"
    else:
        found = f"{str(getattr(error, 'token', ''))!r}"
    return Problem(Place(file, number, column), found, "a directive, its values, and { only at the line's end")
