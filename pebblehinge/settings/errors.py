"""Exceptions of the settings."""

from __future__ import annotations

from pebblehinge.settings.lines import Problem


class SettingsError(Exception):
    """The settings are invalid.

    Attributes:
        problems: All faults, in order of their positions; the message has one per line.
    """

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class InvalidValueError(Exception):
    """A value is invalid; the message says what was expected. It becomes a `Problem` with the value's position."""
