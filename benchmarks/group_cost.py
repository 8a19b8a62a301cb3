"""What agreeing costs: proposals a second with 1, 3 and 5 instances (fsync on), time without a leader, 20 heads.

    python benchmarks/group_cost.py

Instances stand in one process on loopback sockets with real folders; the ratio is of groups measured in one run. The
times without a leader and to all heads are from virtual time.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from config_document import document  # noqa: E402
from config_group import Group  # noqa: E402
from raft_cluster import World  # noqa: E402

from pebblehinge.cli import clock_of  # noqa: E402
from pebblehinge.lab.village import Quiet  # noqa: E402
from pebblehinge.raft import Raft  # noqa: E402
from pebblehinge.replicated_config.commands import CommandResult, ForgetGateway, encode_command  # noqa: E402
from pebblehinge.replicated_config.config_watcher import ConfigWatcher  # noqa: E402
from pebblehinge.replicated_config.operator_client import ask_group  # noqa: E402
from pebblehinge.replicated_config.server import MemberServer  # noqa: E402
from pebblehinge.replicated_config.version_application import VersionApplication  # noqa: E402
from pebblehinge.settings.load import loads  # noqa: E402
from pebblehinge.store.disk import RealDisk  # noqa: E402


def has_committed(raft: Raft) -> bool:
    """Whether a leader's term has committed its first entry."""
    return raft.commit_index >= raft.term_start_index


async def rate(loop: Any, count: int, proposals: int, folder: Path) -> dict[str, float]:
    """Small commands, 16 at a time, through the leader of a group of so many."""
    host = f"127.250.{random.randrange(250)}.{random.randrange(1, 250)}"
    config = loads(document(loopback=host))
    config.member = {n: b for n, b in list(config.member.items())[:count]}
    members = [
        MemberServer(loop, clock_of(loop), config, n, RealDisk(folder / n), Quiet(), i)
        for i, n in enumerate(config.member)
    ]
    for m in members:
        await m.start()
    while not (led := [m for m in members if m.node.is_leader and has_committed(m.node.raft)]):
        await asyncio.sleep(0.02)
    leader, took = led[0], []
    sent = done = 0
    finished = loop.create_future()

    def one() -> None:
        nonlocal sent
        sent += 1
        began = time.perf_counter()

        def told(result: CommandResult) -> None:
            nonlocal done
            took.append(time.perf_counter() - began)
            done += 1
            if sent < proposals:
                loop.call_soon(one)
            elif done == proposals:
                finished.set_result(None)

        assert leader.propose(encode_command(ForgetGateway(f"nobody-{sent}")), told)

    began = time.perf_counter()
    for _ in range(16):
        one()
    await finished
    wall = time.perf_counter() - began
    for m in members:
        m.stop()
    await asyncio.sleep(0.1)
    return {"a_second": proposals / wall, "p99_ms": float(np.percentile(took, 99)) * 1e3}


def without_leader(runs: int) -> list[float]:
    """Ticks from a leader's death to the next one, in election time-outs."""
    found = []
    for seed in range(runs):
        world = World(["a", "b", "c", "d", "e"], seed)
        leader = world.until(world.leader)
        world.run(20)
        leader.crash()
        began = world.now
        world.until(world.leader)
        found.append((world.now - began) / 10)
    return found


def to_all_heads(heads: int) -> dict[str, float]:
    """Milliseconds of virtual time from a proposal to all heads active on it."""
    group, took = Group(1), []

    async def main() -> None:
        for n in range(1, 6):
            await group.start_member(f"g{n}")
        await group.until(group.leader)
        ok, said = await group.propose(document(100, heads, heads), 1)
        assert ok, said
        for n in range(1, heads + 1):
            group.start_head(f"h{n}")
        for serial in range(2, 8):
            await group.until(lambda s=serial: all((m, v) == ("active", s - 1) for _, m, v in group.acts.values()))
            began = group.clock()
            ok, said = await group.propose(document(100 + serial, heads, heads), serial)
            assert ok, said
            await group.until(lambda s=serial: all((m, v) == ("active", s) for _, m, v in group.acts.values()))
            took.append(group.clock() - began)

    group.loop.run_until_complete(main())
    return {"median_ms": float(np.median(took)), "worst_ms": max(took)}


async def on_sockets(loop: Any, heads: int, folder: Path) -> dict[str, float]:
    """Milliseconds from a proposal to all heads active on it: five instances and the heads on loopback, fsync on."""
    host, clock = f"127.251.{random.randrange(250)}.{random.randrange(1, 250)}", clock_of(loop)
    config = loads(document(100, heads, heads, host))
    members = [
        MemberServer(loop, clock, config, n, RealDisk(folder / n), Quiet(), i) for i, n in enumerate(config.member)
    ]
    for m in members:
        await m.start()
    acts: dict[str, tuple[str, int]] = {}
    watchers = []
    for name in config.head:
        application = VersionApplication(name, config.group.floor)

        def adopt(config: Any, mode: str, name: str = name, application: VersionApplication = application) -> None:
            acts[name] = (mode, application.active)

        watchers.append(ConfigWatcher(loop, clock, config, application, adopt, (folder / name).write_bytes, Quiet()))
        watchers[-1].start()
    took = []
    for serial in range(1, 22):
        while not any(m.node.is_leader and has_committed(m.node.raft) for m in members):
            await asyncio.sleep(0.02)
        began = clock()
        ok, said = await ask_group(
            loop,
            [b.listen for b in config.member.values()],
            "propose",
            {
                "text": document(100 + serial, heads, heads, host),
                "base": serial - 1,
                "session": "cost",
                "serial": serial,
                "author": "cost",
            },
            8.0,
        )
        assert ok, said
        while set(acts.values()) != {("active", serial)} or len(acts) < heads:
            await asyncio.sleep(0.002)
        took.append(clock() - began)
    for thing in (*watchers, *members):
        thing.close() if isinstance(thing, ConfigWatcher) else thing.stop()
    await asyncio.sleep(0.1)
    return {"median_ms": float(np.median(took[1:])), "worst_ms": max(took[1:])}


def main() -> None:
    told: dict[str, Any] = {}
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    with tempfile.TemporaryDirectory() as folder:
        for count in (1, 3, 5):
            told[f"instances {count}"] = loop.run_until_complete(rate(loop, count, 3000, Path(folder) / str(count)))
        told["5 heads, sockets"] = loop.run_until_complete(on_sockets(loop, 5, Path(folder) / "heads"))
    one = told["instances 1"]["a_second"]
    for count in (3, 5):
        told[f"instances {count}"]["ratio"] = told[f"instances {count}"]["a_second"] / one
    gone = without_leader(200)
    told["without leader, election time-outs"] = {
        "median": float(np.median(gone)),
        "p99": float(np.percentile(gone, 99)),
        "worst": max(gone),
    }
    told["20 heads"] = to_all_heads(20)
    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    main()
