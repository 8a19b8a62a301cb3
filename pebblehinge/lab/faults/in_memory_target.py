"""Fault target in virtual time: links of the in-memory network, nodes, and disks that lose what was not synced."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.faults.link_faults import LinkState
from pebblehinge.lab.faults.player import FleetFaultTarget
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.replicated_config import VersionApplication
from pebblehinge.replicated_config.activation import config_without_lease
from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.settings import Config
from pebblehinge.store.background import BackgroundRunner, CompletionCallback, run_inline

AGREED = "agreed"  # the file in which a gateway stores its applied version


def clock_of(node: Node) -> Callable[[], float]:
    """Returns the node's own clock, in ms."""
    return lambda: node.time() * 1000.0


def start_config_watcher(
    node: Node,
    clock: Callable[[], float],
    config: Config,
    name: str,
    head: Any,
    disk: FaultyDisk,
    log: Any,
    beside: BackgroundRunner,
) -> ConfigWatcher:
    """Connects a gateway to the configuration group as the command line does, and returns the watcher."""
    floor = config.group.floor
    application = VersionApplication(name, floor)
    if disk.exists(AGREED):
        application = VersionApplication.restore(name, floor, disk.read(AGREED))
    head.apply_config(config_without_lease(config, floor))
    watcher = ConfigWatcher(
        node,
        clock,
        config,
        application,
        lambda new, mode: head.apply_config(new),
        lambda data: disk.replace(AGREED, data),
        log,
        beside,
    )
    watcher.start()
    return watcher


class Fleet(Protocol):
    nodes: dict[str, Node]

    def is_up(self, name: str) -> bool: ...
    async def run_verb(self, verb: str, name: str) -> None: ...


class InMemoryFaultTarget(FleetFaultTarget):
    def __init__(self, fleet: Fleet, world: VirtualLoop) -> None:
        self.fleet, self.world = fleet, world
        self.disks: dict[str, FaultyDisk] = {}
        self.copies: dict[tuple[str, str], FaultyDisk] = {}
        self.walls: dict[str, float] = {}
        self.slow: dict[str, float] = {}  # duration of each write, ms

    def disk(self, name: str, seed: int) -> FaultyDisk:
        if name not in self.disks:
            self.disks[name] = FaultyDisk(random.Random(f"{seed}/{name}"))
        return self.disks[name]

    def beside(self, name: str) -> BackgroundRunner:
        """Returns a runner of disk calls that complete after the disk's delay, while the node's loop continues."""

        def begin(call: Callable[[], Any], done: CompletionCallback) -> None:
            if name in self.slow:
                self.fleet.nodes[name].call_later(self.slow[name] / 1000.0, end, call, done)
            else:
                run_inline(call, done)

        def end(call: Callable[[], Any], done: CompletionCallback) -> None:
            disk = self.disks[name]
            held, disk.slow = disk.slow, None
            run_inline(call, done)
            disk.slow = held

        return begin

    def wall_of(self, name: str) -> Callable[[], float]:
        """Returns a function that reads the offset of the wall clock, in ms."""
        return lambda: self.walls.get(name, 0.0)

    def killed(self, name: str) -> None:
        if name in self.disks:
            self.disks[name].crash()

    # ---- folders, clocks, disks

    def copy_folder(self, name: str, mark: str) -> None:
        if name in self.disks:
            copied = self.copies[(name, mark)] = FaultyDisk(random.Random(f"{name}/{mark}"))
            copied.files, copied.synced = copy.deepcopy((self.disks[name].files, self.disks[name].synced))
            copied.crash()

    def restore_folder(self, name: str, mark: str) -> None:
        old, copied = self.disks.get(name), self.copies.get((name, mark))
        if old is not None:
            old.files, old.synced = ({}, {}) if copied is None else copy.deepcopy((copied.files, copied.synced))

    def set_local_fault(self, name: str, kind: str, by: float | None) -> None:
        if kind == "drift":
            self.fleet.nodes[name].drift(1.0 + (by or 0.0))
        elif kind == "wall":
            self.walls[name] = by or 0.0
        elif name in self.disks and kind == "disk-slow":
            self.disks[name].slow = None if by is None else lambda: self.fleet.nodes[name].busy(by / 1000.0)
            if by is None:
                self.slow.pop(name, None)
            else:
                self.slow[name] = by
        elif name in self.disks:
            self.disks[name].fail = "" if by is None else "append" if kind == "disk-full" else "sync"

    # ---- links

    def set_link(self, source: str, to: str, held: LinkState) -> None:
        net = self.world.net
        way, usual = net.own_link(source, to), net.default_link
        way.blocked, way.rate = held.blocked, held.rate / 1000.0
        way.delay_ms, way.drop_probability, way.duplicate_probability = (
            usual.delay_ms + held.delay_ms,
            held.lose,
            held.repeat,
        )
        for pipe in net.pipes_between(source, to):
            pipe.resume()

    def count_attempts(self, source: str, to: str) -> int:
        return self.world.net.send_counts[(source, to)]

    def reset(self, a: str, b: str) -> int:
        return self.world.net.reset(a, b)

    def half_open(self, a: str, b: str) -> int:
        return self.world.net.half_open(a, b)

    def late_ms(self) -> float:
        return 0.0
