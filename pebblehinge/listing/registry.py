"""What the list knows, seconds late: which processes run, drain or are gone. No I/O and no clock."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from pebblehinge.settings.schema import ListingBlock


@dataclass(slots=True)
class Row:
    """One shelf as the list tells it. `started_ms` below 0 is long ago."""

    shelf: str
    address: str
    standing: str
    slot: int
    started_ms: float


class Registry:
    """`news` come from shelfs at once; `due(now)` returns the rows that are told from then on."""

    def __init__(self, block: ListingBlock, rng: random.Random) -> None:
        self.block, self.rng = block, rng
        self.stale_ms = 0.0  # a trouble: everything is told so much later
        self.rows: dict[str, Row] = {}  # as told
        self.late: list[tuple[float, int, Row]] = []
        self.order = 0
        self.last: dict[str, float] = {}  # news of one shelf are told in their order

    def registered(self, now: float, shelf: str, address: str, slot: int, started_ms: float, first: bool) -> None:
        """A process runs. `first`: at the fleet's start, told without delay."""
        delay = 0.0 if first else self.rng.uniform(*self.block.add)
        self._tell(now, delay, Row(shelf, address, "ready", slot, started_ms))

    def standing(self, now: float, shelf: str, standing: str) -> None:
        row = self._latest(shelf)
        if row is not None:
            delay = self.rng.uniform(*self.block.drain)
            self._tell(now, delay, Row(shelf, row.address, standing, row.slot, row.started_ms))

    def gone(self, now: float, shelf: str) -> None:
        row = self._latest(shelf)
        if row is not None:
            delay = self.rng.uniform(*self.block.notice)
            self._tell(now, delay, Row(shelf, row.address, "gone", row.slot, row.started_ms))

    def mistake(self, now: float, shelf: str, on: bool) -> None:
        """A trouble: a live shelf is called gone, or called ready again."""
        row = self._latest(shelf)
        if row is not None:
            self._tell(now, 0.0, Row(shelf, row.address, "gone" if on else "ready", row.slot, row.started_ms))

    def _latest(self, shelf: str) -> Row | None:
        late = [(at, n, row) for at, n, row in self.late if row.shelf == shelf]
        return max(late)[2] if late else self.rows.get(shelf)

    def _tell(self, now: float, delay: float, row: Row) -> None:
        at = max(now + delay + self.stale_ms, self.last.get(row.shelf, 0.0))
        self.last[row.shelf] = at
        self.order += 1
        heapq.heappush(self.late, (at, self.order, row))

    def due(self, now: float) -> list[Row]:
        told = []
        while self.late and self.late[0][0] <= now:
            row = heapq.heappop(self.late)[2]
            if self.rows.get(row.shelf) == row:
                continue
            self.rows[row.shelf] = row
            told.append(row)
        return told

    def next_ms(self) -> float | None:
        return self.late[0][0] if self.late else None

    def whole(self) -> list[Row]:
        return [row for _, row in sorted(self.rows.items()) if row.standing != "gone"]
