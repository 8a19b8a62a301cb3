"""Measures what agreement costs: proposal rates by group size, times without a leader, and times to all gateways.

    python benchmarks/group_cost.py

The rates are of groups of 1, 3 and 5 members with fsync; the ratio is of groups measured in one run. Members run in
one process, on loopback sockets with real folders, and so do 5 gateways. The times without a leader and until a version
is active at 20 gateways are measured in virtual time.
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

from config_group import Group  # noqa: E402
from group_settings import settings_text  # noqa: E402
from raft_cluster import Cluster  # noqa: E402

from pebblehinge.cli import ms_clock  # noqa: E402
from pebblehinge.lab.simulated_fleet import WarningLog  # noqa: E402
from pebblehinge.raft import Raft  # noqa: E402
from pebblehinge.replicated_config.commands import CommandResult, ForgetGateway, encode_command  # noqa: E402
from pebblehinge.replicated_config.config_watcher import ConfigWatcher  # noqa: E402
from pebblehinge.replicated_config.operator_client import ask_group  # noqa: E402
from pebblehinge.replicated_config.server import MemberServer  # noqa: E402
from pebblehinge.replicated_config.version_application import VersionApplication  # noqa: E402
from pebblehinge.settings.load import loads  # noqa: E402
from pebblehinge.store.disk import RealDisk  # noqa: E402


def has_committed(raft: Raft) -> bool:
    """Returns whether a leader has committed an entry of its term."""
    return raft.commit_index >= raft.term_start_index


async def measure_proposals(loop: Any, member_count: int, proposals: int, folder: Path) -> dict[str, float]:
    """Returns the proposals per second and their p99 latency at a group's leader, with 16 small commands in flight."""
    host = f"127.250.{random.randrange(250)}.{random.randrange(1, 250)}"
    config = loads(settings_text(loopback=host))
    config.member = {n: b for n, b in list(config.member.items())[:member_count]}
    members = [
        MemberServer(loop, ms_clock(loop), config, n, RealDisk(folder / n), WarningLog(), i)
        for i, n in enumerate(config.member)
    ]
    for m in members:
        await m.start()
    while not (leaders := [m for m in members if m.node.is_leader and has_committed(m.node.raft)]):
        await asyncio.sleep(0.02)
    leader, latencies_s = leaders[0], []
    proposal_count = result_count = 0
    completion = loop.create_future()

    def propose_one() -> None:
        nonlocal proposal_count
        proposal_count += 1
        proposed_at = time.perf_counter()

        def on_result(result: CommandResult) -> None:
            nonlocal result_count
            latencies_s.append(time.perf_counter() - proposed_at)
            result_count += 1
            if proposal_count < proposals:
                loop.call_soon(propose_one)
            elif result_count == proposals:
                completion.set_result(None)

        assert leader.propose(encode_command(ForgetGateway(f"nobody-{proposal_count}")), on_result)

    started_at = time.perf_counter()
    for _ in range(16):
        propose_one()
    await completion
    elapsed_s = time.perf_counter() - started_at
    for m in members:
        m.stop()
    await asyncio.sleep(0.1)
    return {"a_second": proposals / elapsed_s, "p99_ms": float(np.percentile(latencies_s, 99)) * 1e3}


def measure_elections(runs: int) -> list[float]:
    """Returns the times from a leader's crash to the next leader, in minimum election timeouts."""
    leaderless_times = []
    for seed in range(runs):
        cluster = Cluster(["a", "b", "c", "d", "e"], seed)
        leader = cluster.run_until(cluster.leader)
        cluster.run(20)
        leader.crash()
        crashed_at = cluster.now
        cluster.run_until(cluster.leader)
        leaderless_times.append((cluster.now - crashed_at) / 10)
    return leaderless_times


