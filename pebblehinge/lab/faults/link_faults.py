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
    def is_healthy(self) -> bool:
        return not (self.blocked or self.delay_ms or self.rate or self.lose or self.repeat)


HEALTHY_LINK = LinkState()


class LinkFaults:
    """The active faults of links. `begin` and `end` return the directions that the fault affects."""

    def __init__(self) -> None:
        self.active_faults: dict[tuple[str, str], list[Fault]] = {}
        self.states: dict[tuple[str, str], LinkState] = {}

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
            self.active_faults.setdefault(pair, []).append(fault)
            self._update_state(pair)
        return self.pairs(fault)

    def end(self, fault: Fault) -> list[tuple[str, str]]:
        """Removes a fault and returns its directions; an inactive fault changes nothing."""
        for pair in self.pairs(fault):
            rows = self.active_faults.get(pair, [])
            if fault in rows:
                rows.remove(fault)
            self._update_state(pair)
        return self.pairs(fault)

    def _update_state(self, pair: tuple[str, str]) -> None:
        rows = self.active_faults.get(pair)
        if not rows:
            self.active_faults.pop(pair, None)
            self.states.pop(pair, None)
            return
        state = self.states[pair] = LinkState()
        for f in rows:
            if f.kind in ("cut", "silent"):
                state.blocked = True
            elif f.kind == "delay":
                state.delay_ms = max(state.delay_ms, f.by)
            elif f.kind == "slow":
                state.rate = min(state.rate or f.by, f.by)
            elif f.kind == "lose":
                state.lose = max(state.lose, f.by)
            else:
                state.repeat = max(state.repeat, f.by)

    def between(self, source: str, to: str) -> LinkState:
        return self.states.get((source, to), HEALTHY_LINK)
