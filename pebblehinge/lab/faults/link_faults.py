"""What holds between two ends now, by the faults that are under way. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

from pebblehinge.lab.faults.script import BOTH, KINDS, ONE, Fault


@dataclass(slots=True)
class LinkState:
    """One direction, from one end to another: as bad as the worst that holds for it."""

    blocked: bool = False  # nothing passes; bytes stand
    delay_ms: float = 0.0
    rate: float = 0.0  # bytes a second; 0: no bound
    lose: float = 0.0  # chance of a datagram to be lost
    repeat: float = 0.0  # chance of a datagram to come twice

    @property
    def sound(self) -> bool:
        return not (self.blocked or self.delay_ms or self.rate or self.lose or self.repeat)


HEALTHY_LINK = LinkState()


class LinkFaults:
    """All faults under way that strike ways. `changed` names the directions that a call altered."""

    def __init__(self) -> None:
        self.under_way: dict[tuple[str, str], list[Fault]] = {}
        self.held: dict[tuple[str, str], LinkState] = {}

    @staticmethod
    def pairs(fault: Fault) -> list[tuple[str, str]]:
        """The directions that a fault strikes, each once, in order."""
        there = [(a, b) for a in fault.some for b in fault.others if a != b]
        back = [(b, a) for a, b in there] if KINDS[fault.kind][0] == BOTH else []
        return list(dict.fromkeys(there + back))

    def begin(self, fault: Fault) -> list[tuple[str, str]]:
        """A fault of a way begins; returns the directions it strikes."""
        assert KINDS[fault.kind][0] in (BOTH, ONE) and KINDS[fault.kind][2]
        for pair in self.pairs(fault):
            self.under_way.setdefault(pair, []).append(fault)
            self._reckon(pair)
        return self.pairs(fault)

    def end(self, fault: Fault) -> list[tuple[str, str]]:
        """It ends; one that is not under way changes nothing."""
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
