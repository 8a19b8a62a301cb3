"""Measures the cost and the gain of write-back: `python benchmarks/store_cost.py`.

One gateway with its journal on the file system and three stand-in storage nodes of about 3 ms per write run as
processes on loopback. Each number of concurrent writers writes 1 KiB at a time for some seconds, to a write-through and
to a buffered volume in turn, in one run.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from pebblehinge.client import connect
from pebblehinge.lab.crash.settings import SETTINGS
from pebblehinge.store.committer import Committer
from pebblehinge.store.disk import RealDisk
from pebblehinge.store.journal import Batch, Journal
from pebblehinge.store.records import Write

WRITE_THROUGH_VOLUME = """
volume direct {
    plan p
    slots 0 1 2
}
"""
MEASUREMENT_S = 4.0


async def measure_writers(address: str, volume: str, count: int) -> dict[str, float]:
    """Measures `count` concurrent writers to a volume through the gateway at an address."""
    loop = asyncio.get_running_loop()
    client = await connect(address, name=f"{volume}{count}")
    latencies_s: list[float] = []
    rejected = 0
    end_s = loop.time() + MEASUREMENT_S

    async def run_writer(n: int) -> None:
        nonlocal rejected
        k = 0
        while loop.time() < end_s:
            k += 1
            start_s = time.perf_counter()
            result = await client.write(
                volume, f"{n}-{k}", b"x" * 1024, profile="save", slot=(n + k) % 3, units=1.0, patience_ms=3000.0
            )
            if result.succeeded:
                latencies_s.append(time.perf_counter() - start_s)
            else:
                rejected += 1
                await asyncio.sleep(max(0.005, result.stay_ms / 1000.0))

    await asyncio.gather(*(run_writer(n) for n in range(count)))
    client.close()
    return {
        "a_second": len(latencies_s) / MEASUREMENT_S,
        "p50_ms": float(np.percentile(latencies_s, 50)) * 1e3,
        "p99_ms": float(np.percentile(latencies_s, 99)) * 1e3,
        "refused": rejected,
    }


def measure_gateway(folder: Path) -> dict[str, Any]:
    """Measures writers to both volumes through a gateway process, and compares them."""
    pid = os.getpid()
    loopback = f"127.{210 + pid % 20}.{pid // 250 % 250}.{1 + pid % 250}"
    settings_file = folder / "cost.conf"
    settings_file.write_text(SETTINGS.replace("most 4MiB", "most 256MiB") + WRITE_THROUGH_VOLUME)
    processes = []
    report: dict[str, Any] = {}
    try:
        for role in (["listing"], *(["shelf", "--name", f"s{n}"] for n in (1, 2, 3)), ["head", "--name", "h1"]):
            command = [
                sys.executable,
                "-m",
                "pebblehinge",
                role[0],
                str(settings_file),
                "--loopback",
                loopback,
                *role[1:],
            ]
            command += ["--store", str(folder / "store")] if role[0] != "listing" else []
            process = subprocess.Popen(command, stdout=subprocess.PIPE)
            assert process.stdout is not None and process.stdout.readline().startswith(b"ready")
            processes.append(process)
        loop = uvloop.new_event_loop()
        for count in (1, 16, 256):
            by_volume = {
                v: loop.run_until_complete(measure_writers(f"{loopback}:7001", v, count)) for v in ("direct", "bids")
            }
            buffered, write_through = by_volume["bids"], by_volume["direct"]
            report[f"{count} writers"] = {
                "buffered": buffered,
                "through": write_through,
                "rate ratio": buffered["a_second"] / write_through["a_second"],
                "p50 ratio": buffered["p50_ms"] / write_through["p50_ms"],
            }
    finally:
        for process in reversed(processes):
            process.kill()
            process.wait()
    return report


def make_write(number: int, size: int = 1024) -> Write:
    """Returns a write of `size` bytes."""
    return Write(number, "v", f"x{number}", 0, 0, b"x" * size, f"l{number}", "save", 1.0)


def measure_group_commit(folder: Path, group_size: int, records: int) -> float:
    """Returns the records committed per second when each sync commits `group_size` records."""
    disk = RealDisk(folder / f"g{group_size}")
    journal = Journal(disk)
    journal.recover()

    async def write_batch(batch: Batch) -> None:
        disk.append(batch.file_name, batch.data)
        disk.sync(batch.file_name)

    async def commit_all() -> None:
        committer = Committer(journal, write_batch)
        for n in range(records):
            committer.add(make_write(n + 1), lambda is_durable: None)
            if n % group_size == group_size - 1:
                await committer.run()

    start_s = time.perf_counter()
    asyncio.run(commit_all())
    return records / (time.perf_counter() - start_s)


def measure_recovery(folder: Path, fill: float) -> dict[str, float]:
    """Measures the recovery of a journal filled to a fraction of 256 MiB, in writes of 16 KiB."""
    disk = RealDisk(folder / f"r{fill}")
    journal = Journal(disk)
    journal.recover()
    count = int(fill * (256 << 20) / (16 << 10))
    for first in range(1, count + 1, 64):
        batch = journal.prepare([make_write(n, 16 << 10) for n in range(first, min(first + 64, count + 1))])
        disk.append(batch.file_name, batch.data)
        journal.mark_committed(batch)
    start_s = time.perf_counter()
    recovered = Journal(disk)
    recovered.recover()
    assert len(recovered.writes) == count
    return {"writes": count, "seconds": round(time.perf_counter() - start_s, 3)}


def main() -> None:
    """Runs all measurements and prints them as JSON."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        report = measure_gateway(folder)
        single_rate, grouped_rate = measure_group_commit(folder, 1, 1500), measure_group_commit(folder, 64, 30_000)
        report["records a second, one a sync"], report["64 a sync"], report["gain"] = (
            single_rate,
            grouped_rate,
            grouped_rate / single_rate,
        )
        report["recovery"] = {f"{p:.0%} full": measure_recovery(folder, p) for p in (0.01, 0.1, 1.0)}
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
