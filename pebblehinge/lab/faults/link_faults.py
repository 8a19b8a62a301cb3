"""State of the link between two processes under the active faults. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

from pebblehinge.lab.faults.script import BOTH, KINDS, ONE, Fault


@dataclass(slots=True)
class LinkState:
    """State of one direction of a link: the worst of each kind of its active faults."""

    blocked: bool = False  # nothing passes; bytes are held back
    delay_ms: float = 0.0
    rate: float = 0.0  # bytes per second; 0: unlimited
    lose: float = 0.0  # probability that a datagram is lost
    repeat: float = 0.0  # probability that a datagram arrives twice

    @property
    def sound(self) -> bool:
        return not (self.blocked or self.delay_ms or self.rate or self.lose or self.repeat)


HEALTHY_LINK = LinkState()


class LinkFaults:
    """The active faults of links. `begin` and `end` return the directions that the fault affects."""

    def __init__(self) -> None:
        self.under_way: dict[tuple[str, str], list[Fault]] = {}
        self.held: dict[tuple[str, str], LinkState] = {}

    @staticmethod
    def pairs(fault: Fault) -> list[tuple[str, str]]:
        """Returns the directions that a fault affects, each once, in order."""
        there = [(a, b) for a in fault.some for b in fault.others if a != b]
        back = [(b, a) for a, b in there] if KINDS[fault.kind][0] == BOTH else []
        return list(dict.fromkeys(there + back))

    def begin(self, fault: Fault) -> list[tuple[str, str]]:
        """Adds a fault of a link and returns the directions that it affects."""
        assert KINDS[fault.kind][0] in (BOTH, ONE) and KINDS[fault.kind][2]
        for pair in self.pairs(fault):
            self.under_way.setdefault(pair, []).append(fault)
            self._reckon(pair)
        return self.pairs(fault)

    def end(self, fault: Fault) -> list[tuple[str, str]]:
        """Removes a fault and returns its directions; an inactive fault changes nothing."""
        for pair in self.pairs(fault):
            rows = self.under_way.get(pair, [])
            if fault in rows:
                rows.remove(fault)
            self._reckon(pair)
        return self.pairs(fault)

    def _reckon(self, pair: tuple[str, str]) -> None:
        rows = self.under_way.get(pair)
        if not rows:
            self.under_way.pop(pair, None)
            self.held.pop(pair, None)
            return
        held = self.held[pair] = LinkState()
        for f in rows:
            if f.kind in ("cut", "silent"):
                held.blocked = True
            elif f.kind == "delay":
                held.delay_ms = max(held.delay_ms, f.by)
            elif f.kind == "slow":
                held.rate = min(held.rate or f.by, f.by)
            elif f.kind == "lose":
                held.lose = max(held.lose, f.by)
            else:
                held.repeat = max(held.repeat, f.by)

    def between(self, source: str, to: str) -> LinkState:
        return self.held.get((source, to), HEALTHY_LINK)
