"""Frames by kind that a version costs, and the time until it is in force at the last head, by the number of heads.

    python benchmarks/version_spread.py [--heads 5 25 50] [--members 5] [--versions 3] [--within 30] [--pause 0]
        [--sockets]

Instances and heads are the program's own classes in one process: in virtual time, where work costs no time and counts
are the same in every run; with `--sockets` on loopback with real folders, where times are those of this one process.
Counted at each sender: NEWS, RENEW, GRANT and RAFT frames of all, entries of the log, and connections that were made.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from config_group import Group  # noqa: E402
from group_settings import settings_text  # noqa: E402

from pebblehinge.cli import clock_of  # noqa: E402
from pebblehinge.lab.village import Quiet  # noqa: E402
from pebblehinge.net import Peer  # noqa: E402
from pebblehinge.replicated_config.config_watcher import ConfigWatcher  # noqa: E402
from pebblehinge.replicated_config.operator_client import ask_group  # noqa: E402
from pebblehinge.replicated_config.server import MemberServer  # noqa: E402
from pebblehinge.replicated_config.version_application import VersionApplication  # noqa: E402
from pebblehinge.settings.load import loads  # noqa: E402
from pebblehinge.store.disk import RealDisk  # noqa: E402
from pebblehinge.wire import Kind  # noqa: E402

COUNTED = (Kind.NEWS, Kind.RENEW, Kind.GRANT, Kind.RAFT)


@contextmanager
def counting() -> Iterator[Counter[str]]:
    """What connections send meanwhile, by kind; "made" are connections of heads."""
    found: Counter[str] = Counter()
    send, opened = Peer.send, ConfigWatcher.on_connected

    def counted(self: Peer, kind: Kind, *values: Any) -> None:
        if kind in COUNTED:
            found[kind.name.lower()] += 1
        send(self, kind, *values)

    def made(self: ConfigWatcher, wire: Any) -> None:
        found["made"] += 1
        opened(self, wire)

    Peer.send, ConfigWatcher.on_connected = counted, made  # type: ignore[method-assign]
    try:
        yield found
    finally:
        Peer.send, ConfigWatcher.on_connected = send, opened  # type: ignore[method-assign]


class Spread:
    """Versions one after another, counted. `active` tells how many heads act in full on a version."""

    def __init__(
        self,
        heads: int,
        clock: Callable[[], float],
        active: Callable[[int], int],
        last: Callable[[], int],
        propose: Callable[[int], Any],
        within_s: float,
        found: Counter[str],
    ) -> None:
        self.heads, self.clock, self.active, self.last, self.propose = heads, clock, active, last, propose
        self.within_s, self.found = within_s, found

    async def version(self, number: int) -> dict[str, Any]:
        """From the proposal to the last head in force, or until time is up."""
        self.found.clear()
        entries, began = self.last(), self.clock()
        ok, said = await self.propose(number)
        told: dict[str, Any] = {"version": number}
        if not ok:
            return {**told, "refused": said, **self.found}
        while (there := self.active(number)) < self.heads and self.clock() - began < self.within_s * 1000.0:
            await asyncio.sleep(0.005)
        took = self.clock() - began
        told |= (
            {"in_force_ms": round(took, 1)} if there == self.heads else {"not_in_force_ms": round(took), "at": there}
        )
        return {**told, "entries": self.last() - entries, **self.found}

    async def rest(self, seconds: float) -> dict[str, Any]:
        self.found.clear()
        await asyncio.sleep(seconds)
        return {"at_rest": True, **{k: round(v / seconds, 1) for k, v in sorted(self.found.items())}}

    async def play(self, versions: int, pause_s: float) -> list[dict[str, Any]]:
        points = []
        for number in range(2, 2 + versions):
            points.append(await self.version(number))
            await asyncio.sleep(pause_s)
        await asyncio.sleep(2.0)
        return [*points, await self.rest(5.0)]


def in_virtual_time(heads: int, members: int, versions: int, within_s: float, pause_s: float) -> list[dict[str, Any]]:
    group = Group(1)
    group.config = loads(settings_text(100, heads, heads))
    group.config.member = dict(list(group.config.member.items())[:members])

    async def main(found: Counter[str]) -> list[dict[str, Any]]:
        for name in group.config.member:
            await group.start_member(name)
        await group.wait_until(group.leader)
        ok, said = await group.propose(settings_text(100, heads, heads), 1)
        assert ok, said
        for n in range(1, heads + 1):
            group.start_gateway(f"h{n}")

        def active(number: int) -> int:
            return sum((m, v) == ("active", number) for _, m, v in group.gateway_states.values())

        await group.wait_until(lambda: active(1) == heads, 120.0)
        await asyncio.sleep(3.0)
        spread = Spread(
            heads,
            group.clock,
            active,
            lambda: max(m.node.raft.log.last_index for m in group.members.values()),
            lambda n: group.propose(settings_text(100 + n, heads, heads), n),
            within_s,
            found,
        )
        return await spread.play(versions, pause_s)

    with counting() as found:
        points = group.loop.run_until_complete(main(found))
    for task in asyncio.all_tasks(group.loop):
        task.cancel()
    group.loop.close()
    return points


def on_sockets(heads: int, members: int, versions: int, within_s: float, pause_s: float) -> list[dict[str, Any]]:
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    host, clock = f"127.{random.randrange(100, 240)}.{random.randrange(250)}.{random.randrange(1, 250)}", clock_of(loop)
    config = loads(settings_text(100, heads, heads, host))
    config.member = dict(list(config.member.items())[:members])
    acts: dict[str, tuple[str, int]] = {}

    async def main(found: Counter[str], folder: Path) -> list[dict[str, Any]]:
        servers = [
            MemberServer(loop, clock, config, n, RealDisk(folder / n), Quiet(), i) for i, n in enumerate(config.member)
        ]
        for server in servers:
            await server.start()

        async def propose(number: int) -> tuple[bool, str]:
            values = {
                "text": settings_text(100 + number, heads, heads, host),
                "base": number - 1,
                "session": "spread",
                "serial": number,
                "author": "spread",
            }
            return await ask_group(loop, [b.listen for b in config.member.values()], "propose", values, 10.0)

        while not any(m.node.is_leader and m.node.raft.commit_index >= m.node.raft.term_start_index for m in servers):
            await asyncio.sleep(0.02)
        ok, said = await propose(1)
        assert ok, said
        watchers = []
        for name in config.head:
            application = VersionApplication(name, config.group.floor)

            def adopt(new: Any, mode: str, name: str = name, application: VersionApplication = application) -> None:
                acts[name] = (mode, application.active)

            watchers.append(
                ConfigWatcher(loop, clock, config, application, adopt, (folder / name).write_bytes, Quiet())
            )
            watchers[-1].start()

        def active(number: int) -> int:
            return sum(v == ("active", number) for v in acts.values())

        began = clock()
        while active(1) < heads and clock() - began < 60_000:
            await asyncio.sleep(0.02)
        await asyncio.sleep(3.0)
        spread = Spread(
            heads, clock, active, lambda: max(m.node.raft.log.last_index for m in servers), propose, within_s, found
        )
        points = await spread.play(versions, pause_s)
        for thing in (*watchers, *servers):
            thing.close() if isinstance(thing, ConfigWatcher) else thing.stop()
        await asyncio.sleep(0.1)
        return points

    with counting() as found, tempfile.TemporaryDirectory() as folder:
        return loop.run_until_complete(main(found, Path(folder)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--heads", type=int, nargs="+", default=[5, 25, 50])
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--versions", type=int, default=3)
    parser.add_argument("--within", type=float, default=30.0, help="seconds after which a version is given up")
    parser.add_argument("--pause", type=float, default=0.0, help="seconds between versions")
    parser.add_argument("--sockets", action="store_true")
    given = parser.parse_args()
    for heads in given.heads:
        began = time.monotonic()
        run = on_sockets if given.sockets else in_virtual_time
        for point in run(heads, given.members, given.versions, given.within, given.pause):
            print(json.dumps({"heads": heads, "members": given.members, **point}), flush=True)
        print(f"# {heads} heads: {time.monotonic() - began:.0f} s", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
