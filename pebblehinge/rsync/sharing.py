"""How many accesses of transfers are under way, whose is next, what follows an answer, what is kept. No I/O, no clock.

A transfer asks for a turn for each access. Turns are granted while fewer are out than the window, to the transfer that
was served least for its weight; so a folder of a thousand files gets no more than one file beside it. The window goes
by what the head and its shelfs bear: it grows by one a round while answers come in their usual time, and shrinks when
they take longer or are rejected. Each access still goes through the decision module, which says when and where.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

LEAST = 2.0
SLOWER = 2.5  # times the usual time of an access, beyond which the window shrinks
SHRINK_SLOW, SHRINK_REFUSED = 0.85, 0.6
FORGETS = 0.001  # by how much the usual time creeps up with each answer: a fleet may have become slower for good
LEAST_PATIENCE = 50.0  # an access with less time left is not worth sending
BACKOFF = 50.0
MOST_BACKOFF = 2_000.0


@dataclass(slots=True)
class Turn:
    """One access that waits for its turn, or is out."""

    transfer: Share
    units: float
    what: Any
    granted_ms: float = -1.0
    tries: int = 0


@dataclass(slots=True)
class Share:
    """One transfer."""

    key: int
    deadline_ms: float
    weight: float
    served: float = 0.0  # units over weight: who has least is next
    out: int = 0
    away_until: float = 0.0
    waiting: deque[Turn] = field(default_factory=deque)


class Sharing:
    """Turns of all transfers of one head. `most` accesses out together, `each` of one transfer."""

    def __init__(self, most: int, each: int) -> None:
        self.most, self.each = most, each
        self.window = max(LEAST, min(4.0, most))
        self.out = 0
        self.shares: dict[int, Share] = {}
        self.keys = 0
        self.usual = math.inf  # ms an access of a unit takes when it is not in a crowd
        self.shrunk_ms = -math.inf

    def begin(self, now: float, patience_ms: float, weight: float = 1.0) -> Share:
        """A transfer begins; it is served like the one that has least so far, not for the time before it came."""
        self.keys += 1
        floor = min((s.served for s in self.shares.values() if s.out or s.waiting), default=0.0)
        share = self.shares[self.keys] = Share(self.keys, now + patience_ms, weight, floor)
        return share

    def end(self, share: Share) -> list[Turn]:
        """A transfer is over: what it waited for falls away. Accesses that are out still come back to `ended`."""
        self.shares.pop(share.key, None)
        dropped = list(share.waiting)
        share.waiting.clear()
        return dropped

    def ask(self, share: Share, units: float, what: Any) -> Turn:
        turn = Turn(share, units, what)
        share.waiting.append(turn)
        return turn

    def again(self, turn: Turn) -> None:
        """The same access once more: it stands first."""
        turn.tries += 1
        turn.transfer.waiting.appendleft(turn)

    def grants(self, now: float) -> list[Turn]:
        """Whose turn it is now."""
        granted = []
        while self.out < int(self.window):
            able = [s for s in self.shares.values() if s.waiting and s.out < self.each and now >= s.away_until]
            if not able:
                break
            share = min(able, key=lambda s: (s.served, s.key))
            turn = share.waiting.popleft()
            turn.granted_ms = now
            share.out += 1
            self.out += 1
            share.served += turn.units / share.weight
            granted.append(turn)
        return granted

    def wake_ms(self, now: float) -> float:
        """When to ask for grants again though nothing ended."""
        return min((s.away_until for s in self.shares.values() if s.waiting and s.away_until > now), default=math.inf)

    def patience(self, now: float, share: Share, usual_ms: float) -> float:
        """The time that an access may take: its profile's, but no more than the transfer has left; 0: none is left."""
        left = min(usual_ms, share.deadline_ms - now)
        return left if left >= LEAST_PATIENCE else 0.0

    def ended(self, now: float, turn: Turn, final: str, stay_ms: float) -> None:
        """An access has its answer: succeeded, rejected, failed or anything else that is no success."""
        self.out -= 1
        share = turn.transfer
        share.out -= 1
        took = (now - turn.granted_ms) / max(1.0, turn.units)
        if final == "honoured":
            usual, self.usual = self.usual, min(took, self.usual * (1.0 + FORGETS))
            if took > SLOWER * usual + 5.0:
                self._shrink(now, SHRINK_SLOW, took)
            else:
                self.window = min(float(self.most), self.window + 1.0 / self.window)
        else:
            self._shrink(now, SHRINK_REFUSED, stay_ms)
            if stay_ms > 0:
                share.away_until = max(share.away_until, now + stay_ms)

    def _shrink(self, now: float, by: float, round_ms: float) -> None:
        """Once a round: answers to what was sent together say the same thing once."""
        if now >= self.shrunk_ms:
            self.window = max(LEAST, self.window * by)
            self.shrunk_ms = now + max(20.0, round_ms)

    def after(self, now: float, turn: Turn, final: str, stay_ms: float, repeatable: bool) -> float | None:
        """How long to wait before the same access goes once more, or None for never. What was rejected ran nowhere,
        so it may always; what ended otherwise only where a second time does no harm."""
        if final == "honoured" or (final != "pushed back" and not repeatable):
            return None
        backoff = min(MOST_BACKOFF, BACKOFF * 2.0 ** min(turn.tries, 10))
        wait = stay_ms if final == "pushed back" and stay_ms else max(stay_ms, backoff)
        return wait if now + wait + LEAST_PATIENCE < turn.transfer.deadline_ms else None


