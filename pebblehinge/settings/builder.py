"""Builds blocks from statements by the types of the blocks' fields. All faults of the settings are collected."""

from __future__ import annotations

import difflib
from collections.abc import Collection
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Struct
from msgspec.structs import FieldInfo

from pebblehinge.settings.errors import InvalidValueError
from pebblehinge.settings.lines import Position, Problem, Statement
from pebblehinge.settings.policy import VolumeBlock
from pebblehinge.settings.scheduled_faults import parse_scheduled_fault
from pebblehinge.settings.stand_ins import ScheduledFault
from pebblehinge.settings.values import block_schema, parse_value, unwrap

MAX_VOLUMES = 100_000
"""Largest number of volumes in one `volumes` block."""

VOLUMES_DIRECTIVE = "volumes"
"""The directive that defines many volumes with equal settings."""

NAME_ANNOTATION = get_type_hints(VolumeBlock, include_extras=True)["plan"]  # names of blocks are checked against it
BlockPath = tuple[str, ...]
"""The directives and names that lead to a block or a directive, outermost first."""

AnyBlock = TypeVar("AnyBlock", bound=Struct)


def expect_one_of(names: Collection[str]) -> str:
    """Returns the expectation of a problem where one of several names is allowed."""
    return "one of " + ", ".join(names)


class BlockBuilder:
    """Builds blocks from statements.

    Args:
        problems: The list to which all faults are added.

    Attributes:
        positions: The position of each block and each directive.
    """

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems
        self.positions: dict[BlockPath, Position] = {}

    def build(
        self, block_type: type[AnyBlock], statements: list[Statement], path: BlockPath, position: Position
    ) -> AnyBlock | None:
        """Builds a block.

        Args:
            block_type: Its type.
            statements: Its content.
            path: Its path; empty for the whole file.
            position: Where it begins.

        Returns:
            The block, or None if a required value is missing, which is reported.
        """
        schema = block_schema(block_type)
        values: dict[str, Any] = {}
        for statement in statements:
            name = statement.name.text
            if not path and name == VOLUMES_DIRECTIVE:
                self._add_volumes(statement, values)
                continue
            field = schema.fields.get(name)
            if field is None:
                nearest = difflib.get_close_matches(name, schema.fields, 1)
                expected = f"{nearest[0]} (the nearest known one)" if nearest else expect_one_of(schema.fields)
                self._report(statement.name.position, f"unknown directive {name!r}", expected)
                continue
            self._add_directive(statement, field, schema.annotations[field.name], values, (*path, name))
        missing = [name for name, field in schema.fields.items() if field.name not in values and field.required]
        stated_names = {statement.name.text for statement in statements}  # an invalid directive is already reported
        for name in missing:
            if name not in stated_names:
                self._report(position, f"{' '.join(path) or 'the file'} has no {name!r}", f"a line {name} ...")
        return None if missing else block_type(**values)

    def _report(self, position: Position, found: str, expected: str) -> None:
        self.problems.append(Problem(position, found, expected))

    def _add_directive(
        self, statement: Statement, field: FieldInfo, annotation: Any, values: dict[str, Any], path: BlockPath
    ) -> None:
        """Adds the value or the block of a directive to the values of the enclosing block."""
        base_type = unwrap(annotation).base_type
        if get_origin(base_type) is dict:
            self._add_named_blocks(statement, get_args(base_type)[1], values.setdefault(field.name, {}), path)
        elif get_origin(base_type) is list and get_args(base_type)[0] is ScheduledFault:
            fault = parse_scheduled_fault(statement, self._report)
            if fault is not None:
                values.setdefault(field.name, []).append(fault)
        elif isinstance(base_type, type) and issubclass(base_type, Struct):
            self._add_block(statement, field, base_type, values, path)
        else:
            self._add_value(statement, field, annotation, values, path)

    def _add_block(
        self, statement: Statement, field: FieldInfo, block_type: type[Struct], values: dict[str, Any], path: BlockPath
    ) -> None:
        name = statement.name
        if statement.block is None or statement.args:
            self._report(name.position, f"{name.text!r} with no block", f"{name.text} {{")
        elif self._is_first(statement, field, values, path):
            self.positions[path] = name.position
            block = self.build(block_type, statement.block, path, name.position)
            if block is not None:
                values[field.name] = block

    def _add_value(
        self, statement: Statement, field: FieldInfo, annotation: Any, values: dict[str, Any], path: BlockPath
    ) -> None:
        name, args = statement.name, statement.args
        if statement.block is not None:
            self._report(name.position, f"a block after {name.text!r}", "a value and no block")
        elif self._is_first(statement, field, values, path):
            self.positions[path] = args[0].position if args else name.position
            try:
                values[field.name] = parse_value(annotation, args)
            except InvalidValueError as error:
                found = " ".join([name.text, *(arg.text for arg in args)])
                self._report(self.positions[path], repr(found), str(error))

    def _is_first(self, statement: Statement, field: FieldInfo, values: dict[str, Any], path: BlockPath) -> bool:
        """Returns whether a directive that is allowed once occurs for the first time; reports it otherwise."""
        if field.name not in values:
            return True
        name, first_position = statement.name, self.positions[path]
        self._report(name.position, f"a second {name.text!r}", f"one; the first stands at {first_position}")
        return False

    def _add_named_blocks(
        self, statement: Statement, block_type: type[Struct], blocks: dict[str, Any], path: BlockPath
    ) -> None:
        """Adds a block for each name after a directive."""
        directive = statement.name.text
        if statement.block is None or not statement.args:
            expected = f"{directive} NAME {{"
            self._report(statement.name.position, f"{directive!r} with no name or no block", expected)
            return
        for word in statement.args:
            inner_path = (*path, word.text)
            if word.text in blocks:
                expected = f"another name; the first stands at {self.positions[inner_path]}"
                self._report(word.position, f"a second {directive} {word.text!r}", expected)
                continue
            try:
                parse_value(NAME_ANNOTATION, [word])
            except InvalidValueError as error:
                self._report(word.position, f"{directive} {word.text!r}", str(error))
                continue
            self.positions[inner_path] = word.position
            block = self.build(block_type, statement.block, inner_path, word.position)
            if block is not None:
                blocks[word.text] = block

    def _add_volumes(self, statement: Statement, values: dict[str, Any]) -> None:
        """Adds the volumes of `volumes PREFIX COUNT { ... }`: PREFIX-1 to PREFIX-COUNT, with equal settings."""
        if statement.block is None or len(statement.args) != 2 or not statement.args[1].text.isdigit():
            self._report(statement.name.position, f"{VOLUMES_DIRECTIVE!r}", f"{VOLUMES_DIRECTIVE} PREFIX COUNT {{")
            return
        prefix, count_word = statement.args
        count = int(count_word.text)
        if not 1 <= count <= MAX_VOLUMES:
            self._report(count_word.position, f"{count} volumes", f"1 to {MAX_VOLUMES}")
            return
        first_path = ("volume", f"{prefix.text}-1")
        volume = self.build(VolumeBlock, statement.block, first_path, statement.name.position)
        volumes = values.setdefault("volume", {})
        for number in range(1, count + 1):
            name = f"{prefix.text}-{number}"
            if name in volumes:
                self._report(prefix.position, f"a second volume {name!r}", "another name")
            elif volume is not None:
                self.positions["volume", name] = prefix.position
                self.positions["volume", name, "plan"] = self.positions[*first_path, "plan"]
                volumes[name] = msgspec.structs.replace(volume)
