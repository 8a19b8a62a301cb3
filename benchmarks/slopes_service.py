"""The head in service: what client connections, shelfs of its list, pairs and requests cost it."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from service_rig import ScriptedNode, entry, listing  # noqa: E402
from slopes import Point, on_core_ms, point, resident_kib  # noqa: E402
from slopes_head import Head  # noqa: E402

REST_S = 3.0
REQUESTS = 4_000


def whole(script: Callable[[str], Coroutine[Any, Any, list[Point]]]) -> list[Point]:
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(script(folder))


def connections(small: bool) -> list[Point]:
    """Idle clients' connections: memory, and time on a core at rest. A new process for each size."""

    async def script(folder: str) -> list[Point]:
        found = []
        for asks in (True, False):
            for count in (0, 250) if small else (0, 250, 500, 1000, 2000, 4000):
                head = await Head().start(folder, 30, lambda i: 1 + i)
                with head:
                    first = resident_kib(head.child.pid)
                    clients = await head.clients(count, asks)
                    held = resident_kib(head.child.pid)
                    rest = await head.at_rest(REST_S if asks else 0.5)
                    stay = sum(not c.is_closed for c in clients)
                    for client in clients:
                        client.transport.abort()
                kind = "has asked" if asks else "silent"
                found.append(
                    point(
                        {"connections": count, "kind": kind},
                        resident_kib=held,
                        grown_kib=held - first,
                        rest_ms_a_s=rest,
                        still_open=stay,
                    )
                )
        return found

    return whole(script)


def shelfs(small: bool) -> list[Point]:
    """Shelfs of the list with no connection: memory, time on a core at rest, for a whole list, for a change of one."""

    async def script(folder: str) -> list[Point]:
        found = []
        for count in (30, 300) if small else (30, 300, 600, 1000, 1500, 2000):
            head = await Head().start(folder, count, lambda i: 1 + i)
            with head:
                watch = next(c for c in head.discovery.peers if not c.is_closed)
                held, rest = resident_kib(head.child.pid), await head.at_rest(REST_S)
                size = len(json.dumps(head.discovery.node_list)) + 1
                wholes, changes, times = 0.0, 0.0, 10
                for n in range(times):
                    before = on_core_ms(head.child.pid)
                    watch.send_list({**head.discovery.node_list, "version": 2 + n})
                    await asyncio.sleep(0.3)
                    wholes += on_core_ms(head.child.pid) - before - 0.3 * rest
                for n in range(times):
                    before = on_core_ms(head.child.pid)
                    watch.send_list(listing(100 + n, entry("s1", 2, 1, ("Terminating", "Ready")[n % 2]), full=False))
                    await asyncio.sleep(0.1)
                    changes += on_core_ms(head.child.pid) - before - 0.1 * rest
                after = resident_kib(head.child.pid)
            found.append(
                point(
                    {"shelfs": count},
                    resident_kib=held,
                    resident_after_lists_kib=after,
                    rest_ms_a_s=rest,
                    list_bytes=size,
                    whole_list_ms=wholes / times,
                    change_ms=changes / times,
                )
            )
        return found

    return whole(script)


def pairs(small: bool) -> list[Point]:
    """Shelfs that are all asked, a connection each: memory, and time on a core of a request that dials and of one that
    does not. The shelfs answer at once, from this process."""

    async def script(folder: str) -> list[Point]:
        found, peers = [], []
        for _ in range(300 if small else 2000):
            peers.append(ScriptedNode())
            await peers[-1].start()
        for count in (30, 300) if small else (30, 300, 600, 1000, 1500, 2000):
            head = await Head().start(folder, count, lambda i: peers[i].port)
            with head:
                clients = await head.clients(8, True)
                first = resident_kib(head.child.pid)
                dials, well = await head.run(clients, count, count)
                held = resident_kib(head.child.pid)
                up = sum(not conn.is_closed for peer in peers[:count] for conn in peer.peers)
                await asyncio.sleep(1.0)
                rest = await head.at_rest(REST_S)
                cost, succeeded = await head.run(clients, REQUESTS, count)
                after = resident_kib(head.child.pid)
            for peer in peers:
                peer.peers.clear()
                peer.received_requests.clear()
            found.append(
                point(
                    {"shelfs": count},
                    resident_kib=held,
                    grown_kib=held - first,
                    shelf_connections=up,
                    dialled_access_ms=dials,
                    dialled_honoured=well / count,
                    rest_ms_a_s=rest,
                    access_ms=cost,
                    honoured=succeeded / REQUESTS,
                    resident_after_kib=after,
                )
            )
        return found

    return whole(script)


PARTS = {
    "service-connections": (connections, "Head in service, 30 shelfs listed; clients on loopback."),
    "service-shelfs": (
        shelfs,
        "Head in service, no accesses. Lists are told 10 times each; what the head spends at rest is taken off.",
    ),
    "service-pairs": (
        pairs,
        "Head in service, 8 clients with one access at a time each; shelfs answer at once with 2 bytes, on loopback.",
    ),
}
