"""The figures of shelfs: parallel columns under dense places."""

from __future__ import annotations

from typing import Any


class Columns:
    """One place a shelf. The place of a name that is gone, with nothing left there, is the next new name's."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.index: dict[str, int] = {}
        self.vacant: dict[int, None] = {}  # places whose shelf left the list, the first to leave first
        self.at_slot: dict[int, int] = {}  # slot -> shelf that holds it and may be sent to
        self.takers: list[int] = []  # these shelfs, in order
        self.columns: list[list[Any]] = []
        column = self.column
        self.ready, self.slots, self.started = column(), column(), column()
        self.cold_ms = column()  # since when, or None
        self.held, self.away = column(), column()  # held, earliest due first; with an attempt out, oldest first
        self.width, self.bound = column(), column()  # attempts allowed: unrounded, rounded
        self.waits, self.last_extent = column(), column()  # slots kept for an extent, until when; the last one sent
        self.plain_ms, self.run_ms, self.mean_ms = column(), column(), column()  # latency averages
        self.seen_ms, self.heard_ms = column(), column()  # mean last fed; last answer, or first attempt after a rest
        self.lost = column()  # attempts timed out or broken since
        self.dead, self.trial_ms = column(), column()  # no connection; when the next careful attempt may go

    def column(self) -> list[Any]:
        """A further column; it grows with the places."""
        self.columns.append([None] * len(self.names))
        return self.columns[-1]

    def all_but(self, names: set[str]) -> list[int]:
        """The places of all other names."""
        return [at for at, name in enumerate(self.names) if name not in names]

    def place(self, name: str) -> int:
        """A place for a new name, with nothing held or out and None elsewhere."""
        at = next((p for p in self.vacant if not self.held[p] and not self.away[p]), len(self.names))
        if at in self.vacant:
            del self.vacant[at], self.index[self.names[at]]
        self.index[name] = at
        self.names[at : at + 1] = [name]
        for column in self.columns:
            column[at : at + 1] = [None]
        self.ready[at], self.held[at], self.away[at], self.waits[at] = False, [], [], []
        return at
