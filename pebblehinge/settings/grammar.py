"""The grammar of one line."""

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
"""Escaped characters that stand for another; any other stands for itself."""


class _TokenTransformer(Transformer[Token, list[Token]]):
    """Turns the parse tree of a line into its tokens, without the comment."""

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
    """The tokens of a line without its comment, none if it is empty; raises lark's UnexpectedInput."""
    return _TRANSFORMER.transform(_PARSER.parse(line))


def unquote(token: Token) -> str:
    """The text of a word, without its quotes and escapes."""
    if token.type != "STRING":
        return str(token)
    characters = iter(token[1:-1])
    unquoted = []
    for character in characters:
        if character == "\\":
            character = next(characters)  # the grammar lets no string end in a backslash
            character = ESCAPES.get(character, character)
        unquoted.append(character)
    return "".join(unquoted)
