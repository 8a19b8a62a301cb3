"""What 500 viewers of the console cost the requests: `python benchmarks/console_load.py [VIEWERS]`.

A head process with two stand-in shelfs and steady traffic from here; the viewers are another process that reads all it
is sent. Turns with and without viewers alternate in one run; late is beyond 100 ms.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

import numpy as np
import uvloop

from pebblehinge.client import connect

SETTINGS = """
rules {
    mean-units 2
    most-units 6
    fall-multiple 8x
}
log {
    level warning
}
profile look {
    importance 1
    expected 100ms
    patience 2s
    late-share 50%
    repeat redoable
}
plan p {
    rate 2000/s
    reserve 2000/s
}
volume v {
    plan p
}
kind k {
    cores 4
    unit-work 4ms
    noise 20%
    flush 10m
}
listing {
    listen HOST:6999
}
head h1 {
    listen HOST:7001
    console HOST:7301
}
shelf s1 {
    listen HOST:7201
    slot 0
    kind k
}
shelf s2 {
    listen HOST:7202
    slot 1
    kind k
}
"""
WATCH = """
import asyncio, sys
import aiohttp
async def main(url, count):
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(None)) as s:
        async def one():
            async with s.get(url) as response:
                async for _ in response.content.iter_any():
                    pass
        tasks = [asyncio.ensure_future(one()) for _ in range(count)]
        print("watching", flush=True)
        await asyncio.gather(*tasks)
asyncio.run(main(sys.argv[1], int(sys.argv[2])))
"""


async def steady(address: str, seconds: float, rate: float) -> list[float]:
    """Open-loop reads at a rate; milliseconds each took, from when it was due."""
    loop = asyncio.get_running_loop()
    client = await connect(address, name="steady")
    took: list[float] = []

    async def one(n: int, due: float) -> None:
        got = await client.read("v", f"x{n % 500}", 1, profile="look", slot=n % 2, units=1.0, patience_ms=2000.0)
        took.append((loop.time() - due) * 1000.0 if got.succeeded else 2000.0)

    begin, tasks = loop.time() + 0.05, []
    for n in range(int(seconds * rate)):
        due = begin + n / rate
        await asyncio.sleep(max(0.0, due - loop.time()))
        tasks.append(asyncio.ensure_future(one(n, due)))
    await asyncio.gather(*tasks)
    client.close()
    return took


def main() -> None:
    viewers = int(sys.argv[1]) if len(sys.argv) > 1 else 500
    pid = os.getpid()
    host = f"127.{190 + pid % 20}.{pid // 250 % 250}.{1 + pid % 250}"
    loop = uvloop.new_event_loop()
    found: dict[bool, list[float]] = {False: [], True: []}
    with tempfile.TemporaryDirectory() as folder:
        conf = Path(folder) / "console.conf"
        conf.write_text(SETTINGS.replace("HOST", host))
        processes = []
        try:
            for role in (["listing"], ["shelf", "--name", "s1"], ["shelf", "--name", "s2"], ["head"]):
                command = [sys.executable, "-m", "pebblehinge", role[0], str(conf), *role[1:]]
                process = subprocess.Popen(command, stdout=subprocess.PIPE)
                assert process.stdout is not None and process.stdout.readline().startswith(b"ready")
                processes.append(process)
            loop.run_until_complete(steady(f"{host}:7001", 2.0, 300.0))
            for turn in range(8):
                watched = bool(turn % 2)
                if watched:
                    command = [sys.executable, "-c", WATCH, f"http://{host}:7301/events", str(viewers)]
                    watch = subprocess.Popen(command, stdout=subprocess.PIPE)
                    assert watch.stdout is not None and watch.stdout.readline().startswith(b"watching")
                    loop.run_until_complete(asyncio.sleep(1.5))
                found[watched] += loop.run_until_complete(steady(f"{host}:7001", 5.0, 300.0))
                if watched:
                    watch.kill()
                    watch.wait()
                    loop.run_until_complete(asyncio.sleep(0.5))
        finally:
            for process in reversed(processes):
                process.kill()
                process.wait()
    told = {}
    for watched, took in found.items():
        x = np.array(took)
        told[f"{viewers if watched else 0} viewers"] = {
            "accesses": len(took),
            "p50_ms": float(np.percentile(x, 50)),
            "p99_ms": float(np.percentile(x, 99)),
            "late share": float((x > 100.0).mean()),
        }
    a, b = told["0 viewers"], told[f"{viewers} viewers"]
    told["p99 ratio"] = b["p99_ms"] / a["p99_ms"]  # type: ignore[assignment]
    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    main()
