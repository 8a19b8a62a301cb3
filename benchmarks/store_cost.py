"""What write-back costs and gains: `python benchmarks/store_cost.py`.

Processes on loopback: a head with its journal on the file system, three stand-in shelfs of about 3 ms a write. Each
count of writers writes 1 KiB at a time for some seconds, to a buffered and to a through volume in turn, in one run.
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

MORE = """
volume direct {
    plan p
    slots 0 1 2
}
"""
FOR_S = 4.0


async def writers(address: str, volume: str, count: int) -> dict[str, float]:
    loop = asyncio.get_running_loop()
    client = await connect(address, name=f"{volume}{count}")
    took: list[float] = []
    refused = 0
    end = loop.time() + FOR_S

    async def one(n: int) -> None:
        nonlocal refused
        k = 0
        while loop.time() < end:
            k += 1
            began = time.perf_counter()
            got = await client.write(
                volume, f"{n}-{k}", b"x" * 1024, profile="save", slot=(n + k) % 3, units=1.0, patience_ms=3000.0
            )
            if got.succeeded:
                took.append(time.perf_counter() - began)
            else:
                refused += 1
                await asyncio.sleep(max(0.005, got.stay_ms / 1000.0))

    await asyncio.gather(*(one(n) for n in range(count)))
    client.close()
    return {
        "a_second": len(took) / FOR_S,
        "p50_ms": float(np.percentile(took, 50)) * 1e3,
        "p99_ms": float(np.percentile(took, 99)) * 1e3,
        "refused": refused,
    }


def through_a_head(folder: Path) -> dict[str, Any]:
    pid = os.getpid()
    loopback = f"127.{210 + pid % 20}.{pid // 250 % 250}.{1 + pid % 250}"
    conf = folder / "cost.conf"
    conf.write_text(SETTINGS.replace("most 4MiB", "most 256MiB") + MORE)
    processes = []
    told: dict[str, Any] = {}
    try:
        for role in (["listing"], *(["shelf", "--name", f"s{n}"] for n in (1, 2, 3)), ["head", "--name", "h1"]):
            command = [sys.executable, "-m", "pebblehinge", role[0], str(conf), "--loopback", loopback, *role[1:]]
            command += ["--store", str(folder / "store")] if role[0] != "listing" else []
            process = subprocess.Popen(command, stdout=subprocess.PIPE)
            assert process.stdout is not None and process.stdout.readline().startswith(b"ready")
            processes.append(process)
        loop = uvloop.new_event_loop()
        for count in (1, 16, 256):
            both = {v: loop.run_until_complete(writers(f"{loopback}:7001", v, count)) for v in ("direct", "bids")}
            b, d = both["bids"], both["direct"]
            told[f"{count} writers"] = {
                "buffered": b,
                "through": d,
                "rate ratio": b["a_second"] / d["a_second"],
                "p50 ratio": b["p50_ms"] / d["p50_ms"],
            }
    finally:
        for process in reversed(processes):
            process.kill()
            process.wait()
    return told


def record(number: int, size: int = 1024) -> Write:
    return Write(number, "v", f"x{number}", 0, 0, b"x" * size, f"l{number}", "save", 1.0)


def grouped(folder: Path, together: int, records: int) -> float:
    """Records a second with so many waiting together."""
    disk = RealDisk(folder / f"g{together}")
    journal = Journal(disk)
    journal.recover()

    async def lasts(batch: Batch) -> None:
        disk.append(batch.file_name, batch.data)
        disk.sync(batch.file_name)

    async def all_of_them() -> None:
        committer = Committer(journal, lasts)
        for n in range(records):
            committer.add(record(n + 1), lambda ok: None)
            if n % together == together - 1:
                await committer.run()

    began = time.perf_counter()
    asyncio.run(all_of_them())
    return records / (time.perf_counter() - began)


def recovery(folder: Path, part: float) -> dict[str, float]:
    """Reading a journal that holds so much of 256 MiB, in writes of 16 KiB."""
    disk = RealDisk(folder / f"r{part}")
    journal = Journal(disk)
    journal.recover()
    count = int(part * (256 << 20) / (16 << 10))
    for at in range(1, count + 1, 64):
        batch = journal.prepare([record(n, 16 << 10) for n in range(at, min(at + 64, count + 1))])
        disk.append(batch.file_name, batch.data)
        journal.mark_committed(batch)
    began = time.perf_counter()
    again = Journal(disk)
    again.recover()
    assert len(again.writes) == count
    return {"writes": count, "seconds": round(time.perf_counter() - began, 3)}


def main() -> None:
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        told = through_a_head(folder)
        one, many = grouped(folder, 1, 1500), grouped(folder, 64, 30_000)
        told["records a second, one a sync"], told["64 a sync"], told["gain"] = one, many, many / one
        told["recovery"] = {f"{p:.0%} full": recovery(folder, p) for p in (0.01, 0.1, 1.0)}
    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    main()
