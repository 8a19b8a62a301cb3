"""Idle clients hold all descriptors for clients while discovery is down; its list is applied on its return."""

from __future__ import annotations

import asyncio
import socket

from helpers import LOOPBACK, until
from service_rig import DiscoveryPeer, Rig, ScriptedDiscovery, build_request, entry, listing, run_on_rig

MAX_SOCKETS = 96


async def restart_discovery(rig: Rig, port: int) -> ScriptedDiscovery:
    """Starts discovery again at its former port."""
    new_discovery = ScriptedDiscovery()
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK, port))
    new_discovery.server = await loop.create_server(lambda: DiscoveryPeer(new_discovery), sock=sock)
    return new_discovery


def test_discovery_listener_and_connects_keep_their_descriptors() -> None:
    async def script(rig: Rig) -> None:
        gateway, port = rig.gateway, rig.discovery.port
        busy_client = await rig.client()
        rig.storage_nodes[1].handle_request = lambda conn, request: None
        busy_client.write(build_request(shard=1, X_Deadline_Ms="1900"))
        await until(lambda: rig.storage_nodes[1].received_requests)
        rig.discovery.server.close()
        for conn in rig.discovery.peers:
            conn.transport.abort()
        await until(lambda: not gateway.watch.connections)
        idle_sockets = [socket.create_connection((LOOPBACK, rig.port)) for _ in range(2 * MAX_SOCKETS)]
        await until(lambda: gateway.registry.connection_count >= gateway.listener.max_connections)
        for _ in range(40):  # They stay, others wait, and the watch fails to connect.
            used_sockets = (
                gateway.registry.connection_count
                + gateway.pools.connection_count
                + gateway.pools.dialing_count
                + len(gateway.watch.connections)
            )
            assert used_sockets <= MAX_SOCKETS and gateway.registry.connection_count <= gateway.listener.max_connections
            await asyncio.sleep(0.02)
        new_discovery = await restart_discovery(rig, port)
        new_discovery.node_list = listing(
            9, entry("s0", rig.storage_nodes[0].port, 0), entry("s1", rig.storage_nodes[1].port, 1, "Terminating")
        )
        await until(lambda: gateway.watch.newest_version == 9, 3.0)
        assert 1 not in gateway.core.scheduler.nodes.node_at_slot
        client = await rig.client()
        client.write(build_request())
        assert (await client.next_answer()).status == 200
        assert not busy_client.is_closed  # A client with an open request is not closed.
        assert (await busy_client.next_answer()).status in (502, 503)
        for sock in idle_sockets:
            sock.close()

    run_on_rig(script, sockets=MAX_SOCKETS)
