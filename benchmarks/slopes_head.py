"""A head in service as a process, with clients and a discovery from here. Used by `slopes_service.py`."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from helpers import LOOPBACK  # noqa: E402
from service_rig import CONFIG, SETTINGS, Client, ScriptedDiscovery, build_request, entry, listing  # noqa: E402
from slopes import Child, on_core_ms  # noqa: E402

SOCKETS = 16_384  # told to the head: of these a quarter may be clients with nothing open, three eighths shelfs'
HEALTH = b"GET /health/live HTTP/1.1\r\nHost: service.internal\r\n\r\n"


class Head:
    """A head as a process, and the discovery that it watches, which is here."""

    async def start(self, folder: str, shelfs: int, address: Callable[[int], int]) -> Head:
        self.discovery = ScriptedDiscovery()
        await self.discovery.start()
        self.discovery.node_list = listing(1, *(entry(f"s{i}", address(i), i) for i in range(shelfs)))
        with_port = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        self.port = with_port.sockets[0].getsockname()[1]
        with_port.close()
        settings = {
            **SETTINGS,
            "family_info": {**SETTINGS["family_info"], "shards": max(shelfs, 4)},
            "service_levels": [{"base_rate": 100_000.0, "name": "gold", "reserve": 100_000.0}],
        }
        config = {
            **CONFIG,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"{LOOPBACK}:{self.discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": SOCKETS},
            "settings": settings,
        }
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        self.child = Child("-m", "pebblehinge.service", RELAY_CONFIG=str(path))
        self.pulse = asyncio.create_task(self._pulse())
        for _ in range(200):
            try:
                client = await self.client()
                client.write(HEALTH.replace(b"live", b"ready"))
                if (await client.next_answer()).status == 200 and self.discovery.received_requests:
                    client.transport.close()
                    break
            except OSError:
                pass
            await asyncio.sleep(0.05)
        else:
            raise RuntimeError("the head has not become ready")
        await asyncio.sleep(1.0)  # what a start leaves to be done is done
        return self

    def __enter__(self) -> Head:
        return self

    def __exit__(self, *_: object) -> None:
        self.pulse.cancel()
        self.child.__exit__()

    async def _pulse(self) -> None:
        """Discovery's empty line, by which a head knows that its watch stands."""
        while True:
            for conn in [c for c in self.discovery.peers if not c.is_closed]:
                conn.write(b"1\r\n\n\r\n")
            await asyncio.sleep(2.0)

    async def client(self) -> Client:
        client = Client()
        await asyncio.get_running_loop().create_connection(lambda: client, "127.0.0.1", self.port)
        return client

    async def clients(self, count: int, asks: bool) -> list[Client]:
        found = []
        while len(found) < count:
            some = await asyncio.gather(*(self.client() for _ in range(min(50, count - len(found)))))
            found += some
            if asks:
                for client in some:
                    client.write(HEALTH)
                await asyncio.gather(*(client.next_answer() for client in some))
        return found

    async def at_rest(self, seconds: float) -> float:
        """Milliseconds on a core a second."""
        before = on_core_ms(self.child.pid)
        await asyncio.sleep(seconds)
        return (on_core_ms(self.child.pid) - before) / seconds

    async def run(self, clients: list[Client], requests: int, shards: int) -> tuple[float, int]:
        """So many requests, one after the other on each connection, over all shards in turn: ms on a core for each,
        and how many were succeeded."""
        numbers, succeeded = iter(range(requests)), 0
        before = on_core_ms(self.child.pid)

        async def one(client: Client) -> None:
            nonlocal succeeded
            for n in numbers:
                # The answers are counted by hand: the rig's own wait looks every few milliseconds.
                had = len(client.answers)
                client.write(build_request(shard=n % shards, Cookie=f"block={n % 9973:016x}"))
                while len(client.answers) == had:
                    await asyncio.sleep(0)
                succeeded += client.answers[-1].status == 200
                client.answers.clear()
                client.read_count = 0

        await asyncio.gather(*(one(c) for c in clients))
        return (on_core_ms(self.child.pid) - before) / requests, succeeded
