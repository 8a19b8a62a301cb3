"""A fleet of processes on loopback addresses; a day may kill them with SIGKILL."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections.abc import Callable
from pathlib import Path

from pebblehinge.event_log import EventLog
from pebblehinge.lab.days import DayError
from pebblehinge.lab.faults.ground import ProcessFaultTarget, names_by_address
from pebblehinge.lab.faults.player import FaultTarget
from pebblehinge.lab.faults.script import Fault
from pebblehinge.lab.lab_fleet import LabFleet
from pebblehinge.settings import Config, render_settings


def monotonic_ms() -> float:
    """Returns the monotonic clock in ms, which all processes of one machine share."""
    return time.monotonic() * 1000.0


def own_loopback() -> str:
    """Returns a loopback address derived from the process id, so that no other running day on this machine uses it."""
    pid = os.getpid()
    return f"127.{20 + pid // 62500 % 200}.{pid // 250 % 250}.{1 + pid % 250}"


class ProcessFleet(LabFleet):
    """A fleet whose gateways, storage nodes, loads and discovery server are processes of this command line."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        path: Path,
        day: str,
        seed: int,
        folder: Path,
        loopback: str,
        report_progress: Callable[[str], None],
        script: list[Fault] | None = None,
    ) -> None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise DayError(f"records: {folder} can't be created ({error.strerror})") from None
        super().__init__(
            loop, monotonic_ms, config, day, seed, EventLog(folder, "lab", loop.call_soon), report_progress, script
        )
        self.path, self.folder, self.loopback = path, folder, loopback
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.logs = (folder / "processes.log").open("ab")
        self.incarnations: dict[str, int] = {}
        self.state = folder / "state"  # a folder for each gateway and member
        self.fault_ground = ProcessFaultTarget(self, loop, names_by_address(config), seed, folder / "copies")
        (folder / "day.conf").write_text("\n".join(render_settings(config)) + "\n")

    def _command(self, role: list[str], name: str, *extra_arguments: str) -> list[str]:
        base = [*role, str(self.path)]
        return [
            *base,
            *(["--name", name] if name else []),
            "--loopback",
            self.loopback,
            "--records",
            str(self.folder),
            *extra_arguments,
        ]

    async def _spawn(self, name: str, arguments: list[str]) -> asyncio.subprocess.Process:
        """Starts a process and waits for the line that reports it ready."""
        with self.fault_ground.control(name) as (command, passed_fds):
            process = await asyncio.create_subprocess_exec(
                *command(arguments),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=self.logs,
                pass_fds=passed_fds,
            )
        self.processes[name] = process
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), 30.0)
        if not line.startswith(b"ready"):
            await process.wait()
            raise DayError(f"{name} did not start: see {self.folder / 'processes.log'}")
        return process

    def ground(self) -> FaultTarget:
        return self.fault_ground

    async def start_all(self) -> None:
        if self.script is not None:
            await self.fault_ground.start(self.loopback)
        await asyncio.gather(*(self.start_one(name, False) for name in self.config.member))
        await self._spawn("listing", self._command(["discovery"], "", "--seed", str(self.seed)))
        await asyncio.gather(*(self.start_one(name, False) for name in self.config.shelf))
        await asyncio.gather(*(self.start_one(name, False) for name in self.config.head))

    async def start_one(self, name: str, cold: bool) -> None:
        if name in self.config.member:
            is_first_start = not (self.state / name).exists()
            arguments = [
                "group",
                str(self.path),
                "--name",
                name,
                "--loopback",
                self.loopback,
                "--store",
                str(self.state / name),
                "--seed",
                str(self.seed),
                *(["--begin"] if is_first_start else []),
            ]
            await self._spawn(name, arguments)
            return
        if name in self.config.head:
            # A restarted gateway gets a new seed: it assumes no state and no random draws of its last incarnation.
            incarnation = self.incarnations[name] = self.incarnations.get(name, -1) + 1
            capture = str(self.folder / f"{name}.{incarnation}.capture")
            extra_arguments = ["--seed", str(self.seed * 1000 + incarnation), "--capture", capture]
            if self.script is not None:
                extra_arguments += ["--store", str(self.state), "--agreed", str(self.state / name / "agreed")]
            await self._spawn(name, self._command(["gateway"], name, *extra_arguments))
            return
        extra_arguments = ["--seed", str(self.seed), "--store", str(self.folder / "store")]
        extra_arguments += ["--cold"] if cold else []
        extra_arguments += ["--release", str(self.releases[name])] if self.releases.get(name) else []
        await self._spawn(name, self._command(["storage-node"], name, *extra_arguments))

    async def run_load(self, part: int, parts: int, start_ms: float) -> float:
        name = f"load{part + 1}"
        process = await self._spawn(
            name,
            self._command(
                ["lab", "load"],
                "",
                "--day",
                self.day,
                "--seed",
                str(self.seed),
                "--part",
                str(part),
                "--parts",
                str(parts),
                "--start",
                f"{start_ms:.3f}",
            ),
        )
        assert process.stdout is not None
        output = await process.stdout.read()
        code = await process.wait()
        if code != 0:
            raise DayError(f"{name} ended with {code}: see {self.folder / 'processes.log'}")
        return float(json.loads(output)["late_ms"])

    def is_up(self, name: str) -> bool:
        process = self.processes.get(name)
        return process is not None and process.returncode is None

    async def kill_one(self, name: str) -> None:
        self.processes[name].kill()
        await self.processes[name].wait()

    async def stop_one(self, name: str) -> int:
        self.processes[name].terminate()
        return await self.processes[name].wait()

    def freeze_one(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw_one(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGCONT)

    async def stop_all(self) -> None:
        for group in (list(self.config.head), list(self.config.shelf), ["listing"], list(self.config.member)):
            running = [name for name in group if self.is_up(name)]
            for name in running:
                self.processes[name].terminate()
            for name in running:
                try:
                    code = await asyncio.wait_for(self.processes[name].wait(), 15.0)
                    if code != 0:
                        self.faults.append(f"{name} ended with {code} at the day's end")
                except TimeoutError:
                    self.processes[name].kill()
                    self.faults.append(f"{name} did not stop")

    def abandon(self) -> None:
        """Kills every process at once, by its own id, when the day is over or can not continue."""
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
        self.logs.close()
        self.fault_ground.close()
