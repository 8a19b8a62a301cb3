"""Fault target of real processes: a relay between them, a launcher for each, and copies of their folders."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Protocol

from pebblehinge.lab.faults.link_faults import LinkState
from pebblehinge.lab.faults.player import FleetFaultTarget
from pebblehinge.lab.faults.relay import Relay
from pebblehinge.lab.fleet import release_address
from pebblehinge.settings import Config

RELEASES = 8  # addresses of successive processes of a node that map to the node's name


def names_by_address(config: Config) -> dict[str, str]:
    """Returns the name of the process behind each listening address."""
    found = {config.listing.listen: "listing"}
    for blocks in (config.head, config.member):
        found |= {block.listen: name for name, block in blocks.items()}
    for name, shelf in config.shelf.items():
        found |= {release_address(config, shelf.listen, n): name for n in range(RELEASES)}
    return found


class Fleet(Protocol):
    """What a target uses of its fleet of processes."""

    script: Any
    processes: dict[str, asyncio.subprocess.Process]
    frozen: set[str]
    state: Path

    def is_up(self, name: str) -> bool: ...
    async def run_verb(self, verb: str, name: str) -> None: ...


class ProcessFaultTarget(FleetFaultTarget):
    """Injects faults into processes. Without a script, processes start directly, with no launcher or relay."""

    def __init__(
        self, fleet: Fleet, loop: asyncio.AbstractEventLoop, names: dict[str, str], seed: int, copies: Path
    ) -> None:
        self.fleet, self.loop, self.copies = fleet, loop, copies
        self.relay = Relay(loop, names, seed)
        self.controls: dict[str, int] = {}

    async def start(self, host: str) -> None:
        await self.relay.start(host)

    def close(self) -> None:
        if self.relay.server is not None:
            self.relay.close()
        for descriptor in self.controls.values():
            os.close(descriptor)
        self.controls.clear()

    @contextmanager
    def control(self, name: str) -> Iterator[tuple[Callable[[list[str]], list[str]], tuple[int, ...]]]:
        """Yields a function that builds a process's command line from its arguments, and the descriptors to pass on."""
        if self.fleet.script is None:
            yield lambda words: [sys.executable, "-m", "pebblehinge", *words], ()
            return
        theirs, ours = os.pipe()
        old = self.controls.pop(name, None)
        if old is not None:
            os.close(old)
        self.controls[name] = ours
        where = {"name": name, "relay": self.relay.address, "datagrams": self.relay.datagrams, "control": theirs}
        launcher = [sys.executable, "-m", "pebblehinge.lab.faults.process_environment", json.dumps(where), "--"]
        try:
            yield lambda words: [*launcher, *words], (theirs,)
        finally:
            os.close(theirs)

    # ---- folders, clocks, disks

    def copy_folder(self, name: str, mark: str) -> None:
        """Copies a folder while its process is stopped, so that the copy is what a crash could have left."""
        stops = self.is_up(name) and name not in self.fleet.frozen
        if stops:
            self.fleet.processes[name].send_signal(signal.SIGSTOP)
            self._wait_until_stopped(self.fleet.processes[name].pid)
        try:
            if (self.fleet.state / name).exists():
                shutil.copytree(self.fleet.state / name, self.copies / name / mark, dirs_exist_ok=True)
        finally:
            if stops:
                self.fleet.processes[name].send_signal(signal.SIGCONT)

    @staticmethod
    def _wait_until_stopped(pid: int) -> None:
        """Waits until SIGSTOP takes effect; at most about 0.1 s where the system does not report it."""
        for _ in range(100):
            try:
                if Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] in ("T", "Z"):
                    return
            except OSError:
                pass
            time.sleep(0.001)

    def restore_folder(self, name: str, mark: str) -> None:
        folder, copied = self.fleet.state / name, self.copies / name / mark
        shutil.rmtree(folder, ignore_errors=True)
        if mark and copied.exists():
            shutil.copytree(copied, folder)

    def set_local_fault(self, name: str, kind: str, by: float | None) -> None:
        if name in self.controls and self.is_up(name):
            try:
                os.write(self.controls[name], f"{kind} {'' if by is None else by}\n".encode())
            except BrokenPipeError:
                pass  # the process has just ended

    # ---- links

    def set_link(self, source: str, to: str, state: LinkState) -> None:
        self.relay.set_link(source, to, state)

    def count_attempts(self, source: str, to: str) -> int:
        return self.relay.count[(source, to)]

    def reset(self, a: str, b: str) -> int:
        return self.relay.reset(a, b)

    def half_open(self, a: str, b: str) -> int:
        return self.relay.half_open(a, b)

    def late_ms(self) -> float:
        return self.relay.late_ms
