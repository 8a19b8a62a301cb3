"""What an idle client connection takes of a framed head: resident memory at rest, by the number of connections.

    python benchmarks/idle_connections.py [--counts 0,500,1000,2000,4000] [--json FILE]

The head is a process of this command line with no shelf and no list to reach; the clients stand in this process: they
greet and answer pings. Resident memory is read from outside, after so many connections have greeted and a keepalive
has passed. Open files are as the head raises them.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from datetime import date
from pathlib import Path

import click
import numpy as np
import uvloop

from pebblehinge.client import Client, connect

SETTLE_S = 6.0  # longer than a keepalive: each connection has been asked once
FILE = """\
profile look {{
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}}
plan gold {{
    rate 100/s
}}
volume v {{
    plan gold
}}
limits {{
    connections {most}
}}
listing {{
    listen {host}:7100
}}
head h1 {{
    listen {host}:7001
}}
"""


def resident_kib(pid: int) -> int:
    return int(Path(f"/proc/{pid}/status").read_text().partition("VmRSS:")[2].split()[0])


async def measure(pid: int, address: str, counts: list[int]) -> list[dict[str, float]]:
    """Resident KiB of a process at each count, in rising order."""
    clients: list[Client] = []
    found = []
    for count in counts:
        began = time.perf_counter()
        while len(clients) < count:
            some = [connect(address, name=f"c{len(clients) + n}") for n in range(min(50, count - len(clients)))]
            clients += await asyncio.gather(*some)
        took = time.perf_counter() - began
        await asyncio.sleep(SETTLE_S)
        lost = sum(client.closed for client in clients)
        found.append({"connections": count, "kib": resident_kib(pid), "opened_s": round(took, 2), "lost": lost})
        click.echo(json.dumps(found[-1]))
    for client in clients:
        client.abort()
    return found


@click.command()
@click.option("--counts", default="0,500,1000,2000,4000", show_default=True)
@click.option("--json", "to", type=click.Path(dir_okay=False), help="Write the points to this file.")
def main(counts: str, to: str | None) -> None:
    """Resident memory at each count, and the slope of a line through them."""
    wanted = sorted(int(c) for c in counts.split(","))
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(20_000, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)
    host = f"127.{200 + os.getpid() % 40}.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "head.conf"
        file.write_text(FILE.format(host=host, most=max(4096, wanted[-1])))
        head = subprocess.Popen(
            [sys.executable, "-m", "pebblehinge", "head", str(file)], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        try:
            assert head.stdout is not None and head.stdout.readline().startswith(b"ready")
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                found = runner.run(measure(head.pid, f"{host}:7001", wanted))
        finally:
            head.kill()
            head.wait()
    xs, ys = [f["connections"] for f in found], [f["kib"] for f in found]
    slope, fixed = np.polyfit(xs, ys, 1)
    worst = max(abs(fixed + slope * x - y) for x, y in zip(xs, ys, strict=True))
    told = {"kib_a_connection": round(slope, 2), "fixed_kib": round(fixed), "worst_residual_kib": round(worst)}
    click.echo(json.dumps(told))
    if to:
        commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False)
        run = {
            "id": "idle-connections",
            "command": "python benchmarks/idle_connections.py",
            "kind": "measured",
            "commit": commit.stdout.strip(),
            "date": f"{date.today()}",
            "beside": "nothing",
        }
        points = [
            {"x": {"connections": f["connections"]}, "y": {k: f[k] for k in ("kib", "opened_s", "lost")}} for f in found
        ]
        Path(to).write_text(json.dumps({"run": run, "points": points, "fit": told, "note": ""}, indent=1) + "\n")


if __name__ == "__main__":
    main()
