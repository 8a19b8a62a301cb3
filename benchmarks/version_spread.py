"""Measures the frames that a version costs, and the time until it is active at all gateways.

    version_spread.py [--heads 5 25 50] [--members 5] [--versions 3] [--within 30] [--pause 0] [--sockets]

Members and gateways are the production classes in one process: in virtual time, where computation costs no time and
counts are the same in every run, or with `--sockets` on loopback with real folders, where times include the computation
of all of them. Counted are all NEWS, RENEW, GRANT and RAFT frames, log entries, and connections that gateways opened.
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

from pebblehinge.cli import ms_clock  # noqa: E402
from pebblehinge.lab.simulated_fleet import WarningLog  # noqa: E402
from pebblehinge.net import Peer  # noqa: E402
from pebblehinge.replicated_config.config_watcher import ConfigWatcher  # noqa: E402
from pebblehinge.replicated_config.operator_client import ask_group  # noqa: E402
from pebblehinge.replicated_config.server import MemberServer  # noqa: E402
from pebblehinge.replicated_config.version_application import VersionApplication  # noqa: E402
from pebblehinge.settings.load import loads  # noqa: E402
from pebblehinge.store.disk import RealDisk  # noqa: E402
from pebblehinge.wire import Kind  # noqa: E402

COUNTED_KINDS = (Kind.NEWS, Kind.RENEW, Kind.GRANT, Kind.RAFT)


@contextmanager
def count_frames() -> Iterator[Counter[str]]:
    """Counts the frames that connections send, by kind, and as "made" the connections that gateways open."""
    counts: Counter[str] = Counter()
    original_send, original_on_connected = Peer.send, ConfigWatcher.on_connected

    def count_and_send(self: Peer, kind: Kind, *values: Any) -> None:
        if kind in COUNTED_KINDS:
            counts[kind.name.lower()] += 1
        original_send(self, kind, *values)

    def count_connection(self: ConfigWatcher, connection: Any) -> None:
        counts["made"] += 1
        original_on_connected(self, connection)

    Peer.send, ConfigWatcher.on_connected = count_and_send, count_connection  # type: ignore[method-assign]
    try:
        yield counts
    finally:
        Peer.send, ConfigWatcher.on_connected = original_send, original_on_connected  # type: ignore[method-assign]


class Rollout:
    """Measures versions one after another; `count_active` returns the number of gateways at which one is active."""

    def __init__(
        self,
        gateways: int,
        clock: Callable[[], float],
        count_active: Callable[[int], int],
        last_index: Callable[[], int],
        propose: Callable[[int], Any],
        timeout_s: float,
        counts: Counter[str],
    ) -> None:
        self.gateways, self.clock, self.count_active, self.last_index, self.propose = (
            gateways,
            clock,
            count_active,
            last_index,
            propose,
        )
        self.timeout_s, self.counts = timeout_s, counts

    async def measure_version(self, number: int) -> dict[str, Any]:
        """Returns the costs of a version from its proposal until it is active at all gateways, or the timeout."""
        self.counts.clear()
        first_index, proposed_at = self.last_index(), self.clock()
        ok, reason = await self.propose(number)
        row: dict[str, Any] = {"version": number}
        if not ok:
            return {**row, "refused": reason, **self.counts}
        while (
            active := self.count_active(number)
        ) < self.gateways and self.clock() - proposed_at < self.timeout_s * 1000.0:
            await asyncio.sleep(0.005)
        elapsed_ms = self.clock() - proposed_at
        row |= (
            {"in_force_ms": round(elapsed_ms, 1)}
            if active == self.gateways
            else {"not_in_force_ms": round(elapsed_ms), "at": active}
        )
        return {**row, "entries": self.last_index() - first_index, **self.counts}

    async def measure_idle(self, seconds: float) -> dict[str, Any]:
        """Returns the counts per second without proposals."""
        self.counts.clear()
        await asyncio.sleep(seconds)
        return {"at_rest": True, **{k: round(v / seconds, 1) for k, v in sorted(self.counts.items())}}

    async def run(self, versions: int, pause_s: float) -> list[dict[str, Any]]:
        """Returns a row for each version, and one for the idle time after them."""
        rows = []
        for number in range(2, 2 + versions):
            rows.append(await self.measure_version(number))
            await asyncio.sleep(pause_s)
        await asyncio.sleep(2.0)
        return [*rows, await self.measure_idle(5.0)]


def run_virtual(gateways: int, members: int, versions: int, timeout_s: float, pause_s: float) -> list[dict[str, Any]]:
    group = Group(1)
    group.config = loads(settings_text(100, gateways, gateways))
    group.config.member = dict(list(group.config.member.items())[:members])

    async def main(counts: Counter[str]) -> list[dict[str, Any]]:
        for name in group.config.member:
            await group.start_member(name)
        await group.wait_until(group.leader)
        ok, reason = await group.propose(settings_text(100, gateways, gateways), 1)
        assert ok, reason
        for n in range(1, gateways + 1):
            group.start_gateway(f"h{n}")

        def count_active(number: int) -> int:
            return sum((m, v) == ("active", number) for _, m, v in group.gateway_states.values())

        await group.wait_until(lambda: count_active(1) == gateways, 120.0)
        await asyncio.sleep(3.0)
        rollout = Rollout(
            gateways,
            group.clock,
            count_active,
            lambda: max(m.node.raft.log.last_index for m in group.members.values()),
            lambda n: group.propose(settings_text(100 + n, gateways, gateways), n),
            timeout_s,
            counts,
        )
        return await rollout.run(versions, pause_s)

    with count_frames() as counts:
        rows = group.loop.run_until_complete(main(counts))
    for task in asyncio.all_tasks(group.loop):
        task.cancel()
    group.loop.close()
    return rows


def run_sockets(gateways: int, members: int, versions: int, timeout_s: float, pause_s: float) -> list[dict[str, Any]]:
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    host, clock = f"127.{random.randrange(100, 240)}.{random.randrange(250)}.{random.randrange(1, 250)}", ms_clock(loop)
    config = loads(settings_text(100, gateways, gateways, host))
    config.member = dict(list(config.member.items())[:members])
    gateway_states: dict[str, tuple[str, int]] = {}  # mode and active version

    async def main(counts: Counter[str], folder: Path) -> list[dict[str, Any]]:
        servers = [
            MemberServer(loop, clock, config, n, RealDisk(folder / n), WarningLog(), i)
            for i, n in enumerate(config.member)
        ]
        for server in servers:
            await server.start()

        async def propose(number: int) -> tuple[bool, str]:
            values = {
                "text": settings_text(100 + number, gateways, gateways, host),
                "base": number - 1,
                "session": "spread",
                "serial": number,
                "author": "spread",
            }
            return await ask_group(loop, [b.listen for b in config.member.values()], "propose", values, 10.0)

        while not any(m.node.is_leader and m.node.raft.commit_index >= m.node.raft.term_start_index for m in servers):
            await asyncio.sleep(0.02)
        ok, reason = await propose(1)
        assert ok, reason
        watchers = []
        for name in config.head:
            application = VersionApplication(name, config.group.floor)

            def adopt(new: Any, mode: str, name: str = name, application: VersionApplication = application) -> None:
                gateway_states[name] = (mode, application.active)

            watchers.append(
                ConfigWatcher(loop, clock, config, application, adopt, (folder / name).write_bytes, WarningLog())
            )
            watchers[-1].start()

        def count_active(number: int) -> int:
            return sum(state == ("active", number) for state in gateway_states.values())

        started_at = clock()
        while count_active(1) < gateways and clock() - started_at < 60_000:
            await asyncio.sleep(0.02)
        await asyncio.sleep(3.0)
        rollout = Rollout(
            gateways,
            clock,
            count_active,
            lambda: max(m.node.raft.log.last_index for m in servers),
            propose,
            timeout_s,
            counts,
        )
        rows = await rollout.run(versions, pause_s)
        for participant in (*watchers, *servers):
            participant.close() if isinstance(participant, ConfigWatcher) else participant.stop()
        await asyncio.sleep(0.1)
        return rows

    with count_frames() as counts, tempfile.TemporaryDirectory() as folder:
        return loop.run_until_complete(main(counts, Path(folder)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--heads", type=int, nargs="+", default=[5, 25, 50])
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--versions", type=int, default=3)
    parser.add_argument("--within", type=float, default=30.0, help="seconds after which a version is given up")
    parser.add_argument("--pause", type=float, default=0.0, help="seconds between versions")
    parser.add_argument("--sockets", action="store_true")
    options = parser.parse_args()
    for gateways in options.heads:
        started_at = time.monotonic()
        run = run_sockets if options.sockets else run_virtual
        for row in run(gateways, options.members, options.versions, options.within, options.pause):
            print(json.dumps({"heads": gateways, "members": options.members, **row}), flush=True)
        print(f"# {gateways} gateways: {time.monotonic() - started_at:.0f} s", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
