"""What a member has in its log and not applied yet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pebblehinge.replicated_config.commands import AnyCommand, CommandResult


@dataclass(frozen=True, slots=True)
class PendingProposal:
    """Who waits for an entry, and the term in which it was proposed."""

    term: int
    on_result: Callable[[CommandResult], None]


@dataclass(frozen=True, slots=True)
class CommandInFlight:
    """A command of the leader's own, and the index of its entry."""

    command: AnyCommand
    index: int
