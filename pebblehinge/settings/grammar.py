"""Grammar of one line of the settings."""

from __future__ import annotations

from typing import Any

from lark import Lark, Token, Transformer

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

ESCAPES = {"n": "\n", "t": "\t"}
"""Characters by their escape sequences; any other escaped character stands for itself."""


class _TokenTransformer(Transformer[Token, list[Token]]):
    """Turns the parse tree of a line into its tokens, without the comment; each method handles a rule."""

    def value(self, items: list[Token]) -> Token:
        return items[0]

    def statement(self, items: list[Token]) -> list[Token]:
        return items

    def close(self, items: list[Token]) -> list[Token]:
        return items

    def start(self, items: list[Any]) -> list[Token]:
        return items[0] if items and isinstance(items[0], list) else []


_TRANSFORMER = _TokenTransformer()


def parse_line(line: str) -> list[Token]:
    """Returns the tokens of a line without its comment, none if it is empty.

    Raises:
        lark.exceptions.UnexpectedInput: The line does not follow the grammar.
    """
    return _TRANSFORMER.transform(_PARSER.parse(line))


def unquote(token: Token) -> str:
    """Returns the text of a word, without its quotes and escapes."""
    if token.type != "STRING":
        return str(token)
    characters = iter(token[1:-1])
    unquoted = []
    for character in characters:
        if character == "\\":
            character = next(characters)  # the grammar allows no backslash at the end of a string
            character = ESCAPES.get(character, character)
        unquoted.append(character)
    return "".join(unquoted)
