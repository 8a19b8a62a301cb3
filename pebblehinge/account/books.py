"""Accounts of waiting. Each millisecond that an access was held, or out, belongs to exactly one cause.

Held while attempts of this head are out at its shelf, it waits for those, in equal parts; held while none is out, for
the head itself (its plan's limit, the cold of the shelf, a slot that is kept). Out beside other attempts of the head,
the time at a shelf is shared among them: beyond what such an attempt usually takes, the others' parts are waiting for
those. What is left of its own part beyond the usual is the shelf's doing, and so is that part of what it kept others
waiting; this is settled when it ends. Retries after the first are their own cause.

Bounded: so many pairs, the smallest of which go into one that is called the others'.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

MOST_PAIRS = 12_288  # five causes of 2,000 volumes and some: 1.5 MB
FOLLOWS = 0.02  # by how much the usual time follows one attempt
SHELF, HEAD, SELF, AGAIN, OTHERS = "shelf ", "head", "own work", "further trips", "others"


@dataclass(slots=True)
class Attempt:
    """One attempt that is out: for which volume, since when, and how long it kept each volume's accesses waiting."""

    volume: str
    units: float
    since: float
    first: bool
    kept: dict[str, float] = field(default_factory=dict)
    beside: dict[str, float] = field(default_factory=dict)  # parts of other attempts in its own time


@dataclass(slots=True)
class Desk:
    """One shelf as this head uses it."""

    held: dict[str, int] = field(default_factory=dict)
    out: dict[int, Attempt] = field(default_factory=dict)
    at: float = 0.0


@dataclass(slots=True, frozen=True)
class Share:
    """What part of a volume's time went to a cause."""

    cause: str
    ms: float
    part: float


