"""The fleet of a scale run: the laboratory's stage of processes, with counting under each, and hollow ones."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from pebblehinge.lab.days import DayError
from pebblehinge.lab.faults.ground import ProcessFaultTarget, names_by_address
from pebblehinge.lab.faults.player import Player
from pebblehinge.lab.faults.script import Fault
from pebblehinge.lab.processes import ProcessFleet
from pebblehinge.settings import Config
from scale.bounds import HEADS_EACH, SHELFS_EACH
from scale.settings import REAL_SHELFS, hollow_names

LAUNCH = str(Path(__file__).with_name("launch.py"))
REGION_DELAY_MS = 20.0  # each way: 40 ms there and back
LATER_MS = 1e9


class CountedGround(ProcessFaultTarget):
    """Processes are started with counting under them; with regions, what they send passes the relay."""

    regions = False
    counting = True
    figures = Path()

    @contextmanager
    def control(self, name: str) -> Iterator[tuple[Callable[[list[str]], list[str]], tuple[int, ...]]]:
        where: dict[str, Any] = {"name": name, "folder": str(self.figures), "counting": self.counting}
        if self.regions:
            where |= {"relay": self.relay.address, "datagrams": self.relay.datagrams}
        yield lambda words: [sys.executable, LAUNCH, json.dumps(where), "--", *words], ()


class ScaleStage(ProcessFleet):
    """`events(stage)` runs beside the load and is what the run is for."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        path: Path,
        seed: int,
        folder: Path,
        loopback: str,
        said: Callable[[str], None],
        heads: int,
        shelfs: int,
        events: Callable[[ScaleStage], Any],
        regions: bool,
        counting: bool,
        spread: int = 0,
        attempts: float = 0.0,
    ) -> None:
        super().__init__(loop, config, path, "struck", seed, folder, loopback, said, [])
        self.heads, self.shelfs, self.events = heads, shelfs, events
        self.figures = folder / "figures"
        self.figures.mkdir()
        self.fault_ground.close()
        self.fault_ground = CountedGround(self, loop, names_by_address(config), seed, folder / "copies")
        self.fault_ground.regions, self.fault_ground.counting, self.fault_ground.figures = (
            regions,
            counting,
            self.figures,
        )
        self.regions, self.spread, self.attempts = regions, spread, attempts
        self.holds: dict[str, list[str]] = {}  # hollow heads by process

    # ---- the fleet

    async def start_all(self) -> None:
        if self.regions:
            await self.fault_ground.start(self.loopback)
            self.player = Player(self.ground(), [], self.clock, self.records.note)
            self._part_regions()
        await self.start_listing()
        await self._hollow_shelfs()
        await asyncio.gather(*(self.start_one(name, False) for name in self.config.shelf))
        await asyncio.gather(*(self.start_one(name, False) for name in self.config.member))
        await asyncio.gather(*(self.start_one(name, False) for name in self.real_heads))
        await self._hollow_heads()

    async def start_listing(self) -> None:
        await self._spawn("listing", self._command(["listing"], "", "--seed", str(self.seed)))

    @property
    def real_heads(self) -> list[str]:
        hollow = set(hollow_names(self.heads))
        return [name for name in self.config.head if name not in hollow]

    def _given(self) -> dict[str, Any]:
        return {"file": str(self.path), "loopback": self.loopback, "seed": self.seed}

    async def _hollow_heads(self) -> None:
        names, starting = hollow_names(self.heads), []
        count = -(-len(names) // HEADS_EACH)
        for n in range(count):
            self.holds[f"heads{n + 1}"] = names[n::count]
            given = {**self._given(), "names": names[n::count], "over_s": max(1.0, self.heads / 200.0)}
            given |= {"spread": self.spread, "trips": self.attempts}
            starting.append(self._spawn_hollow(f"heads{n + 1}", "hollow-heads", given))
        await asyncio.gather(*starting)

    async def _hollow_shelfs(self) -> None:
        numbers = list(range(1, self.shelfs - REAL_SHELFS + 1))
        count = -(-len(numbers) // SHELFS_EACH)
        await asyncio.gather(
            *(
                self._spawn_hollow(f"shelfs{n + 1}", "hollow-shelfs", {**self._given(), "numbers": numbers[n::count]})
                for n in range(count)
            )
        )

    async def _spawn_hollow(self, name: str, role: str, given: dict[str, Any]) -> None:
        with self.fault_ground.control(name) as (command, _):
            process = await asyncio.create_subprocess_exec(
                *command([role, json.dumps(given)]),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=self.logs,
            )
        self.processes[name] = process
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), 60.0)
        if not line.startswith(b"ready"):
            raise DayError(f"{name} did not start: see {self.folder / 'processes.log'}")

    def tell(self, name: str, **said: Any) -> None:
        """A line to a process of hollow heads."""
        stdin = self.processes[name].stdin
        assert stdin is not None
        stdin.write(json.dumps(said).encode() + b"\n")

    async def stop_all(self) -> None:
        hollow = [n for n in self.processes if n.startswith(("heads", "shelfs"))]
        for name in hollow:
            if self.is_up(name):
                self.processes[name].terminate()
        await asyncio.gather(*(self.processes[name].wait() for name in hollow))
        await super().stop_all()

    async def _play_script(self, start_ms: float) -> None:
        await self.events(self)

    def pids(self) -> list[int]:
        return [p.pid for p in self.processes.values() if p.returncode is None]

    # ---- regions

    def sides(self) -> tuple[list[str], list[str]]:
        """Two regions: every second of each kind. The list and the first instance stand in the first."""
        hollow_heads = [f"heads{n + 1}" for n in range(-(-len(hollow_names(self.heads)) // HEADS_EACH))]
        hollow_shelfs = [f"shelfs{n + 1}" for n in range(-(-(self.shelfs - REAL_SHELFS) // SHELFS_EACH))]
        first, second = ["listing", "load1"], []
        for group in (list(self.config.member), self.real_heads, list(self.config.shelf), hollow_heads, hollow_shelfs):
            first, second = first + group[::2], second + group[1::2]
        return first, second

    def _part_regions(self) -> None:
        first, second = self.sides()
        for a, b in ((first, second), (second, first)):
            self.way("begin", Fault(0.0, "delay", tuple(a), tuple(b), REGION_DELAY_MS, LATER_MS))

    def way(self, what: str, fault: Fault) -> None:
        """A fault between processes begins or ends now, with its records."""
        assert self.player is not None
        self.player.hit_counts.setdefault(fault, 0)
        self.player._way(what, fault)
