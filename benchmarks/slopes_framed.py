"""The framed head and the client library: what connections, listed shelfs and volumes cost them."""

from __future__ import annotations

import asyncio
import os
import tempfile
from pathlib import Path
from typing import Any

import uvloop
from slopes import Child, Point, on_core_ms, point, resident_kib

from pebblehinge.cli import ms_clock
from pebblehinge.client import connect
from pebblehinge.discovery import DiscoveryServer
from pebblehinge.lab.simulated_fleet import WarningLog
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads

HOST = f"127.{150 + os.getpid() % 40}.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
SETTINGS = """
limits {{
    connections 8192
}}
log {{
    level error
}}
profile look {{
    importance 2
    expected 2s
    patience 10s
    repeat redoable
}}
plan gold {{
    rate 1000000/s
}}
volumes v {volumes} {{
    plan gold
}}
kind k {{
}}
head h1 {{
    listen {host}:7000
}}
listing {{
    listen {host}:7100
}}
shelf s1 {{
    listen {host}:7200
    kind k
}}
"""
REST_S = 5.2  # a keepalive and a little


def settings(volumes: int = 2000) -> str:
    return SETTINGS.format(volumes=volumes, host=HOST)


async def list_of(loop: Any, config: Config, rows: int) -> DiscoveryServer:
    """A list that tells so many shelfs; nothing listens at their addresses."""
    server = DiscoveryServer(loop, ms_clock(loop), config, WarningLog())
    await server.start()
    for n in range(rows):
        server.registry.register(0.0, f"shelf-{n}", f"10.{n // 250}.{n % 250}.7:7200", n, -1.0, True)
    server.publish()
    return server


async def until_up(address: str) -> None:
    for _ in range(200):
        try:
            client = await connect(address)
            client.close()
            return
        except OSError:
            await asyncio.sleep(0.05)
    raise RuntimeError(f"nothing serves {address}")


def connections(small: bool) -> list[Point]:
    """Idle clients of a framed head, 1,500 shelfs in its list: the head's memory and time on a core at rest, and what
    the client library holds and spends for its side, here."""

    async def script(folder: str) -> list[Point]:
        loop, found = asyncio.get_running_loop(), []
        path = Path(folder) / "head.conf"
        path.write_text(settings())
        listing = await list_of(loop, loads(settings()), 1500)
        for count in (0, 250) if small else (0, 250, 500, 1000, 2000, 4000):
            with Child("-m", "pebblehinge", "head", str(path), "--name", "h1") as child:
                await until_up(f"{HOST}:7000")
                await asyncio.sleep(1.0)
                first, mine = resident_kib(child.pid), resident_kib(os.getpid())
                clients: list[Any] = []
                while len(clients) < count:
                    some = min(50, count - len(clients))
                    clients += await asyncio.gather(*(connect(f"{HOST}:7000") for _ in range(some)))
                held, own = resident_kib(child.pid), resident_kib(os.getpid())
                before, spent = on_core_ms(child.pid), on_core_ms(os.getpid())
                await asyncio.sleep(REST_S)
                rest = (on_core_ms(child.pid) - before) / REST_S
                spent = (on_core_ms(os.getpid()) - spent) / REST_S
                still = sum(not c.closed for c in clients)
                for client in clients:
                    client.abort()
                await asyncio.sleep(0.2)
            found.append(
                point(
                    {"connections": count},
                    resident_kib=held,
                    grown_kib=held - first,
                    rest_ms_a_s=rest,
                    client_side_grown_kib=own - mine,
                    client_side_ms_a_s=spent,
                    still_open=still,
                )
            )
        listing.stop()
        return found

    return whole(script)


def listed(small: bool) -> list[Point]:
    """A framed head by the shelfs that its list names, nothing asked."""

    async def script(folder: str) -> list[Point]:
        loop, found = asyncio.get_running_loop(), []
        for volumes, rows in (
            [(10, 30), (10, 300)]
            if small
            else [
                (10, 30),
                (10, 300),
                (10, 600),
                (10, 1000),
                (10, 1500),
                (10, 2000),
                (500, 1500),
                (1000, 1500),
                (2000, 1500),
            ]
        ):
            path = Path(folder) / "head.conf"
            path.write_text(settings(volumes))
            listing = await list_of(loop, loads(settings(volumes)), rows)
            with Child("-m", "pebblehinge", "head", str(path), "--name", "h1") as child:
                await until_up(f"{HOST}:7000")
                await asyncio.sleep(1.5)
                held, before = resident_kib(child.pid), on_core_ms(child.pid)
                await asyncio.sleep(3.0)
                rest = (on_core_ms(child.pid) - before) / 3.0
            listing.stop()
            await asyncio.sleep(0.1)
            found.append(point({"shelfs": rows, "volumes": volumes}, resident_kib=held, rest_ms_a_s=rest))
        return found

    return whole(script)


def whole(script: Any) -> list[Point]:
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(script(folder))


def requests(small: bool) -> list[Point]:
    """A framed head's time on a core for a request, by shelfs that are asked in turn, over a connection to each."""
    import head_cost

    async def script(folder: str) -> list[Point]:
        loop, found = asyncio.get_running_loop(), []
        for number, count in enumerate((30, 300) if small else (30, 300, 600, 1000, 1500)):
            heads = head_cost.Heads("real", count, 4096, number)
            try:
                told = await head_cost.full_load(loop, heads, 4096, 4 * count + 4000)
                held = resident_kib(heads.pid)
            finally:
                heads.stop()
            found.append(point({"shelfs": count}, access_ms=told["cpu_us"] / 1000.0, resident_kib=held))
        return found

    return whole(script)


PARTS = {
    "framed-connections": (
        connections,
        "Framed head with 2,000 volumes, 1,500 shelfs listed; clients of the library, keepalive 5 s as by default. The "
        "clients' side is one process.",
    ),
    "framed-accesses": (requests, "Accesses of 4,096 bytes, 40 out at a time, ends of benchmarks/head_cost.py."),
    "framed-listed": (listed, "Framed head, no clients, no accesses."),
}
