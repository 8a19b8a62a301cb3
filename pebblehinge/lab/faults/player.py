"""Applies the steps of a fault script to a target, real or in memory, and counts what each line affected."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.lab.faults.link_faults import LinkFaults, LinkState
from pebblehinge.lab.faults.script import KINDS, PROCESS, Fault, Step, steps, write


class FaultTarget(Protocol):
    """A fleet that takes faults. Names are those of the script; processes that are not up are skipped."""

    def is_up(self, name: str) -> bool: ...
    async def kill(self, name: str) -> None: ...  # SIGKILL
    async def restart(self, name: str) -> None: ...  # restarts with its present folder
    async def freeze(self, name: str) -> None: ...  # SIGSTOP
    async def resume(self, name: str) -> None: ...
    def copy_folder(self, name: str, mark: str) -> None: ...  # copies its folder
    def restore_folder(self, name: str, mark: str) -> None: ...  # restores that copy; "" for an empty folder
    def set_link(self, source: str, to: str, state: LinkState) -> None: ...
    def count_attempts(self, source: str, to: str) -> int: ...  # total attempts to send
    def reset(self, a: str, b: str) -> int: ...  # returns the number of connections
    def half_open(self, a: str, b: str) -> int: ...
    def late_ms(self) -> float: ...  # maximum delay added by the target itself
    def set_local_fault(
        self, name: str, kind: str, by: float | None
    ) -> None: ...  # clock or disk; None: ends the fault


class FleetFaultTarget:
    """Process faults that all targets inject alike, by the steps of a day, which record them."""

    fleet: Any

    def is_up(self, name: str) -> bool:
        return self.fleet.is_up(name)

    async def kill(self, name: str) -> None:
        await self.fleet.run_verb("kill", name)

    async def restart(self, name: str) -> None:
        await self.fleet.run_verb("start", name)

    async def freeze(self, name: str) -> None:
        await self.fleet.run_verb("freeze", name)

    async def resume(self, name: str) -> None:
        await self.fleet.run_verb("thaw", name)


class Player:
    """Plays one script. Overlapping faults of one kind at one process end with the last of them."""

    def __init__(
        self, ground: FaultTarget, faults: list[Fault], clock: Callable[[], float], note: Callable[..., None]
    ) -> None:
        self.ground, self.faults, self.clock, self.note = ground, faults, clock, note
        self.ways = LinkFaults()
        self.hit_counts = dict.fromkeys(faults, 0)
        self.active_faults: dict[tuple[str, str], list[Fault]] = {}  # active process faults, by name and kind

    async def play(self, start_ms: float) -> None:
        """Applies each step at its time after the start, on the given clock."""
        doing = []
        for step in steps(self.faults):
            await asyncio.sleep(max(0.0, (start_ms + step.at_ms - self.clock()) / 1000.0))
            doing.append(asyncio.ensure_future(self.apply(step)))
            await asyncio.sleep(0)  # runs up to its first wait before the next step begins
        await asyncio.gather(*doing)

    def idle(self) -> list[str]:
        """Returns the lines that affected nothing."""
        return [write([f]).strip() for f, count in self.hit_counts.items() if not count]

    async def apply(self, step: Step) -> None:
        fault = step.fault
        self.note(self.clock(), "fault", what=step.what, line=write([fault]).strip())
        if step.what == "copy":
            for name in fault.some:
                self.ground.copy_folder(name, self._mark(fault))
        elif KINDS[fault.kind][0] == PROCESS:
            for name in fault.some:
                await self._process(step.what, name, fault)
        elif not KINDS[fault.kind][2]:
            call = self.ground.reset if fault.kind == "reset" else self.ground.half_open
            for a in fault.some:
                for b in fault.others:
                    self.note(self.clock(), "cut off", a=a, b=b)
                    self.hit_counts[fault] += call(a, b)
        else:
            self._way(step.what, fault)

    # ---- links

    def _way(self, what: str, fault: Fault) -> None:
        tried = sum(self.ground.count_attempts(a, b) for a, b in LinkFaults.pairs(fault))
        self.hit_counts[fault] += tried if what == "end" else -tried  # attempts to send during the fault
        for a, b in self.ways.begin(fault) if what == "begin" else self.ways.end(fault):
            state = self.ways.between(a, b)
            self.note(
                self.clock(),
                "way",
                a=a,
                b=b,
                held=not state.is_healthy,
                blocked=state.blocked,
                delay=state.delay_ms,
                rate=state.rate,
            )
            self.ground.set_link(a, b, state)

    # ---- processes

    def _mark(self, fault: Fault) -> str:
        return f"{fault.at_ms:g}-{fault.old_ms:g}" if fault.folder == "old" else ""

    async def _process(self, what: str, name: str, fault: Fault) -> None:
        rows = self.active_faults.setdefault((name, fault.kind), [])
        if what == "begin":
            rows.append(fault)
            self.hit_counts[fault] += self.ground.is_up(name)
        elif fault in rows:
            rows.remove(fault)
        if fault.kind == "kill":
            if what == "begin":
                await self.ground.kill(name)
                if fault.folder and not self.ground.is_up(name):
                    self.ground.restore_folder(name, self._mark(fault))
            elif not rows:
                await self.ground.restart(name)
                self._settle(name)
        elif fault.kind == "freeze":
            if what == "begin":
                await self.ground.freeze(name)
            elif not rows:
                await self.ground.resume(name)
        else:
            self.ground.set_local_fault(name, fault.kind, rows[-1].by if rows else None)
            if not rows and not self.ground.is_up(name) and not self.active_faults.get((name, "kill")):
                # A process that can't write logs that and exits; its supervisor restarts it once the disk works.
                await self.ground.restart(name)
                self._settle(name)

    def _settle(self, name: str) -> None:
        """Applies the active faults of a name to its new process."""
        for (of, kind), rows in self.active_faults.items():
            if of == name and rows and kind not in ("kill", "freeze"):
                self.ground.set_local_fault(name, kind, rows[-1].by)


def script_report(player: Player) -> dict[str, Any]:
    """Returns what a script affected, for a report."""
    return {
        "scripted": len(player.faults),
        "struck": sum(1 for n in player.hit_counts.values() if n),
        "idle": player.idle(),
        "relay_late_ms": round(player.ground.late_ms(), 1),
    }
