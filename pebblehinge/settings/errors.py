"""The exceptions of the settings."""

from __future__ import annotations

from pebblehinge.settings.lines import Problem


class SettingsError(Exception):
    """Settings can't be used.

    Attributes:
        problems: All faults, in order of their positions; the message has one a line.
    """

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class InvalidValueError(Exception):
    """A value isn't what was expected; the message says what was. Becomes a `Problem` with the value's position."""
