"""Captured load played again: as it was, faster, thinned or grown, on the same or another fleet. No I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator

from pebblehinge.capture import Capture, CapturedRequest
from pebblehinge.lab.load import Ask, digest
from pebblehinge.settings import Config
from pebblehinge.wire.frames import READ, WRITE

RUN_MS = 5_000.0  # requests of an extent this close are kept or left out together


def merge(captures: list[Capture]) -> tuple[list[tuple[float, str, CapturedRequest]], list[str]]:
    """All rows of several heads on one time line from 0, with what is to be said of it.

    Heads' monotonic clocks have no common origin, so wall clocks place them; a client's further tries are told
    apart by their mark, and left out: they would come again by themselves.
    """
    notes = [
        f"{c.gateway}: {c.incomplete_reason}; what stands before it is used" for c in captures if c.incomplete_reason
    ]
    lines = [(c.wall_ms + row.time_ms, c.gateway, row) for c in captures for row in c.requests if not row.retry]
    lines.sort(key=lambda x: (x[0], x[1]))
    if not lines:
        return [], notes
    start = lines[0][0]
    merged = [(at - start, head, row) for at, head, row in lines]
    gaps = sorted(b[0] - a[0] for a, b in zip(merged, merged[1:], strict=False)) or [0.0]
    gap, usual = gaps[-1], gaps[(len(gaps) - 1) // 2]
    if gap > max(2_000.0, 20 * usual):
        notes.append(f"a gap of {gap / 1000:.1f} s: nothing was taken, or nothing was kept")
    return merged, notes


def stays(seed: int, row: CapturedRequest, at: float, copy: int) -> float:
    """A number from 0 to 1 that all requests of one run share."""
    return digest(f"{seed}/{row.volume}/{row.extent}/{int(at / RUN_MS)}/{copy}") / 2**32


class Replay:
    """In `Draw`'s place. `multiple` grows the load by copies of runs, some way off from their originals."""

    def __init__(
        self,
        config: Config,
        rows: list[tuple[float, str, CapturedRequest]],
        seed: int,
        multiple: float = 1.0,
        speed: float = 1.0,
        places: dict[str, list[int]] | None = None,
        blur_ms: float = 1_000.0,
        part: int = 0,
        parts: int = 1,
    ) -> None:
        self.config, self.rows, self.seed = config, rows, seed
        self.multiple, self.speed, self.places, self.blur_ms = multiple, speed, places, blur_ms
        self.part, self.parts = part, parts
        self.rng = random.Random(f"{seed}/replay/{part}")
        self.slots = sorted({s.slot for s in config.shelf.values()})
        self.heads = list(config.head)

    def runs(self) -> Iterator[Ask]:
        asks: list[Ask] = []
        whole, rest = int(self.multiple), self.multiple % 1.0
        last = self.rows[-1][0] if self.rows else 0.0
        for number, (at, head, row) in enumerate(self.rows):
            if number % self.parts != self.part:
                continue
            for copy in range(whole + 1):
                if copy == whole and stays(self.seed, row, at, copy) >= rest:
                    continue
                extent = row.extent  # more load asks for the same data: what is asked often is asked more often
                # Copies come near their original, but not on top of it: more clients are not the same ones twice.
                late = 0.0 if copy == 0 else self.blur_ms * (2.0 * stays(self.seed, row, at, -copy) - 1.0)
                when = at + late
                if not 0.0 <= when <= last:  # what would leave the window comes at its other end
                    when = abs(when) if when < 0 else max(0.0, 2 * last - when)
                asks.append(
                    Ask(
                        when / self.speed,
                        row.volume,
                        row.quota_plan,
                        row.request_class,
                        extent,
                        self.slot(row, extent),
                        self.head(row.volume, head, copy),
                        WRITE if row.write else READ,
                        [row.units],
                        [],
                        row.length,
                    )
                )
        asks.sort(key=lambda a: a.at_ms)
        yield from asks

    def slot(self, row: CapturedRequest, extent: str) -> int:
        if self.places is not None:
            where = self.places[row.volume]
            return where[digest(f"{row.volume}/{extent}") % len(where)]
        return row.slot if row.slot in self.slots else self.slots[row.slot % len(self.slots)]

    def head(self, volume: str, head: str, copy: int) -> str:
        """The same head where it is there; else one of as many as the volume comes through."""
        if head in self.config.head and copy == 0:
            return head
        count = min(self.config.volume[volume].heads, len(self.heads)) if volume in self.config.volume else 1
        first = digest(volume) % len(self.heads)
        return self.heads[(first + digest(f"{head}/{copy}") % count) % len(self.heads)]

    def leaves_early(self, at: float, patience_ms: float) -> None:
        """Who left early in the capture did so by what it met there; here it may meet something else."""
        return None
