"""What the head costs beside a pass-through head: same sockets, same code but the decisions. Whole processes.

    python benchmarks/head_cost.py run [--requests 40000] [--size 4096] [--json FILE]

The parent starts one process with all shelfs (they answer at once), one with the head, one with the load, and
reads the head's CPU and memory from outside. Every ratio is of two heads measured in the same run, in turn.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import click
import numpy as np
import uvloop
from head_cost_ends import Asker, AtOnce, PassThrough, settings

from pebblehinge.cli import ms_clock
from pebblehinge.discovery import DiscoveryServer
from pebblehinge.gateway import GatewayCore, GatewayServer
from pebblehinge.lab.simulated_fleet import WarningLog
from pebblehinge.net import parse_address
from pebblehinge.wire import Session

HERE = Path(__file__).resolve().parent.parent
HZ = os.sysconf("SC_CLK_TCK")


@click.group()
def main() -> None:
    """The head beside a pass-through head."""


def serve(make: Any) -> None:
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.run_until_complete(make(loop))
    print("ready", flush=True)
    loop.run_forever()


@main.command(name="shelfs")
@click.argument("count", type=int)
@click.argument("loopback")
@click.argument("size", type=int)
def shelfs(count: int, loopback: str, size: int) -> None:
    """All shelfs and the list, in one process."""
    config = settings(count, loopback)
    AtOnce.reply = os.urandom(size)

    async def make(loop: Any) -> None:
        listing = DiscoveryServer(loop, ms_clock(loop), config, WarningLog())
        await listing.start()
        for name, block in config.shelf.items():
            host, port = parse_address(block.listen)
            await loop.create_server(
                lambda n=name: AtOnce(loop, Session("shelf", n, 1 << 20, 64, dialed=False), 10_000.0), host, port
            )
            listing.registry.register(0.0, name, block.listen, block.slot, -1.0, True)
        listing.publish()

    serve(make)


@main.command(name="head")  # the words are fixed: another checkout's script may be called by them
@click.argument("what", type=click.Choice(["real", "pass"]))
@click.argument("count", type=int)
@click.argument("loopback")
def head(what: str, count: int, loopback: str) -> None:
    """One head."""
    config = settings(count, loopback)

    async def make(loop: Any) -> None:
        kind = GatewayCore if what == "real" else PassThrough
        server = GatewayServer(loop, ms_clock(loop), config, "h1", WarningLog(), core=kind)
        await server.start()
        while len(server.core.scheduler.nodes.node_at_slot) < count:
            await asyncio.sleep(0.01)

    import gc

    gc.freeze()
    serve(make)


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / HZ


def rss_kib(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])


class Heads:
    """The processes of one measurement; the head may be another checkout's."""

    def __init__(self, what: str, count: int, size: int, number: int, checkout: Path = HERE) -> None:
        self.loopback = f"127.{210 + number % 40}.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
        self.count = count
        self.processes = [self._start(HERE, "shelfs", str(count), self.loopback, str(size))]
        self.processes.append(self._start(checkout, "head", what, str(count), self.loopback))
        self.pid = self.processes[1].pid
        self.address = settings(count, self.loopback).head["h1"].listen

    @staticmethod
    def _start(checkout: Path, *words: str) -> subprocess.Popen[bytes]:
        script = next(checkout.glob("benchmarks/**/head_cost.py"))
        env = {**os.environ, "PYTHONPATH": str(checkout)}
        process = subprocess.Popen([sys.executable, str(script), *words], stdout=subprocess.PIPE, env=env)
        assert process.stdout is not None
        assert process.stdout.readline() == b"ready\n", words
        return process

    def stop(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()


async def full_load(loop: Any, heads: Heads, size: int, requests: int) -> dict[str, Any]:
    """As many requests as the head does with 40 out at any time."""
    asker = Asker(loop, heads.count, size)
    host, port = parse_address(heads.address)
    await loop.create_connection(lambda: asker, host, port)
    await asker.up
    asker.begin(2000, 40)  # connections, caches
    await asker.done
    before, began = cpu_s(heads.pid), time.perf_counter()
    asker.begin(requests, 40)
    await asker.done
    wall, cpu = time.perf_counter() - began, cpu_s(heads.pid) - before
    assert asker.finals[0] == requests, asker.finals
    asker.close()
    return {"rate": requests / wall, "cpu_us": cpu / requests * 1e6, "rate_a_core": requests / max(cpu, 1e-9)}


async def at_rate(loop: Any, heads: Heads, size: int, rate: float, seconds: float) -> dict[str, float]:
    """An open loop at a rate: latencies from the time at which each was due."""
    asker = Asker(loop, heads.count, size)
    asker.closed_loop = False
    host, port = parse_address(heads.address)
    await loop.create_connection(lambda: asker, host, port)
    await asker.up
    count = int(rate * seconds)
    asker.begin(count, 0)
    began = time.perf_counter()
    for i in range(count):
        due = began + i / rate
        left = due - time.perf_counter()
        if left > 0:
            await asyncio.sleep(left)
        asker.ask()
        asker.sent_at[asker.next_id] = due
    await asker.done
    asker.close()
    p50, p99 = np.percentile(asker.took, [50, 99]).tolist()
    return {"p50_ms": p50 * 1e3, "p99_ms": p99 * 1e3}


async def measure(loop: Any, requests: int, size: int, memory: int) -> dict[str, Any]:
    told: dict[str, Any] = {"accesses": requests, "size": size, "cores": os.cpu_count()}
    number = 0
    rounds: dict[str, list[dict[str, Any]]] = {"real": [], "pass": []}
    for _ in range(3):
        for what in ("pass", "real"):
            heads, number = Heads(what, 12, size, number), number + 1
            try:
                rounds[what].append(await full_load(loop, heads, size, requests))
            finally:
                heads.stop()
            print(what, rounds[what][-1], file=sys.stderr)
    best = {w: max(r, key=lambda x: x["rate_a_core"]) for w, r in rounds.items()}
    told["full"] = {**best, "ratio": best["real"]["rate_a_core"] / best["pass"]["rate_a_core"]}
    half = 2500.0  # half of the 5,000 a second that a head is wanted to carry
    told["half_load"] = {"rate": half}
    for what in ("pass", "real"):
        heads, number = Heads(what, 12, size, number), number + 1
        try:
            told["half_load"][what] = await at_rate(loop, heads, size, half, 6.0)
        finally:
            heads.stop()
    shelfs_cost = {}
    for count in (12, 40, 400):
        runs = []
        for _ in range(2):
            heads, number = Heads("real", count, size, number), number + 1
            try:
                runs.append((await full_load(loop, heads, size, requests))["cpu_us"])
            finally:
                heads.stop()
        shelfs_cost[str(count)] = min(runs)
        print("shelfs", count, runs, file=sys.stderr)
    told["cpu_us_by_shelfs"] = shelfs_cost
    if memory:
        heads, number = Heads("real", 12, size, number), number + 1
        try:
            asker_rss = {}
            done = 2000
            for goal in (memory // 10, memory):
                await full_load(loop, heads, size, goal - done)
                done = goal + 2000
                asker_rss[str(goal)] = rss_kib(heads.pid)
            told["rss_kib"] = asker_rss
        finally:
            heads.stop()
    return told


@main.command()
@click.option("--accesses", default=20_000, show_default=True)
@click.option("--size", default=4096, show_default=True)
@click.option("--memory", default=0, show_default=True, help="Accesses of the memory measurement; 0: none.")
@click.option("--json", "file", type=click.Path(), help="Write the figures here too.")
def run(requests: int, size: int, memory: int, file: str | None) -> None:
    """Measure all."""
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    told = loop.run_until_complete(measure(loop, requests, size, memory))
    text = json.dumps(told, indent=1)
    print(text)
    if file:
        Path(file).write_text(text + "\n")


if __name__ == "__main__":
    main()
