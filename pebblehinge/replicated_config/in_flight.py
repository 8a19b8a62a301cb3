"""Entries of a member's log that it has not applied yet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pebblehinge.replicated_config.commands import AnyCommand, CommandResult


@dataclass(frozen=True, slots=True)
class PendingProposal:
    """A proposal whose result is awaited; `term` is the one in which it was appended."""

    term: int
    on_result: Callable[[CommandResult], None]


@dataclass(frozen=True, slots=True)
class CommandInFlight:
    """A command that the leader proposed by itself, and the index of its entry."""

    command: AnyCommand
    index: int