def measure_activation(gateways: int) -> dict[str, float]:
    """Returns the milliseconds of virtual time from the proposal of a version until it is active at all gateways."""
    group, latencies_ms = Group(1), []

    async def main() -> None:
        for n in range(1, 6):
            await group.start_member(f"g{n}")
        await group.wait_until(group.leader)
        ok, reason = await group.propose(settings_text(100, gateways, gateways), 1)
        assert ok, reason
        for n in range(1, gateways + 1):
            group.start_gateway(f"h{n}")
        for serial in range(2, 8):
            await group.wait_until(
                lambda s=serial: all((m, v) == ("active", s - 1) for _, m, v in group.gateway_states.values())
            )
            proposed_at = group.clock()
            ok, reason = await group.propose(settings_text(100 + serial, gateways, gateways), serial)
            assert ok, reason
            await group.wait_until(
                lambda s=serial: all((m, v) == ("active", s) for _, m, v in group.gateway_states.values())
            )
            latencies_ms.append(group.clock() - proposed_at)

    group.loop.run_until_complete(main())
    return {"median_ms": float(np.median(latencies_ms)), "worst_ms": max(latencies_ms)}


async def measure_activation_on_sockets(loop: Any, gateways: int, folder: Path) -> dict[str, float]:
    """Returns what `measure_activation` does, in real time: five members with fsync and the gateways on loopback."""
    host, clock = f"127.251.{random.randrange(250)}.{random.randrange(1, 250)}", ms_clock(loop)
    config = loads(settings_text(100, gateways, gateways, host))
    members = [
        MemberServer(loop, clock, config, n, RealDisk(folder / n), WarningLog(), i) for i, n in enumerate(config.member)
    ]
    for m in members:
        await m.start()
    activations: dict[str, tuple[str, int]] = {}  # the mode and the active version by gateway
    watchers = []
    for name in config.head:
        application = VersionApplication(name, config.group.floor)

        def adopt(config: Any, mode: str, name: str = name, application: VersionApplication = application) -> None:
            activations[name] = (mode, application.active)

        watchers.append(
            ConfigWatcher(loop, clock, config, application, adopt, (folder / name).write_bytes, WarningLog())
        )
        watchers[-1].start()
    latencies_ms = []
    for serial in range(1, 22):
        while not any(m.node.is_leader and has_committed(m.node.raft) for m in members):
            await asyncio.sleep(0.02)
        proposed_at = clock()
        ok, reason = await ask_group(
            loop,
            [b.listen for b in config.member.values()],
            "propose",
            {
                "text": settings_text(100 + serial, gateways, gateways, host),
                "base": serial - 1,
                "session": "cost",
                "serial": serial,
                "author": "cost",
            },
            8.0,
        )
        assert ok, reason
        while set(activations.values()) != {("active", serial)} or len(activations) < gateways:
            await asyncio.sleep(0.002)
        latencies_ms.append(clock() - proposed_at)
    for participant in (*watchers, *members):
        participant.close() if isinstance(participant, ConfigWatcher) else participant.stop()
    await asyncio.sleep(0.1)
    return {"median_ms": float(np.median(latencies_ms[1:])), "worst_ms": max(latencies_ms[1:])}


def main() -> None:
    results: dict[str, Any] = {}
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    with tempfile.TemporaryDirectory() as folder:
        for count in (1, 3, 5):
            results[f"instances {count}"] = loop.run_until_complete(
                measure_proposals(loop, count, 3000, Path(folder) / str(count))
            )
        results["5 heads, sockets"] = loop.run_until_complete(
            measure_activation_on_sockets(loop, 5, Path(folder) / "heads")
        )
    single_member_rate = results["instances 1"]["a_second"]
    for count in (3, 5):
        results[f"instances {count}"]["ratio"] = results[f"instances {count}"]["a_second"] / single_member_rate
    leaderless_times = measure_elections(200)
    results["without leader, election time-outs"] = {
        "median": float(np.median(leaderless_times)),
        "p99": float(np.percentile(leaderless_times, 99)),
        "worst": max(leaderless_times),
    }
    results["20 heads"] = measure_activation(20)
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
