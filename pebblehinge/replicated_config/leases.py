"""What a leader knows of heads' leases, and when it may activate. No I/O, no clock: times are handed in.

A head counts its lease from the time at which it *asked*, a leader from the time at which it *answered*, which is
later; so once `lease x (1 + drift)` has passed here since the last answer, the head's lease has surely run out
there. A new leader can't know what the one before it granted: it treats every head as holding a lease until that
time has passed since it was elected.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pebblehinge.replicated_config.activation import Aside, aside_of, fits, leaves_room
from pebblehinge.replicated_config.state_machine import State
from pebblehinge.replicated_config.version_cache import read
from pebblehinge.settings import Config


@dataclass(slots=True)
class Holding:
    """One head's lease, as far as this leader granted it."""

    answered_ms: float


class Leases:
    """Kept by the leader alone; a new one begins with none."""

    def __init__(self, lease_ms: float, drift: float, floor: float, elected_ms: float) -> None:
        self.lease_ms, self.drift, self.floor = lease_ms, drift, floor
        self.elected_ms = elected_ms
        self.holding: dict[str, Holding] = {}
        self.configs: dict[int, Config] = {}

    def granted(self, now: float, head: str) -> None:
        """This head was answered: its lease runs from its asking, at the latest from now."""
        self.holding[head] = Holding(now)

    def may_grant(self, state: State, head: str, acknowledges: int) -> bool:
        """Only to a head whose word the group holds, and only for what is to come: while a version is pending, a
        head that has not prepared for it gets no further lease, or it could be activated behind its back."""
        row = state.heads.get(head)
        return row is not None and row.version == acknowledges >= max(state.active, state.pending) > 0

    def runs_until(self, head: str) -> float:
        """When a head's lease has surely run out, by this leader's clock."""
        last = self.holding.get(head)
        return max(self.elected_ms, last.answered_ms if last is not None else 0.0) + self.lease_ms * (1.0 + self.drift)

    def config(self, state: State, number: int) -> Config | None:
        """A version, read once."""
        if number not in self.configs:
            text = state.text(number)
            if text is None:
                return None
            self.configs[number] = read(text, f"version {number}")
            for old in sorted(self.configs)[:-16]:
                del self.configs[old]
        return self.configs[number]

    def wanted(self, now: float, state: State) -> tuple[Any, ...] | None:
        """The command that may be proposed now: to activate what is pending, or to set aside less or more."""
        target = state.pending or state.active
        if not target:
            return None
        missing: list[tuple[str, Config]] = []
        for name in sorted(state.heads):
            row = state.heads[name]
            if row.version >= target:
                # Taken up. While its lease runs it acts on it in full; once that ran out, on the floor of the same
                # version, which is less than its part: nothing need be set aside.
                continue
            if now < self.runs_until(name):
                return None  # it may act on an older version in full: wait for its word or its lease
            config = self.config(state, row.version)
            if config is not None:
                missing.append((name, config))
        aside: Aside = aside_of(missing, self.floor)
        config = self.config(state, target)
        if config is None or fits(config, aside) is not None:
            return None
        if target == state.pending and not leaves_room(config, aside, self.floor, [name for name, _ in missing]):
            return None
        if target == state.active and aside == state.aside:
            return None
        return ("activate", target, aside, state.changed)

    def waits_for(self, now: float, state: State) -> list[str]:
        """Why the pending version is not active yet, for people."""
        found = []
        for name, row in sorted(state.heads.items()):
            if state.pending and row.version < state.pending:
                left = self.runs_until(name) - now
                lease = f", its lease for {left / 1000:.1f} s" if left > 0 else ", cut off"
                found.append(f"{name} is at {row.version}{lease}")
        return found
