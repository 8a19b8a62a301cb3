"""Runs the steps of a day on a fleet of processes (`processes`) or in virtual time (`simulated_fleet`)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from pebblehinge.event_log import EventLog
from pebblehinge.lab.control import control
from pebblehinge.lab.days import DayError, Step, timeline
from pebblehinge.lab.faults.player import FaultTarget, Player, script_report
from pebblehinge.lab.faults.script import Fault
from pebblehinge.lab.fleet import release_address
from pebblehinge.lab.proposer import Proposer
from pebblehinge.settings import Config


class LabFleet:
    """Base class of the fleets: the course of a day and the laboratory's own records. Subclasses run the fleet."""

    def __init__(
        self,
        loop: Any,
        clock: Callable[[], float],
        config: Config,
        day: str,
        seed: int,
        records: Any,
        report_progress: Callable[[str], None],
        script: list[Fault] | None = None,
    ) -> None:
        self.loop, self.clock, self.config, self.day, self.seed = loop, clock, config, day, seed
        self.records: EventLog = records
        self.report_progress = report_progress
        self.releases: dict[str, int] = {}
        self.frozen: set[str] = set()
        self.faults: list[str] = []
        self.script = script  # faults between processes and in them; None: fault injection is off
        self.player: Player | None = None

    # ---- implemented by subclasses; names are those of the settings' shelf and head blocks

    async def start_all(self) -> None: ...
    async def start_one(self, name: str, cold: bool) -> None: ...
    async def run_load(self, part: int, parts: int, start_ms: float) -> float: ...
    async def kill_one(self, name: str) -> None: ...
    async def stop_one(self, name: str) -> int: ...
    async def stop_all(self) -> None: ...
    def freeze_one(self, name: str) -> None: ...
    def thaw_one(self, name: str) -> None: ...
    def is_up(self, name: str) -> bool: ...

    # ---- the day

    async def play(self) -> dict[str, Any]:
        """Runs the whole day; returns the laboratory's results."""
        block = self.config.day[self.day]
        steps = timeline(self.config, self.day, self.seed)
        await self.start_all()
        self.report_progress(f"{len(self.config.head)} heads, {len(self.config.shelf)} shelfs and the list are up")
        parts = self.config.load.processes
        start_ms = self.clock() + max(block.settle, 1500.0)
        self.records.note(start_ms, "begin", day=self.day, seed=self.seed, length=block.length)
        progress = self.loop.create_task(self._progress(start_ms, block.length))
        loads = [self.run_load(part, parts, start_ms) for part in range(parts)]
        try:
            *lateness, _, _ = await asyncio.gather(
                *loads, self._run_steps(steps, start_ms), self._play_script(start_ms)
            )
        finally:
            progress.cancel()
        self.records.note(self.clock(), "end")
        if self.player is not None:
            self.records.note(self.clock(), "relay", late=self.ground().late_ms())
        for name in sorted(self.frozen):
            await self._thaw(name, {})
        await self.stop_all()
        self.records.close()
        results = {"start_ms": start_ms, "late_ms": max(lateness), "faults": self.faults}
        return results if self.player is None else {**results, "script": script_report(self.player)}

    async def _run_steps(self, steps: list[Step], start_ms: float) -> None:
        running_steps = []
        for step in steps:
            await asyncio.sleep(max(0.0, (start_ms + step.at_ms - self.clock()) / 1000.0))
            running_steps.append(self.loop.create_task(self._run_step(step)))
        await asyncio.gather(*running_steps)

    def ground(self) -> FaultTarget:
        """Returns the environment in which a fault script is played."""
        raise DayError("no script of faults can be played here")

    async def _play_script(self, start_ms: float) -> None:
        """Plays the fault script; in a fleet with a replicated group, proposes changes to it meanwhile."""
        if self.script is None:
            return
        self.player = Player(self.ground(), self.script, self.clock, self.records.note)
        running = [self.player.play(start_ms)]
        if self.config.member:
            note = self.records.note
            proposer = Proposer(self.loop, self.config, self.seed, lambda e, **v: note(self.clock(), e, **v))
            await asyncio.sleep(max(0.0, (start_ms - self.clock()) / 1000.0))
            running.append(proposer.run(self.config.day[self.day].length))
        await asyncio.gather(*running)
        if self.config.member:
            self.faults += await proposer.wrong()

    async def run_verb(self, verb: str, name: str) -> None:
        """Applies one action to one process and records it, as a step of a day does."""
        await getattr(self, "_" + verb)(name, {"cold": name in self.config.shelf} if verb == "start" else {})

    async def _progress(self, start_ms: float, length: float) -> None:
        while True:
            elapsed_ms = self.clock() - start_ms
            self.report_progress(f"{max(0.0, elapsed_ms) / 1000:.0f} s of {length / 1000:.0f} s")
            await asyncio.sleep(5.0)

    async def _run_step(self, step: Step) -> None:
        values = dict(step.values)
        self.records.note(self.clock(), "step", verb=step.verb, target=step.target, values=values, trouble=step.trouble)
        try:
            await getattr(self, "_" + step.verb)(step.target, values)
        except (OSError, TimeoutError) as error:
            # A stand-in that is down can't be sent its fault: this happens where faults of a day overlap.
            self.records.note(self.clock(), "missed", verb=step.verb, target=step.target, why=str(error))
        except DayError as error:
            self.faults.append(str(error))

    async def _kill(self, name: str, _: dict[str, Any]) -> None:
        if self.is_up(name):
            self.frozen.discard(name)
            # Recorded first: a client may see the closed socket before this process runs again.
            self.records.note(self.clock(), "killed", name=name)
            await self.kill_one(name)

    async def _start(self, name: str, values: dict[str, Any]) -> None:
        if not self.is_up(name):
            await self.start_one(name, bool(values.get("cold")))
            self.records.note(self.clock(), "started", name=name)

    async def _freeze(self, name: str, _: dict[str, Any]) -> None:
        if self.is_up(name) and name not in self.frozen:
            self.frozen.add(name)
            self.records.note(self.clock(), "frozen", name=name)
            self.freeze_one(name)

    async def _thaw(self, name: str, _: dict[str, Any]) -> None:
        if name in self.frozen:
            self.frozen.discard(name)
            self.thaw_one(name)
            self.records.note(self.clock(), "thawed", name=name)

    async def _stop(self, name: str, _: dict[str, Any]) -> None:
        if not self.is_up(name):
            return
        self.records.note(self.clock(), "told to stop", name=name)
        code = await self.stop_one(name)
        self.records.note(self.clock(), "stopped", name=name, code=code)
        if code != 0:
            self.faults.append(f"{name} ended with {code} when told to stop")

    async def _control(self, name: str, values: dict[str, Any]) -> None:
        await self._send_control(name, self._address(name), values)

    async def _list(self, _: str, values: dict[str, Any]) -> None:
        await self._send_control("listing", self.config.listing.listen, values)

    async def _send_control(self, name: str, address: str, values: dict[str, Any]) -> None:
        response = await control(address, values.pop("verb"), values, self.loop)
        if response.startswith("no"):
            self.faults.append(f"{name}: {response}")

    async def _release(self, name: str, _: dict[str, Any]) -> None:
        """Stops the drained process and starts a cold one with a new name and address for its slot."""
        await self._stop(name, {})
        self.releases[name] = self.releases.get(name, 0) + 1
        await self.start_one(name, True)
        self.records.note(self.clock(), "started", name=name, release=self.releases[name])

    def _address(self, name: str) -> str:
        return release_address(self.config, self.config.shelf[name].listen, self.releases.get(name, 0))