class Books:
    """Fed with what becomes of accesses, by their key. Keys of accesses that are over are forgotten."""

    def __init__(self, most: int = MOST_PAIRS) -> None:
        self.most = most
        self.desks: dict[str, Desk] = {}
        self.where: dict[int, tuple[str, str, float]] = {}  # held accesses: shelf, volume, units
        self.usual = 0.0  # ms of a unit's attempt, over all shelfs
        self.waits: dict[tuple[str, str], float] = {}
        self.count: dict[str, int] = {}

    # ---- what happens

    def held(self, now: float, key: int, volume: str, shelf: str, units: float) -> None:
        """An access is held for a shelf from now on."""
        desk = self._pass(now, shelf)
        desk.held[volume] = desk.held.get(volume, 0) + 1
        if key not in self.where:
            self.count[volume] = self.count.get(volume, 0) + 1
        self.where[key] = (shelf, volume, units)

    def sent(self, now: float, key: int, first: bool) -> None:
        """It leaves for that shelf."""
        shelf, volume, units = self.where[key]
        desk = self._pass(now, shelf)
        self._less(desk, volume)
        desk.out[key] = Attempt(volume, units, now, first)

    def ended(self, now: float, key: int) -> None:
        """Its attempt is over."""
        shelf, volume, _ = self.where[key]
        desk = self._pass(now, shelf)
        attempt = desk.out.pop(key)
        took = now - attempt.since
        size = (1.0 + attempt.units) / 2.0
        others = sum(attempt.beside.values())
        own = took - others
        usual = self.usual * size if self.usual else own
        # A shelf that serves several at once loses nobody time up to the usual: that much is its own work.
        mine = max(own, min(took, usual))
        for volume_, ms in attempt.beside.items():
            self._add(volume, volume_, ms * (took - mine) / others if others else 0.0)
        late = max(0.0, mine - usual)
        beyond = late / took if took > 0 else 0.0
        for waiter, ms in attempt.kept.items():
            self._add(waiter, volume, ms * (1.0 - beyond))
            self._add(waiter, SHELF + shelf, ms * beyond)
        self._add(volume, SELF if attempt.first else AGAIN, mine - late)
        self._add(volume, SHELF + shelf, late)
        each = own / size
        # The lower part of what attempts take: one slow shelf of many must not become what is usual.
        self.usual += FOLLOWS * self.usual * (0.5 if each > self.usual else -0.5) if self.usual else each

    def over(self, now: float, key: int) -> None:
        """The access is over, whatever it was doing."""
        known = self.where.get(key)
        if known is None:
            return
        shelf, volume, _ = known
        desk = self._pass(now, shelf)
        if key in desk.out:
            self.ended(now, key)
        else:
            self._less(desk, volume)
        del self.where[key]

    def answered(self, key: int) -> None:
        """Its attempt ended and nothing more is to come."""
        self.where.pop(key, None)

    def keep(self, shelfs: Container[str]) -> None:
        """Desks of shelfs that nobody knows any more are cleared once they are empty."""
        for name in [n for n, d in self.desks.items() if n not in shelfs and not d.held and not d.out]:
            del self.desks[name]

    # ---- the arithmetic

    def _less(self, desk: Desk, volume: str) -> None:
        desk.held[volume] -= 1
        if not desk.held[volume]:
            del desk.held[volume]

    def _pass(self, now: float, shelf: str) -> Desk:
        """Time has passed at a shelf: each that is held there waited for each that is out, in equal parts."""
        desk = self.desks.setdefault(shelf, Desk(at=now))
        passed, desk.at = now - desk.at, now
        if passed <= 0:
            return desk
        parts = len(desk.out)
        for attempt in desk.out.values() if parts > 1 else ():
            for other in desk.out.values():
                if other is not attempt:
                    attempt.beside[other.volume] = attempt.beside.get(other.volume, 0.0) + passed / parts
        for volume, count in desk.held.items():
            ms = passed * count
            if not desk.out:
                self._add(volume, HEAD, ms)
                continue
            for attempt in desk.out.values():
                attempt.kept[volume] = attempt.kept.get(volume, 0.0) + ms / len(desk.out)
        return desk

    def _add(self, volume: str, cause: str, ms: float) -> None:
        if ms <= 0:
            return
        pair = (volume, cause)
        if pair not in self.waits and len(self.waits) >= self.most:
            least = sorted(self.waits, key=lambda p: (self.waits[p], p))[: max(1, self.most // 4)]
            for old in least:
                left = self.waits.pop(old)
                into = (old[0] if old[1] != OTHERS else OTHERS, OTHERS)
                self.waits[into] = self.waits.get(into, 0.0) + left
        self.waits[pair] = self.waits.get(pair, 0.0) + ms

    # ---- what is known

    def why(self, volume: str) -> list[Share]:
        """Where a volume's time went, the largest part first. An attempt that is still out is not in it yet."""
        rows = [(cause, ms) for (v, cause), ms in self.waits.items() if v == volume]
        whole = sum(ms for _, ms in rows) or 1.0
        return [Share(cause, ms, ms / whole) for cause, ms in sorted(rows, key=lambda r: (-r[1], r[0]))]

    def words(self, volume: str) -> list[str]:
        """The same in plain words."""
        count = self.count.get(volume, 0)
        shares = self.why(volume)
        if not shares:
            return [f"volume {volume}: nothing of it has ended here yet"]
        lines = [f"volume {volume}: {count} accesses, {sum(s.ms for s in shares) / max(1, count):.0f} ms each"]
        for share in shares[:8]:
            if share.cause == SELF:
                text = "its own work at its shelfs, as long as such work usually takes"
            elif share.cause == AGAIN:
                text = "its own further trips"
            elif share.cause == HEAD:
                text = "held here with nothing out: its plan's limit, a cold shelf, or a slot that was kept"
            elif share.cause.startswith(SHELF):
                text = f"{share.cause}, beyond what such trips usually take"
            elif share.cause == volume:
                text = "waiting behind its own accesses"
            else:
                text = f"waiting behind volume {share.cause}" if share.cause != OTHERS else "waiting behind others"
            lines.append(f"  {share.part:4.0%}  {share.ms / max(1, count):8.1f} ms each  {text}")
        return lines
