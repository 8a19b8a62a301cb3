"""About a hundred heads in one process: the program's own ways to the group, the node list and shelfs, and no clients.

What they keep over a restart stays in memory, and a version's text is read once for all of them: what reading and
keeping cost a head is seen at the real heads beside them.
"""

from __future__ import annotations

import asyncio
import functools
import json
import random
import sys
from collections import Counter
from typing import Any

import uvloop

from pebblehinge.cli import ms_clock
from pebblehinge.gateway.discovery_link import DiscoveryLink
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind
from pebblehinge.lab.in_memory_logs import WarningLog
from pebblehinge.replicated_config import version_application
from pebblehinge.settings import Config, load
from scale.hollow_links import Attempts

LOOK_S = 0.1


class HollowHead:
    """One head: what it acts on is noted by its watcher, the list's shelfs are kept by name."""

    def __init__(self, loop: Any, config: Config, name: str, given: dict[str, Any]) -> None:
        self.loop, self.config, self.name, self.given, self.seed = loop, config, name, given, given["seed"]
        self.kept = b""
        self.ready: set[str] = set()
        self.lives = self.wholes = 0
        self.watcher: Any = None
        self.listing: DiscoveryLink | None = None
        self.attempts: Attempts | None = None

    def begin(self) -> None:
        """Starts as a process would: on the last version that it kept, without a lease."""
        from pebblehinge.replicated_config.config_watcher import ConfigWatcher

        self.lives += 1
        floor, clock = self.config.group.floor, ms_clock(self.loop)
        application = (
            version_application.VersionApplication.restore(self.name, floor, self.kept)
            if self.kept
            else version_application.VersionApplication(self.name, floor)
        )
        self.watcher = ConfigWatcher(
            self.loop, clock, self.config, application, lambda new, mode: None, self._keep, WarningLog()
        )
        rng = random.Random(f"{self.seed}/{self.name}/{self.lives}")
        self.listing = DiscoveryLink(
            self.loop,
            clock,
            self.name,
            self.config.listing.listen,
            self.config.limits,
            rng,
            self._listed,
            self.config.listing.mode == "ask",
        )
        spread, rate = self.given["spread"], self.given["trips"]
        self.attempts = Attempts(self.loop, clock, self.name, self.config.limits, rng, spread, rate)
        self.watcher.start()
        self.listing.start()

    def kill(self) -> None:
        """As SIGKILL: sockets are reset, nothing is told."""
        for link in (self.watcher, self.listing):
            if link is not None:
                link.closed = True
                if link.connection is not None:
                    link.connection.abort()
                link.close()
        if self.attempts is not None:
            self.attempts.close()
        self.watcher = self.listing = self.attempts = None
        self.ready.clear()

    def _keep(self, data: bytes) -> None:
        self.kept = data

    def _listed(self, now: float, kind: ListKind, entries: list[EndpointEntry], addresses: dict[str, str]) -> None:
        if kind is ListKind.WHOLE:
            self.ready.clear()
            self.wholes += 1
        for entry in entries:
            if entry.state is EndpointState.READY:
                self.ready.add(sys.intern(entry.node_name))
            else:
                self.ready.discard(entry.node_name)
        if self.attempts is not None:
            self.attempts.listed(addresses)


class HollowHeads:
    """All of one process, and what its standard input tells it to do."""

    def __init__(self, loop: Any, given: dict[str, Any], counting: Any) -> None:
        config = load(given["file"], given["loopback"])
        self.loop, self.counting = loop, counting
        self.heads = {name: HollowHead(loop, config, name, given) for name in given["names"]}
        self.rng = random.Random(f"{given['seed']}/{given['names'][0]}")
        self.over_s = given["over_s"]
        self.stopped = loop.create_future()
        self.least = (-1, -1)

    def begin(self) -> None:
        for head in self.heads.values():
            self.loop.call_later(self.rng.uniform(0.0, self.over_s), head.begin)
        self._look()

    def _look(self) -> None:
        """How many shelfs the head knows that knows the fewest, and how often the list has come whole to each."""
        heads = self.heads.values()
        least = (min(len(head.ready) for head in heads), min(head.wholes for head in heads))
        if least != self.least:
            self.least = least
            self.counting.note(known=least[0], wholes=least[1])
        self.loop.call_later(LOOK_S, self._look)

    def told(self, line: bytes) -> None:
        said = json.loads(line)
        for name in said["restart"]:
            self.heads[name].kill()
            self.counting.note(head=name, version=0, mode="dead", part=0.0)
            self.loop.call_later(self.rng.uniform(*said["down_s"]), self.heads[name].begin)

    def end(self) -> None:
        """What came of the attempts, at the end."""
        ends: Counter[str] = Counter()
        for head in self.heads.values():
            if head.attempts is not None:
                ends.update(head.attempts.ends)
        self.counting.note(trips=dict(ends))

    def stop(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)


class Told(asyncio.Protocol):
    """Lines from the run; when it is gone, so is this."""

    def __init__(self, owner: Any) -> None:
        self.owner, self.buffer = owner, b""

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.owner.told(line)

    def connection_lost(self, exc: Exception | None) -> None:
        self.owner.stop()


async def serve(owner: Any, loop: Any) -> None:
    """Ready, then as long as the run lives and does not say otherwise."""
    import signal

    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, owner.stop)
    await loop.connect_read_pipe(lambda: Told(owner), sys.stdin)
    print("ready", flush=True)
    await owner.stopped
    owner.end()
    owner.counting.write()


def main(given: dict[str, Any], counting: Any) -> None:
    if hasattr(version_application, "loads"):
        version_application.loads = functools.lru_cache(maxsize=8)(version_application.loads)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    owner = HollowHeads(loop, given, counting)
    owner.begin()
    loop.run_until_complete(serve(owner, loop))