def after_append(final: str, landed: bool | None) -> str:
    """What follows an append that holds only at the end it names: done; moved (something else stands there: look at it,
    then append at the new end); look (it may have run: read whether it is there, and if nothing is, append again at the
    same end, where only one of the two can land); never (it ran nowhere, and its time is over).

    `landed` is what the shelf said; None where it said nothing.
    """
    if final == "honoured":
        return "done" if landed else "moved"
    return "never" if final == "pushed back" else "look"


@dataclass(slots=True)
class Part:
    """What stands of an interrupted push: the first blocks of the new file."""

    size: int
    blocks: list[bytes]
    block: int
    at_ms: float


class Keeping:
    """Which interrupted pushes are kept for their repeat. One for each path; the oldest go first. A part is worth
    keeping when sending it again would cost more than a look at it: a few blocks at least."""

    def __init__(self, most: int, for_ms: float, least_blocks: int = 2) -> None:
        self.most, self.for_ms, self.least = most, for_ms, least_blocks
        self.parts: OrderedDict[tuple[str, bytes], Part] = OrderedDict()

    def keep(self, now: float, module: str, path: bytes, size: int, blocks: list[bytes], block: int) -> bool:
        if len(blocks) < self.least:
            return False
        known = self.parts.pop((module, path), None)
        if known is not None and now - known.at_ms < self.for_ms and len(known.blocks) > len(blocks):
            self.parts[module, path] = known  # an attempt that got further says more
            return False
        self.parts[module, path] = Part(size, list(blocks), block, now)
        while len(self.parts) > self.most:
            self.parts.popitem(last=False)
        return True

    def look(self, now: float, module: str, path: bytes) -> Part | None:
        part = self.parts.get((module, path))
        if part is None or now - part.at_ms >= self.for_ms:
            self.parts.pop((module, path), None)
            return None
        return part

    def done(self, module: str, path: bytes) -> None:
        """The file landed: its part is of no use any more."""
        self.parts.pop((module, path), None)


def admits(transfers: int, most: int, stopping: bool, lagging: bool) -> str | None:
    """Whether a new transfer may begin, or why not: a head that is late with its own work takes no more of them, since
    a transfer can come again and the accesses beside it can't."""
    if stopping:
        return "this head is stopping, another one takes new transfers"
    if transfers >= most:
        return f"{most} transfers are under way here already, come again in a while"
    if lagging:
        return "this head is behind with its work, come again in a while"
    return None
