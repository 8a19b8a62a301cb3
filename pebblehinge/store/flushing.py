"""When dirty writes go to their shelfs, and when no more are taken. No I/O, no clock.

Writes wait a little, so that several of one extent go together, which saves a shelf work; age, a full buffer, a flush
or a barrier end the wait. How many are out follows what the fleet bears, as for any client, and begins small after a
restart: the replay of a full journal is much at once, and shelfs may have restarted, too. A shelf that is away is asked
now and then for one write; the others' go on. Each write-back is an access of the head: the cold shares, drains and
limits of plans are the decision module's, which counts its units once, here and not when the write was confirmed.
"""

from __future__ import annotations

import math
from itertools import islice

from pebblehinge.store.dirty import Dirty
from pebblehinge.store.records import Write

LEAST, RESTART = 2.0, 2.0
SHRINK = 0.6
LOOKED_AT = 256  # writes, the longest ready first, of which those that go are chosen
GAP, MOST_GAP = 100.0, 5_000.0  # between tries at a shelf that does not take


class Flushing:
    """`most` bytes may be dirty, none for longer than `age` before new ones are refused; a write waits for `delay`."""

    def __init__(self, most: int, age_ms: float, delay_ms: float, out: int) -> None:
        self.most, self.age_ms, self.delay_ms, self.out = most, age_ms, delay_ms, out
        self.window = RESTART
        self.asked: dict[str, int] = {}  # volume -> flush up to this number
        self.away: dict[int, tuple[float, float]] = {}  # slot -> not before, gap
        self.trying: dict[int, None] = {}  # slots at which one write is out to see whether they take again
        self.shrunk_ms = -math.inf

    def refuses(self, now: float, dirty: Dirty, size: int, failed: str) -> tuple[str, float] | None:
        """Why a write can't be buffered now, and for how long to keep away; None: it can."""
        if failed:
            return failed, 0.0
        if dirty.bytes + size > self.most:
            return f"{dirty.bytes} bytes wait for their shelfs already", self.delay_ms
        oldest = dirty.oldest_ms()
        if oldest is not None and now - oldest > self.age_ms:
            return f"a write has waited for its shelf for {(now - oldest) / 1000:.0f} s", self.delay_ms
        return None

    def flush(self, volume: str, up_to: int) -> None:
        self.asked[volume] = max(up_to, self.asked.get(volume, 0))

    def due(self, now: float, dirty: Dirty) -> list[Write]:
        """What goes now, oldest first; extents that have several go before those that have one of the same age."""
        room = int(self.window) - len(dirty.out)
        if room <= 0:
            return []
        full = dirty.bytes > self.most / 2
        ready = []
        for write in islice(dirty.may_go(), LOOKED_AT + 4 * room):
            waits = self.delay_ms
            hurry = full or write.number <= self.asked.get(write.volume, 0) or write.number in dirty.risky
            if hurry or len(dirty.volumes[write.volume].groups) > 1:
                waits = 0.0
            if now - dirty.came[write.number] < waits:
                continue
            at, _ = self.away.get(write.slot, (0.0, 0.0))
            if now < at or (write.slot in self.away and write.slot in self.trying):
                continue
            ready.append(write)
        ready.sort(key=lambda w: w.number)
        chosen = []
        for write in ready:
            if len(chosen) >= room:
                break
            if write.slot in self.away:
                if write.slot in self.trying:
                    continue
                self.trying[write.slot] = None
            chosen.append(write)
        return chosen

    def ended(self, now: float, dirty: Dirty, write: Write, final: str, stay_ms: float) -> None:
        """A write-back has its answer."""
        self.trying.pop(write.slot, None)
        if final == "honoured":
            self.away.pop(write.slot, None)
            self.window = min(float(self.out), self.window + 1.0 / self.window)
            return
        at, gap = self.away.get(write.slot, (0.0, GAP / 2))
        if now >= at:  # what was out together says the same thing once
            gap = min(MOST_GAP, 2 * gap)
            self.away[write.slot] = (now + max(stay_ms, gap), gap)
        if now >= self.shrunk_ms:
            self.window = max(LEAST, self.window * SHRINK)
            self.shrunk_ms = now + max(20.0, stay_ms)

    def wake_ms(self, now: float, dirty: Dirty) -> float:
        """When to look again though nothing happens."""
        at = math.inf
        if len(dirty.out) >= int(self.window):
            return at
        for write in islice(dirty.may_go(), LOOKED_AT):
            waits = max(now, dirty.came[write.number] + self.delay_ms)
            away, _ = self.away.get(write.slot, (0.0, 0.0))
            if write.slot in self.trying:
                continue
            at = min(at, max(waits if away <= now else now, away))
        return at


def next_step(write: Write, risky: bool, read_back: bytes | None) -> str:
    """What to do for a write whose turn it is: `look` whether it stands already, `write` it, or it is `done`.

    An attempt of it may have run in an earlier life, so its bytes may stand; then nothing is written again. Where
    something else stands it is written under its label, which a shelf that did it lately knows.
    """
    if not risky:
        return "write"
    if read_back is None:
        return "look"
    return "done" if read_back == write.data else "write"
