"""A fleet of processes on loopback, killed outright where the day says so."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from pebblehinge.lab.control import control
from pebblehinge.lab.days import DayError, Step, timeline
from pebblehinge.records import Records
from pebblehinge.settings import Config, show


def monotonic_ms() -> float:
    """The clock that all processes of one machine share."""
    return time.monotonic() * 1000.0


def own_loopback() -> str:
    """An address of the loopback range that no other day on this machine uses now."""
    pid = os.getpid()
    return f"127.{20 + pid // 62500 % 200}.{pid // 250 % 250}.{1 + pid % 250}"


class Stage:
    """Starts, strikes and ends the processes of one day. `said` gets lines of progress."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: Config, path: Path, day: str, seed: int, folder: Path,
        loopback: str, said: Any,
    ) -> None:  # fmt: skip
        self.loop, self.config, self.path, self.day, self.seed = loop, config, path, day, seed
        self.folder, self.loopback, self.said = folder, loopback, said
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.frozen: set[str] = set()
        self.releases: dict[str, int] = {}
        self.at_slot: dict[str, str] = {}  # a shelf of the day -> the process that stands in its place now
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.records = Records(folder, "lab", loop.call_soon)
        except OSError as error:
            raise DayError(f"records: {folder} can't be made ({error.strerror})") from None
        self.logs = (folder / "processes.log").open("ab")
        self.faults: list[str] = []
        self.heads_up: dict[str, int] = {}

    def _command(self, role: str, name: str, *more: str) -> list[str]:
        base = [sys.executable, "-m", "pebblehinge", role, str(self.path)]
        common = ["--loopback", self.loopback, "--records", str(self.folder)]
        return [*base, *(["--name", name] if name else []), *common, *more]

    async def start(self, name: str, *command: str) -> None:
        """Starts a process and waits for the line that says it is ready."""
        process = await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=self.logs
        )
        self.processes[name] = process
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), 30.0)
        if not line.startswith(b"ready"):
            await process.wait()
            self.logs.flush()
            raise DayError(f"{name} did not start: see {self.folder / 'processes.log'}")

    async def start_all(self) -> None:
        await self.start("listing", *self._command("listing", "", "--seed", str(self.seed)))
        await asyncio.gather(*(self.start_shelf(name, cold=False) for name in self.config.shelf))
        await asyncio.gather(*(self.start_head(name) for name in self.config.head))

    async def start_shelf(self, name: str, cold: bool) -> None:
        more = ["--seed", str(self.seed), "--store", str(self.folder / "store")]
        if cold:
            more.append("--cold")
        if self.releases.get(name):
            more += ["--release", str(self.releases[name])]
        await self.start(name, *self._command("shelf", name, *more))

    async def start_head(self, name: str) -> None:
        # A head that starts again draws anew: nothing of before is assumed, its chance neither.
        up = self.heads_up[name] = self.heads_up.get(name, -1) + 1
        await self.start(name, *self._command("head", name, "--seed", str(self.seed * 1000 + up)))

    # ---- the day

    async def play(self) -> dict[str, Any]:
        """The whole day; what the runner knows of it."""
        block = self.config.day[self.day]
        (self.folder / "day.conf").write_text("\n".join(show(self.config)) + "\n")
        steps = timeline(self.config, self.day, self.seed)
        await self.start_all()
        self.said(f"{len(self.config.head)} heads, {len(self.config.shelf)} shelfs and the list are up")
        parts = self.config.load.processes
        start_ms = monotonic_ms() + max(block.settle, 1500.0)
        self.records.note(start_ms, "begin", day=self.day, seed=self.seed, length=block.length)
        progress = self.loop.create_task(self._progress(start_ms, block.length))
        loads = [self._load(f"load{part + 1}", part, parts, start_ms) for part in range(parts)]
        try:
            *late, _ = await asyncio.gather(*loads, self._strike(steps, start_ms))
        finally:
            progress.cancel()
        self.records.note(monotonic_ms(), "end")
        await self.stop_all()
        return {"start_ms": start_ms, "late_ms": max(late), "faults": self.faults}

    async def _strike(self, steps: list[Step], start_ms: float) -> None:
        doing = []
        for step in steps:
            await asyncio.sleep(max(0.0, (start_ms + step.at_ms - monotonic_ms()) / 1000.0))
            doing.append(self.loop.create_task(self._do(step)))
        await asyncio.gather(*doing)

    async def _load(self, name: str, part: int, parts: int, start_ms: float) -> float:
        command = self._command(
            "lab", "", "--day", self.day, "--seed", str(self.seed), "--part", str(part), "--parts", str(parts),
            "--start", f"{start_ms:.3f}",
        )  # fmt: skip
        command[command.index("lab") : command.index("lab") + 1] = ["lab", "load"]
        await self.start(name, *command)
        process = self.processes[name]
        assert process.stdout is not None
        told = await process.stdout.read()
        code = await process.wait()
        if code != 0:
            raise DayError(f"{name} ended with {code}: see {self.folder / 'processes.log'}")
        return float(json.loads(told)["late_ms"])

    async def _progress(self, start_ms: float, length: float) -> None:
        while True:
            gone = monotonic_ms() - start_ms
            self.said(f"{max(0.0, gone) / 1000:.0f} s of {length / 1000:.0f} s")
            await asyncio.sleep(5.0)

    async def _do(self, step: Step) -> None:
        self.records.note(
            monotonic_ms(), "step", verb=step.verb, target=step.target, values=step.values, trouble=step.trouble
        )
        try:
            await getattr(self, "_" + step.verb)(step.target, dict(step.values))
        except (OSError, TimeoutError) as error:
            # A stand-in that is down can't be told of its trouble: overlapping days bring that about.
            self.records.note(monotonic_ms(), "missed", verb=step.verb, target=step.target, why=str(error))
        except DayError as error:
            self.faults.append(str(error))

    async def _kill(self, name: str, _: dict[str, Any]) -> None:
        process = self.processes[name]
        if process.returncode is None:
            process.kill()
            self.frozen.discard(name)
            self.records.note(monotonic_ms(), "killed", name=name)
            await process.wait()

    async def _start(self, name: str, values: dict[str, Any]) -> None:
        if self.processes[name].returncode is None:
            return
        if name in self.config.head:
            await self.start_head(name)
        else:
            await self.start_shelf(name, bool(values.get("cold")))
        self.records.note(monotonic_ms(), "started", name=name)

    async def _freeze(self, name: str, _: dict[str, Any]) -> None:
        if self.processes[name].returncode is None:
            self.processes[name].send_signal(signal.SIGSTOP)
            self.frozen.add(name)
            self.records.note(monotonic_ms(), "frozen", name=name)

    async def _thaw(self, name: str, _: dict[str, Any]) -> None:
        if name in self.frozen:
            self.frozen.discard(name)
            self.processes[name].send_signal(signal.SIGCONT)
            self.records.note(monotonic_ms(), "thawed", name=name)

    async def _stop(self, name: str, _: dict[str, Any]) -> None:
        process = self.processes[name]
        if process.returncode is None:
            process.terminate()
            self.records.note(monotonic_ms(), "told to stop", name=name)
            code = await process.wait()
            self.records.note(monotonic_ms(), "stopped", name=name, code=code)
            if code != 0:
                self.faults.append(f"{name} ended with {code} when told to stop")

    async def _control(self, name: str, values: dict[str, Any]) -> None:
        said = await control(self._address(name), values.pop("verb"), values, self.loop)
        if said.startswith("no"):
            self.faults.append(f"{name}: {said}")

    async def _list(self, _: str, values: dict[str, Any]) -> None:
        said = await control(self.config.listing.listen, values.pop("verb"), values, self.loop)
        if said.startswith("no"):
            self.faults.append(f"listing: {said}")

    async def _release(self, name: str, _: dict[str, Any]) -> None:
        """The drained process goes, another one with a new name and address holds its slot, cold."""
        await self._stop(name, {})
        self.releases[name] = self.releases.get(name, 0) + 1
        await self.start_shelf(name, cold=True)
        self.records.note(monotonic_ms(), "started", name=name, release=self.releases[name])

    def _address(self, name: str) -> str:
        host, _, port = self.config.shelf[name].listen.rpartition(":")
        return f"{host}:{int(port) + 100 * self.releases.get(name, 0)}"

    # ---- the end

    async def stop_all(self) -> None:
        for name in list(self.frozen):
            await self._thaw(name, {})
        for group in (self.config.head, self.config.shelf, {"listing": None}):
            for name in group:
                process = self.processes.get(name)
                if process is not None and process.returncode is None:
                    process.terminate()
            for name in group:
                process = self.processes.get(name)
                if process is None or process.returncode is not None:
                    continue
                try:
                    code = await asyncio.wait_for(process.wait(), 15.0)
                    if code != 0:
                        self.faults.append(f"{name} ended with {code} at the day's end")
                except TimeoutError:
                    process.kill()
                    self.faults.append(f"{name} did not stop")
        self.records.close()

    def abandon(self) -> None:
        """Ends every process at once, by its own id: the day can't go on."""
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
        self.logs.close()
