"""Idle clients hold all that clients may while discovery is down: what it tells at its return is known and used."""

from __future__ import annotations

import asyncio
import socket

from helpers import LOOPBACK, until
from service_rig import DiscoveryPeer, Rig, ScriptedDiscovery, build_request, entry, listing, run_on_rig

SOCKETS = 96


async def back(rig: Rig, port: int) -> ScriptedDiscovery:
    """Discovery is up again at its address."""
    again = ScriptedDiscovery()
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK, port))
    again.server = await loop.create_server(lambda: DiscoveryPeer(again), sock=sock)
    return again


def test_discovery_the_listener_and_dials_keep_what_they_need() -> None:
    async def script(rig: Rig) -> None:
        gateway, port = rig.gateway, rig.discovery.port
        busy = await rig.client()
        rig.storage_nodes[1].handle_request = lambda conn, request: None
        busy.write(build_request(shard=1, X_Deadline_Ms="1900"))
        await until(lambda: rig.storage_nodes[1].received_requests)
        rig.discovery.server.close()
        for conn in rig.discovery.peers:
            conn.transport.abort()
        await until(lambda: not gateway.watch.connections)
        raws = [socket.create_connection((LOOPBACK, rig.port)) for _ in range(2 * SOCKETS)]
        await until(lambda: gateway.registry.connection_count >= gateway.listener.max_connections)
        for _ in range(40):  # they stay, and more wait; discovery is asked for and is not there
            held = (
                gateway.registry.connection_count
                + gateway.pools.connection_count
                + gateway.pools.dialing_count
                + len(gateway.watch.connections)
            )
            assert held <= SOCKETS and gateway.registry.connection_count <= gateway.listener.max_connections
            await asyncio.sleep(0.02)
        again = await back(rig, port)
        again.node_list = listing(
            9, entry("s0", rig.storage_nodes[0].port, 0), entry("s1", rig.storage_nodes[1].port, 1, "Terminating")
        )
        await until(lambda: gateway.watch.newest_version == 9, 3.0)
        assert 1 not in gateway.core.scheduler.nodes.node_at_slot
        client = await rig.client()
        client.write(build_request())
        assert (await client.next_answer()).status == 200
        assert not busy.is_closed  # one that is owed an answer does not give way
        assert (await busy.next_answer()).status in (502, 503)
        for raw in raws:
            raw.close()

    run_on_rig(script, sockets=SOCKETS)
