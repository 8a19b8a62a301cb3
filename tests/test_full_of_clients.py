"""Idle clients hold all that clients may while discovery is down: what it tells at its return is known and used."""

from __future__ import annotations

import asyncio
import socket

from helpers import LOOPBACK, until
from service_rig import Discovery, DiscoveryPeer, Rig, ask, entry, listing, on_rig

SOCKETS = 96


async def back(rig: Rig, port: int) -> Discovery:
    """Discovery is up again at its address."""
    again = Discovery()
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK, port))
    again.server = await loop.create_server(lambda: DiscoveryPeer(again), sock=sock)
    return again


def test_discovery_the_listener_and_dials_keep_what_they_need() -> None:
    async def script(rig: Rig) -> None:
        head, port = rig.head, rig.discovery.port
        busy = await rig.client()
        rig.shelfs[1].does = lambda conn, request: None
        busy.write(ask(shard=1, X_Deadline_Ms="1900"))
        await until(lambda: rig.shelfs[1].asked)
        rig.discovery.server.close()
        for conn in rig.discovery.conns:
            conn.transport.abort()
        await until(lambda: not head.watch.connections)
        raws = [socket.create_connection((LOOPBACK, rig.port)) for _ in range(2 * SOCKETS)]
        await until(lambda: head.registry.connection_count >= head.listener.max_connections)
        for _ in range(40):  # they stay, and more wait; discovery is asked for and is not there
            held = (
                head.registry.connection_count
                + head.pools.connection_count
                + head.pools.dialing_count
                + len(head.watch.connections)
            )
            assert held <= SOCKETS and head.registry.connection_count <= head.listener.max_connections
            await asyncio.sleep(0.02)
        again = await back(rig, port)
        again.list = listing(9, entry("s0", rig.shelfs[0].port, 0), entry("s1", rig.shelfs[1].port, 1, "Terminating"))
        await until(lambda: head.watch.newest_version == 9, 3.0)
        assert 1 not in head.core.scheduler.nodes.node_at_slot
        client = await rig.client()
        client.write(ask())
        assert (await client.answer()).status == 200
        assert not busy.lost  # one that is owed an answer does not give way
        assert (await busy.answer()).status in (502, 503)
        for raw in raws:
            raw.close()

    on_rig(script, sockets=SOCKETS)
