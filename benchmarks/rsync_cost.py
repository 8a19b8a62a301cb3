"""What the rsync protocol costs beside plain requests, and how transfers share: `python benchmarks/rsync_cost.py [MB]`.

One head process, four stand-in shelf processes that do a unit in a millisecond, on loopback. Plain copy: the client
library writes and reads the same bytes as blocks of the same size, as many at a time as a transfer has. All
in one run, each figure beside its baseline; medians of three. Transfers together: times of the ninth tenth against the
first.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from pebblehinge.client import connect
from pebblehinge.lab.rsync_call import Call, Local
from pebblehinge.lab.rsync_client import call
from pebblehinge.net import parse_address
from pebblehinge.rsync.stream_protocol import StreamProtocol

BLOCK = 128 << 10
SETTINGS = """
rules {
    mean-units 2
    most-units 6
    fall-multiple 8x
}
limits {
    bytes 1GiB
}
log {
    level warning
}
profile look {
    importance 1
    expected 2s
    patience 20s
    late-share 50%
    repeat redoable
}
profile save {
    importance 1
    expected 2s
    patience 20s
    late-share 50%
    repeat irreversible
}
plan p {
    rate 5000/s
    reserve 5000/s
}
volume files {
    plan p
    slots 0 1 2 3
}
volume plain {
    plan p
    slots 0 1 2 3
}
module m {
    volume files
    read look
    write look
    commit save
    read-only no
    patience 20s
    ahead 2MiB
}
rsync {
    accesses 64
    each 16
    transfers 300
}
kind k {
    cores 8
    unit-work 1ms
    noise 0
    flush 10m
    queue 500
}
fleet {
    heads 1
    shelfs 4
    kinds k
    rsync yes
}
"""


class Rig:
    def __init__(self, folder: Path, loopback: str) -> None:
        self.folder, self.loopback = folder, loopback
        self.conf = folder / "cost.conf"
        self.conf.write_text(SETTINGS)
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        for role in (["listing"], *(["shelf", f"s{n}"] for n in range(1, 5)), ["head", "h1"]):
            command = [sys.executable, "-m", "pebblehinge", role[0], str(self.conf), "--loopback", self.loopback]
            command += ["--name", role[1]] if len(role) > 1 else []
            process = subprocess.Popen(command, stdout=subprocess.PIPE)
            assert process.stdout is not None and process.stdout.readline().startswith(b"ready")
            self.processes.append(process)

    def stop(self) -> None:
        for process in reversed(self.processes):
            process.terminate()
            process.wait()

    async def copy(self, verb: str, path: str, **more: Any) -> tuple[float, Call]:
        loop = asyncio.get_running_loop()
        line = StreamProtocol(loop, 60_000.0)
        host, port = parse_address(f"{self.loopback}:8731")
        began = time.perf_counter()
        await loop.create_connection(lambda: line, host, port)
        wanted = await call(line.stream, Call("m", **more), verb, path)
        line.close()
        assert wanted.code == 0, (wanted.code, wanted.error, wanted.said[:3])
        return time.perf_counter() - began, wanted

    async def plain(self, data: bytes, write: bool) -> float:
        """The same blocks by the client library, 16 at a time."""
        client = await connect(f"{self.loopback}:7001", name="plain")
        began = time.perf_counter()
        turn = asyncio.Semaphore(16)

        async def one(at: int) -> None:
            async with turn:
                more = {"profile": "look", "slot": (at // BLOCK) % 4, "units": 2.0, "patience_ms": 20_000.0}
                name = f"b{at}"
                if write:
                    got = await client.write("plain", name, data[at : at + BLOCK], **more)
                else:
                    got = await client.read("plain", name, BLOCK, **more)
                assert got.succeeded, got

        await asyncio.gather(*(one(at) for at in range(0, len(data), BLOCK)))
        client.close()
        return time.perf_counter() - began


async def measured(rig: Rig, size: int) -> dict[str, Any]:
    rng = random.Random(1)
    told: dict[str, Any] = {"MB": size / 1e6}
    pushes, pulls, plain_w, plain_r = [], [], [], []
    for n in range(3):
        data = rng.randbytes(size)
        plain_w.append(await rig.plain(data, True))
        plain_r.append(await rig.plain(data, False))
        pushes.append((await rig.copy("push", f"f{n}/", files={b"f": Local(data)}))[0])
        took, back = await rig.copy("pull", f"f{n}/f")
        pulls.append(took)
        assert back.files[b"f"].data == data
    m = statistics.median
    told["plain write MB/s"], told["plain read MB/s"] = size / 1e6 / m(plain_w), size / 1e6 / m(plain_r)
    told["push against plain"], told["pull against plain"] = m(plain_w) / m(pushes), m(plain_r) / m(pulls)
    changed = bytearray(data)
    for _ in range(100):  # 1% of the file, in a hundred places
        at = rng.randrange(size - size // 10_000)
        changed[at : at + size // 10_000] = rng.randbytes(size // 10_000)
    new = Local(bytes(changed), 1_700_000_500)
    whole = (await rig.copy("push", "whole/", files={b"f": new}))[0]
    took, delta = await rig.copy("push", "f2/", files={b"f": new})
    told["delta of 1%: bytes against whole"] = delta.literal / size
    told["delta of 1%: time against whole"] = took / whole
    told["transfers together: p90 against p10"] = {}
    for count in (1, 10, 100):
        files = {b"f": Local(rng.randbytes(1_500_000))}
        took_all = await asyncio.gather(*(rig.copy("push", f"t{count}.{n}/", files=files) for n in range(count)))
        times = sorted(t for t, _ in took_all)
        told["transfers together: p90 against p10"][count] = round(times[-1 - count // 10] / times[count // 10], 2)
    client = await connect(f"{rig.loopback}:7001", name="single")

    async def saves(count: int) -> list[float]:
        took = []
        for n in range(count):
            got = await client.write(
                "plain", f"s{n}", b"x" * 1000, profile="save", slot=n % 4, units=1.0, patience_ms=5000.0
            )
            assert got.succeeded
            took.append(got.took_ms)
            await asyncio.sleep(0.01)
        return took

    alone = await saves(150)
    many = {b"d/f%04d" % n: Local(rng.randbytes(20_000)) for n in range(1000)}
    folder = asyncio.ensure_future(rig.copy("push", "folder/", files=many))
    await asyncio.sleep(0.1)
    beside = []
    while not folder.done():
        beside += await saves(5)
    told["folder of 1000 files, s"] = (await folder)[0]
    told["single save alone, ms (median)"] = m(alone)
    told["single save beside that folder, ms (median, p95)"] = [m(beside), sorted(beside)[int(len(beside) * 0.95)]]
    client.close()
    return told


def main() -> None:
    size = int(float(sys.argv[1] if len(sys.argv) > 1 else 100) * 1e6) // BLOCK * BLOCK
    pid = os.getpid()
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), f"127.{230 + pid % 20}.{pid // 250 % 250}.{1 + pid % 250}")
        rig.start()
        try:
            loop = uvloop.new_event_loop()
            told = loop.run_until_complete(measured(rig, size))
        finally:
            rig.stop()
    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    main()
